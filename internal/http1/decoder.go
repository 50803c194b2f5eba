package http1

import (
	"bytes"
	"strings"

	"salttrack/internal/memory"
)

// state is the part of a message that a decoder expects next.
type state uint8

const (
	stateStartLine state = iota
	stateFields
	stateSizedBody
	stateChunkSize
	stateChunk     // the data of a chunk
	stateChunkEnd  // the CRLF after the data of a chunk
	stateTrailer   // the trailer section of a chunked body
	stateBodyToEOF // a response body that ends with the connection
	stateComplete
)

// headParser parses the head of a request or of a response.
type headParser interface {
	// startLine parses the start line.
	startLine(line []byte) error
	// field parses a header field. It is called for every field; the decoder itself parses the fields that frame the body.
	field(name, value []byte) error
	// bodyState returns the state that follows the head, given the framing of the body.
	bodyState(f framing) (state, error)
}

// framing holds the values of the header fields that determine the end of the body.
type framing struct {
	contentLength  int64 // in bytes, -1 without Content-Length
	transferCoding bool  // the message has Transfer-Encoding: chunked
}

// decoder decodes the messages of one connection in sequence.
// Between calls it keeps an incomplete line, limited to MaxHeadBytes, and the buffered body.
// The body may exceed MaxBufferedBodyBytes by the bytes of one call: NeedsStreaming then reports true.
type decoder struct {
	state         state
	strictLines   bool   // if true, a bare LF is an error in every line; if false, only in the lines after the head
	partialLine   []byte // beginning of a line whose end has not been received yet
	lineBytes     int    // bytes of lines since the start of the message or, in a chunked body, since the end of the last chunk
	framing       framing
	remaining     int64              // bytes that are missing of a body with Content-Length, or of the current chunk
	bodyBytes     int64              // bytes received of the body; not counted if there is a sink
	body          []byte             // buffered body
	account       *memory.Account    // counts the memory of the decoder; nil for no limit
	headBytes     int                // memory of partialLine and of the values that are kept of a head, counted in the account
	exceedsBuffer bool               // the body exceeds MaxBufferedBodyBytes
	lacksMemory   bool               // the body was not short when the account had no more memory for it
	sink          func([]byte) error // if not nil, receives the whole body of every message, of any length, in place of body
	stream        func([]byte)       // if not nil, receives the rest of a streamed body in place of body
}

// reset prepares the decoder for the next message.
func (d *decoder) reset() {
	d.Release()
	*d = decoder{
		account:     d.account,
		sink:        d.sink,
		strictLines: d.strictLines,
		framing:     framing{contentLength: -1},
	}
}

// Complete reports whether the current message is complete.
func (d *decoder) Complete() bool { return d.state == stateComplete }

// hasInput reports whether any byte of the current message has been received.
func (d *decoder) hasInput() bool {
	return d.state != stateStartLine || len(d.partialLine) > 0 || d.lineBytes > 0
}

// InBody reports whether the head is complete and the body is incomplete.
func (d *decoder) InBody() bool { return d.state > stateFields && d.state != stateComplete }

// CountMemory counts the memory of the decoder in an account, nil for no limit. It is called before the first Feed.
func (d *decoder) CountMemory(account *memory.Account) { d.account = account }

// NeedsStreaming reports whether the body is not streamed yet, although it exceeds MaxBufferedBodyBytes, or is incomplete and
// there is no memory to buffer it. The caller has to call StreamBodyTo before it feeds more bytes.
func (d *decoder) NeedsStreaming() bool {
	return d.stream == nil && (d.exceedsBuffer || d.lacksMemory && !d.Complete())
}

// ContentLength returns the value of the field Content-Length in bytes, -1 if the message has none.
func (d *decoder) ContentLength() int64 { return d.framing.contentLength }

// StreamBodyTo makes the decoder pass the rest of the body to a function as it is received.
// It returns the bytes of the body that have been received before, and a function that has to be called when they are no
// longer used.
func (d *decoder) StreamBodyTo(stream func([]byte)) (received []byte, release func()) {
	received = d.body
	d.body = nil
	d.stream = stream
	account, size := d.account, cap(received)
	return received, func() { account.Add(memory.Bodies, -size) }
}

// ReleaseBody removes the buffered body from the decoder.
func (d *decoder) ReleaseBody() {
	d.account.Add(memory.Bodies, -cap(d.body))
	d.body = nil
}

// Release removes everything that the decoder holds of a message. It is called when the decoder is no longer used.
func (d *decoder) Release() {
	d.ReleaseBody()
	d.countHead(-d.headBytes)
	d.partialLine = nil
}

// lacksHeadMemory reports whether there is no memory to keep a part of the head of the given length in bytes.
func (d *decoder) lacksHeadMemory(length int) bool {
	return length > minRejectedBytes && d.account.Full(memory.Heads)
}

// countHead records that the memory of the head has grown by a number of bytes, which may be negative.
func (d *decoder) countHead(bytes int) {
	d.headBytes += bytes
	d.account.Add(memory.Heads, bytes)
}

// feed decodes bytes until the message is complete. It returns the number of bytes consumed.
func (d *decoder) feed(p []byte, h headParser) (consumed int, err error) {
	for d.state != stateComplete && consumed < len(p) {
		var n int
		switch d.state {
		case stateSizedBody, stateChunk, stateBodyToEOF:
			n, err = d.feedBody(p[consumed:])
		default:
			n, err = d.feedLine(p[consumed:], h)
		}
		consumed += n
		if err != nil {
			return consumed, err
		}
	}
	return consumed, nil
}

// feedBody decodes bytes of a body with Content-Length, of a chunk's data, or of a body that ends with the connection.
func (d *decoder) feedBody(p []byte) (int, error) {
	n := len(p)
	if d.state != stateBodyToEOF {
		n = int(min(int64(n), d.remaining))
		d.remaining -= int64(n)
	}
	if err := d.appendBody(p[:n]); err != nil {
		return 0, err
	}
	switch {
	case d.state == stateBodyToEOF || d.remaining > 0:
	case d.state == stateChunk:
		d.state = stateChunkEnd
	default:
		d.state = stateComplete
	}
	return n, nil
}

// appendBody appends bytes to the buffered body, or passes them to the sink or the stream.
func (d *decoder) appendBody(p []byte) error {
	if d.sink != nil {
		return d.sink(p)
	}
	d.bodyBytes += int64(len(p))
	if d.bodyBytes > MaxBodyBytes {
		return errBodyTooLarge
	}
	d.exceedsBuffer = d.exceedsBuffer || d.bodyBytes > MaxBufferedBodyBytes
	if d.stream != nil {
		d.stream(p)
	} else {
		d.bufferBody(p)
	}
	return nil
}

// lacksBodyMemory reports whether there is no memory to wait for the rest of a body whose first bytes are buffered.
func (d *decoder) lacksBodyMemory(length int) bool {
	return length > minStreamedBodyBytes && d.account.Full(memory.Bodies) ||
		length > minRejectedBytes && d.account.Full(memory.Streams)
}

// bufferBody appends bytes to the buffered body. The buffer grows with the received bytes and not with the announced ones.
func (d *decoder) bufferBody(p []byte) {
	length := len(d.body) + len(p)
	if length > cap(d.body) {
		largest := MaxBufferedBodyBytes
		if d.framing.contentLength >= 0 {
			largest = int(min(d.framing.contentLength, MaxBufferedBodyBytes))
		}
		grown := make([]byte, len(d.body), max(length, min(2*cap(d.body), largest)))
		copy(grown, d.body)
		d.account.Add(memory.Bodies, cap(grown)-cap(d.body))
		d.body = grown
	}
	d.body = append(d.body, p...)
	d.lacksMemory = d.lacksMemory || d.lacksBodyMemory(length)
}

// feedLine decodes bytes of one line and parses the line when it is complete.
func (d *decoder) feedLine(p []byte, h headParser) (int, error) {
	end := bytes.IndexByte(p, '\n')
	n := end + 1
	if end < 0 {
		n = len(p)
	}
	d.lineBytes += n
	if d.lineBytes > MaxHeadBytes {
		return 0, errHeadTooLarge
	}
	line := p[:n]
	if end < 0 || len(d.partialLine) > 0 {
		if d.lacksHeadMemory(len(d.partialLine) + n) {
			return 0, errNoMemoryForHead
		}
		d.appendLine(line)
		line = d.partialLine
	}
	if end < 0 {
		return n, nil
	}
	d.releaseLine()
	line, hasCR := bytes.CutSuffix(line[:len(line)-1], []byte("\r"))
	if !hasCR && (d.strictLines || d.state > stateFields) { // other parsers may not end the line here (RFC 9112, 2.2 and 7.1)
		return n, errBareLF
	}
	return n, d.parseLine(line, h)
}

// maxRetainedLineBytes is the largest capacity in bytes of a line buffer that is reused for the next line of a message.
const maxRetainedLineBytes = 1024

// appendLine appends bytes to the incomplete line.
func (d *decoder) appendLine(p []byte) {
	before := cap(d.partialLine)
	d.partialLine = append(d.partialLine, p...)
	d.countHead(cap(d.partialLine) - before)
}

// releaseLine removes the complete line. The caller may still use it.
func (d *decoder) releaseLine() {
	if cap(d.partialLine) <= maxRetainedLineBytes {
		d.partialLine = d.partialLine[:0]
		return
	}
	d.countHead(-cap(d.partialLine))
	d.partialLine = nil
}

// parseLine parses a line, which is given without its line end.
func (d *decoder) parseLine(line []byte, h headParser) error {
	if hasControlCharacter(line) {
		return errControlCharacter
	}
	switch d.state {
	case stateStartLine:
		if len(line) == 0 { // empty lines before the start line are ignored (RFC 9112, 2.2)
			return nil
		}
		d.state = stateFields
		return h.startLine(line)
	case stateFields:
		if len(line) == 0 {
			return d.endHead(h)
		}
		return d.parseField(line, h)
	case stateChunkSize:
		return d.startChunk(line)
	case stateChunkEnd:
		if len(line) > 0 {
			return errChunkExceedsSize
		}
		d.state = stateChunkSize
		d.lineBytes = 0 // the number of chunks is limited by MaxBodyBytes, since each chunk has at least one byte
	case stateTrailer:
		if len(line) == 0 {
			d.state = stateComplete
		}
	}
	return nil
}

// endHead handles the empty line after the header fields.
func (d *decoder) endHead(h headParser) error {
	if d.framing.transferCoding && d.framing.contentLength >= 0 {
		return errLengthAndCoding
	}
	next, err := h.bodyState(d.framing)
	if err != nil {
		return err
	}
	d.state = next
	d.remaining = d.framing.contentLength
	if d.state != stateSizedBody {
		return nil
	}
	if d.sink == nil && d.remaining > MaxBodyBytes {
		return errBodyTooLarge
	}
	d.exceedsBuffer = d.sink == nil && d.remaining > MaxBufferedBodyBytes
	if d.remaining == 0 {
		d.state = stateComplete
	}
	return nil
}

// startChunk parses a chunk size line. The size 0 marks the last chunk, after which the trailer section follows.
func (d *decoder) startChunk(line []byte) error {
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if d.sink == nil && d.bodyBytes+size > MaxBodyBytes {
		return errBodyTooLarge
	}
	d.remaining = size
	d.state = stateChunk
	if size == 0 {
		d.state = stateTrailer
	}
	return nil
}

// maxChunkSizeDigits is the largest number of hexadecimal digits of a chunk size.
const maxChunkSizeDigits = 8

// parseChunkSize parses the size in a chunk size line, in bytes. Chunk extensions are ignored.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, errMalformedChunkSize
	}
	size := int64(0)
	for _, c := range digits {
		value := strings.IndexByte("0123456789abcdef", c|0x20)
		if value < 0 || c < '0' {
			return 0, errMalformedChunkSize
		}
		size = size<<4 | int64(value)
	}
	return size, nil
}
