package entry

import (
	"net/url"
	"strings"
)

// containsKey reports whether the part of a request that would be forwarded to
// a target contains an API key. The key that the caller presented is found as any
// substring, and any valid key as a separate word.
func containsKey(view *View, a Arrival) bool {
	for _, text := range forwardedTexts(a) {
		if a.Key != "" && strings.Contains(text, a.Key) || view.Keys.ContainsKey(text) {
			return true
		}
	}
	return a.Key != "" && headerNameContainsKey(a)
}

// forwardedTexts returns the path, body and header values of a request, which
// are forwarded to a target. It also returns decoded forms, without percent
// escapes, of the path and of each header value that contains a "%".
func forwardedTexts(a Arrival) []string {
	texts := []string{a.Path, unescape(a.Path), string(a.Body)}
	for _, line := range a.Header {
		texts = append(texts, line.Value)
		if strings.Contains(line.Value, "%") {
			texts = append(texts, unescape(line.Value))
		}
	}
	return texts
}

// headerNameContainsKey reports whether the name of a header contains the key that
// the caller presented. It ignores case, since HTTP does so in header names.
func headerNameContainsKey(a Arrival) bool {
	lowerKey := strings.ToLower(a.Key)
	for _, line := range a.Header {
		if strings.Contains(strings.ToLower(line.Name), lowerKey) {
			return true
		}
	}
	return false
}

// unescape returns text with its percent escapes decoded, or unchanged if they
// are malformed.
func unescape(text string) string {
	plain, err := url.PathUnescape(text)
	if err != nil {
		return text
	}
	return plain
}
