package discovery

import (
	"fmt"

	"salttrack/internal/memory"
)

// Limits on a message of the discovery service, in bytes.
const (
	maxMessageBytes        = 8 << 20   // enough for tens of thousands of endpoints
	minMaxMessageBytes     = 256 << 10 // limit under which a message is accepted however small the account is
	maxRetainedBufferBytes = 64 << 10  // a larger buffer is released after its message was passed on
)

// messageSplitter splits a stream of JSON objects into messages. A message may be received in several reads, it may
// span several lines, and a line may hold several messages. An empty line between messages is a keepalive.
type messageSplitter struct {
	onMessage   func([]byte) error // the argument is valid only during the call
	onKeepalive func()
	account     *memory.Account // counts the buffer; nil for no limit

	buffer      []byte // the part of the incomplete message that was received in earlier reads
	depth       int    // open braces and brackets in the message, 0 between messages
	inString    bool   // the next byte belongs to a JSON string
	escaped     bool   // the previous byte is a backslash that escapes the next byte of a string
	lineStarted bool   // the current line holds a part of a message
}

// feed processes the next bytes of the stream. After an error the stream can't be parsed further.
func (s *messageSplitter) feed(p []byte) error {
	start := 0 // index in p at which the current message starts or continues
	for i, b := range p {
		switch {
		case s.inString:
			if err := s.scanString(b); err != nil {
				return err
			}
		case s.depth == 0:
			if b == '{' {
				start = i
			}
			if err := s.scanBetween(b); err != nil {
				return err
			}
		case b == '"':
			s.inString = true
		case b == '{' || b == '[':
			s.depth++
		case b == '}' || b == ']':
			if err := s.scanClosing(p[start : i+1]); err != nil {
				return err
			}
		}
	}
	if s.depth > 0 {
		s.setBuffer(append(s.buffer, p[start:]...))
	}
	if limit := s.maxBytes(); len(s.buffer) > limit {
		return &ProtocolError{Violation: UpdateTooLarge, Detail: fmt.Sprintf("more than %d bytes", limit)}
	}
	return nil
}

// maxBytes returns the length in bytes up to which a message is accepted. A message may not need more memory than the account has.
func (s *messageSplitter) maxBytes() int {
	return min(maxMessageBytes, max(minMaxMessageBytes, s.account.Limit()))
}

// setBuffer replaces the buffer.
func (s *messageSplitter) setBuffer(p []byte) {
	s.account.Add(memory.Discovery, cap(p)-cap(s.buffer))
	s.buffer = p
}

// release frees the buffer. It is called when the stream ends.
func (s *messageSplitter) release() { s.setBuffer(nil) }

// scanString scans a byte of a JSON string. A line break is an error: JSON strings have none, so the message was
// truncated.
func (s *messageSplitter) scanString(b byte) error {
	switch {
	case b == '\n' || b == '\r':
		return &ProtocolError{Violation: MalformedStream, Detail: "line break in a string, message truncated"}
	case s.escaped:
		s.escaped = false
	case b == '\\':
		s.escaped = true
	case b == '"':
		s.inString = false
	}
	return nil
}

// scanBetween scans a byte between two messages, or the first byte of a message.
func (s *messageSplitter) scanBetween(b byte) error {
	switch b {
	case '{':
		s.depth = 1
		s.lineStarted = true
	case '\n':
		if !s.lineStarted {
			s.onKeepalive()
		}
		s.lineStarted = false
	case ' ', '\t', '\r':
	default:
		return &ProtocolError{Violation: MalformedStream, Detail: fmt.Sprintf("byte %q between messages", b)}
	}
	return nil
}

// scanClosing scans a closing brace or bracket. If it ends the message, the message is passed to onMessage. The
// argument read is the part of the message in the latest read, up to the closing byte.
func (s *messageSplitter) scanClosing(read []byte) error {
	s.depth--
	if s.depth > 0 {
		return nil
	}
	if err := s.onMessage(append(s.buffer, read...)); err != nil {
		return err
	}
	s.buffer = s.buffer[:0]
	if cap(s.buffer) > maxRetainedBufferBytes {
		s.setBuffer(nil)
	}
	return nil
}
