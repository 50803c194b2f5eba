package http1

import (
	"bytes"
	"strconv"
)

// checkTarget checks the characters of a request target, which is a path with an optional query.
// They have to be printable ASCII without spaces, and a fragment is not allowed.
func checkTarget(target []byte) error {
	if !isPrintable(target, '!') || bytes.IndexByte(target, '#') >= 0 {
		return errMalformedTarget
	}
	return nil
}

// isUnambiguousPath reports whether all parsers interpret a path in the same way.
// Such a path has no dot segments, no empty segments (except at its end), no backslash, and no encoded slash, backslash,
// dot or NUL. Each escape has two hexadecimal digits (RFC 3986, 3.3 and 6.2.2).
// The first segment names the class of a request, so an upstream must not find a different first segment than salttrack does.
func isUnambiguousPath(path []byte) bool {
	segmentStart := 1
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			segment := path[segmentStart:i]
			if len(segment) == 0 && i < len(path) || string(segment) == "." || string(segment) == ".." {
				return false
			}
			segmentStart = i + 1
			continue
		}
		if path[i] == '\\' || path[i] == '%' && !isUnambiguousEscape(path[i+1:]) {
			return false
		}
	}
	return true
}

// isUnambiguousEscape reports whether p, the text after a percent sign, begins with two hexadecimal digits
// that do not encode a slash, backslash, dot or NUL. Some parsers treat these four as part of the path's structure.
func isUnambiguousEscape(p []byte) bool {
	if len(p) < 2 {
		return false
	}
	c, err := strconv.ParseUint(string(p[:2]), 16, 8)
	return err == nil && c != '/' && c != '\\' && c != '.' && c != 0
}
