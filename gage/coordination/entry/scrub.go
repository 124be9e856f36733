package entry

import (
	"net/url"
	"strings"
)

// carriesKey reports whether what a target would see of a request holds a key:
// the one presented, anywhere, or any key in force as a word of its own.
func carriesKey(view *View, a Arrival) bool {
	for _, text := range visible(a) {
		if a.Key != "" && strings.Contains(text, a.Key) || view.Keys.ContainsKey(text) {
			return true
		}
	}
	return a.Key != "" && namesKey(a)
}

// visible returns the texts of a request that a target gets to see, with
// percent escapes also resolved.
func visible(a Arrival) []string {
	texts := []string{a.Path, unescape(a.Path), string(a.Body)}
	for _, line := range a.Header {
		texts = append(texts, line.Value)
		if strings.Contains(line.Value, "%") {
			texts = append(texts, unescape(line.Value))
		}
	}
	return texts
}

// namesKey reports whether a header's name holds the presented key. HTTP folds
// the case of names.
func namesKey(a Arrival) bool {
	folded := strings.ToLower(a.Key)
	for _, line := range a.Header {
		if strings.Contains(strings.ToLower(line.Name), folded) {
			return true
		}
	}
	return false
}

// unescape returns text with its percent escapes resolved, or as it is when
// they are broken.
func unescape(text string) string {
	plain, err := url.PathUnescape(text)
	if err != nil {
		return text
	}
	return plain
}
