package header

import (
	"fmt"
	"net/http"
	"strings"
)

// CheckStatus returns an error if a status is none of a final response. HTTP knows those
// from 200 to 599; net/http reads any three digits.
func CheckStatus(status int) error {
	if status < 200 || status > 599 {
		return fmt.Errorf("a response has the status %03d, which is not from 200 to 599", status)
	}
	return nil
}

// CheckNames returns an error if the name of a header is no token. net/http accepts blanks
// in the headers of responses, and takes a Content-Length or Transfer-Encoding with a blank
// before its colon for another header, so that the body has another end.
func CheckNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("a response has the header name %.64q, which is not allowed", name)
		}
	}
	return nil
}

// isToken reports whether a name is a token as RFC 9110 defines it.
func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes holds the bytes of tokens.
var tokenBytes = func() (allowed [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789" + letters + strings.ToUpper(letters)) {
		allowed[b] = true
	}
	return allowed
}()
