package match

import (
	"net/url"
	"strings"
)

// decodePath returns the path without its query and with its percent escapes
// decoded. It returns false for paths that a target may split into other
// segments than the route table does: paths with encoded separators, double
// encoding, dot segments, empty segments, backslashes or control bytes. It also
// returns false for a path with a fragment or without a leading slash.
func decodePath(path string) (string, bool) {
	path, _, _ = strings.Cut(path, "?")
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\#") {
		return "", false
	}
	decoded := path
	if strings.IndexByte(path, '%') >= 0 {
		var err error
		decoded, err = url.PathUnescape(path)
		if err != nil || strings.Count(decoded, "/") != strings.Count(path, "/") {
			return "", false
		}
	}
	return decoded, isUnambiguous(decoded)
}

// isUnambiguous reports whether the decoded path is free of control bytes,
// backslashes, percent escapes, empty segments and dot segments.
func isUnambiguous(decoded string) bool {
	for i := 0; i < len(decoded); i++ {
		if decoded[i] < ' ' || decoded[i] == 0x7f || decoded[i] == '\\' {
			return false
		}
		if decoded[i] == '%' && startsWithEscape(decoded[i:]) {
			return false
		}
	}
	remaining := decoded[1:]
	for remaining != "" {
		segment, after, more := strings.Cut(remaining, "/")
		if !isPlainSegment(segment) {
			return false
		}
		if !more {
			return true
		}
		remaining = after
	}
	return true
}

// isPlainSegment reports whether the segment is neither empty nor a dot
// segment. It ignores path parameters, which begin with a semicolon, because
// some servers remove them before they resolve dot segments.
func isPlainSegment(segment string) bool {
	name, _, _ := strings.Cut(segment, ";")
	return name != "" && name != "." && name != ".."
}

// startsWithEscape reports whether s starts with a valid percent escape, which a
// second decoding would replace. s must start with a percent sign.
func startsWithEscape(s string) bool {
	return len(s) >= 3 && isHexDigit(s[1]) && isHexDigit(s[2])
}

func isHexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
