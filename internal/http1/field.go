package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// parseField parses a header field line. It evaluates the fields that frame the body, then passes every field to h.
func (d *decoder) parseField(line []byte, h headParser) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return errMalformedField
	}
	if !isToken(name) {
		return errMalformedFieldName
	}
	value = bytes.Trim(value, " \t")
	switch {
	case equalFold(name, fieldContentLength):
		length, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || value[0] == '+' || d.framing.contentLength >= 0 && d.framing.contentLength != int64(length) {
			return malformed(fieldContentLength)
		}
		d.framing.contentLength = int64(length)
	case equalFold(name, fieldTransferEncoding):
		if d.framing.transferCoding || !equalFold(value, valueChunked) {
			return errUnknownCoding
		}
		d.framing.transferCoding = true
	}
	return h.field(name, value)
}

// isToken reports whether all bytes of p are allowed in a token, which is the syntax of methods and field names.
func isToken(p []byte) bool {
	for _, c := range p {
		if !isTokenCharacter(c) {
			return false
		}
	}
	return true
}

// isTokenCharacter reports whether c is allowed in a token (RFC 9110, 5.6.2).
func isTokenCharacter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// hasControlCharacter reports whether a line contains a control character other than a tab.
func hasControlCharacter(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// isPrintable reports whether all bytes of p are ASCII characters between lowest and '~', both included.
func isPrintable(p []byte, lowest byte) bool {
	for _, c := range p {
		if c < lowest || c >= 0x7f {
			return false
		}
	}
	return true
}

// isDecimal reports whether p consists of digits and decimal points only.
// This excludes signs, exponents, hexadecimal numbers, Inf and NaN, all of which strconv.ParseFloat accepts.
func isDecimal(p []byte) bool {
	for _, c := range p {
		if c != '.' && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// equalFold reports whether p and s are equal without regard to case.
func equalFold(p []byte, s string) bool { return len(p) == len(s) && strings.EqualFold(string(p), s) }

// listContains reports whether a comma-separated list has an element, without regard to case.
func listContains(list []byte, element string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if equalFold(bytes.Trim(part, " \t"), element) {
			return true
		}
	}
	return false
}

// persistence holds the parts of a message that determine whether its connection persists after it.
type persistence struct {
	minorVersion int  // x of HTTP/1.x
	close        bool // the field Connection contains "close"
	keepAlive    bool // the field Connection contains "keep-alive"
}

// connectionField parses a value of the field Connection.
func (p *persistence) connectionField(value []byte) {
	p.close = p.close || listContains(value, valueClose)
	p.keepAlive = p.keepAlive || listContains(value, valueKeepAlive)
}

// closes reports whether the connection ends with the message. HTTP/1.0 connections end unless keep-alive is given.
func (p *persistence) closes() bool { return p.close || p.minorVersion == 0 && !p.keepAlive }

// parseVersion parses a protocol version. It returns x of HTTP/1.x, and false for any other version.
func parseVersion(p []byte) (minor int, ok bool) {
	if len(p) != 8 || string(p[:7]) != "HTTP/1." || p[7] < '0' || p[7] > '9' {
		return 0, false
	}
	return int(p[7] - '0'), true
}

// appendField appends a header field, unless the value is empty.
func appendField(p []byte, name, value string) []byte {
	if value == "" {
		return p
	}
	p = append(p, name...)
	p = append(p, ": "...)
	p = append(p, value...)
	return append(p, lineEnd...)
}

// appendContentLength appends the field Content-Length with a length in bytes.
func appendContentLength(p []byte, length int64) []byte {
	p = append(p, fieldContentLength+": "...)
	p = strconv.AppendInt(p, length, 10)
	return append(p, lineEnd...)
}

// appendSeconds appends a header field with a duration. The duration is given in milliseconds and written in seconds.
func appendSeconds(p []byte, name string, ms float64) []byte {
	p = append(p, name...)
	p = append(p, ": "...)
	p = strconv.AppendFloat(p, ms/1000, 'f', 3, 64)
	return append(p, lineEnd...)
}
