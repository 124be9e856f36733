package check

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
)

// NameRule describes the names that ObjectName accepts.
const NameRule = "must be 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Text returns value if it is a string. It refuses other types and a missing
// value.
func (f *File) Text(key string, value any) (string, bool) {
	text, ok := value.(string)
	if !ok {
		f.Refuse(key, "must be a string")
	}
	return text, ok
}

// ObjectName returns value if it is a string that follows NameRule. It refuses
// other values and a missing one.
func (f *File) ObjectName(key string, value any) (string, bool) {
	text, ok := value.(string)
	if !ok || !namePattern.MatchString(text) {
		f.Refuse(key, NameRule)
		return "", false
	}
	return text, true
}

// OneOf returns value, and refuses it if it is not one of the allowed strings. If
// value is missing and fallback is not "", it returns fallback.
func (f *File) OneOf(key string, value any, fallback string, allowed []string) string {
	if value == nil && fallback != "" {
		return fallback
	}
	text, ok := value.(string)
	if !ok || !slices.Contains(allowed, text) {
		f.Refuse(key, "must be one of "+strings.Join(allowed, ", "))
	}
	return text
}

// Bool returns value, or false if it is missing. It refuses other types.
func (f *File) Bool(key string, value any) bool {
	if value == nil {
		return false
	}
	return f.RequiredBool(key, value)
}

// RequiredBool returns value. It refuses other types and a missing value.
func (f *File) RequiredBool(key string, value any) bool {
	b, ok := value.(bool)
	if !ok {
		f.Refuse(key, "must be true or false")
	}
	return b
}

// Int returns value if it is an integer from low to high. If value is missing, it
// returns fallback. It refuses other values and then returns fallback as well.
func (f *File) Int(key string, value any, fallback, low, high int) int {
	if value == nil {
		return fallback
	}
	number, ok := value.(int64)
	if !ok || number < int64(low) || number > int64(high) {
		f.Refuse(key, fmt.Sprintf("must be a whole number from %d to %d", low, high))
		return fallback
	}
	return int(number)
}

// Number returns value if it is a finite integer or float for which isAllowed returns
// true. Otherwise, or if value is missing, it refuses value with the message allowed
// and returns 0.
func (f *File) Number(key string, value any, isAllowed func(float64) bool, allowed string) float64 {
	number, isNumber := value.(float64)
	if whole, isWhole := value.(int64); isWhole {
		number, isNumber = float64(whole), true
	}
	if !isNumber || math.IsNaN(number) || math.IsInf(number, 0) || !isAllowed(number) {
		f.Refuse(key, allowed)
		return 0
	}
	return number
}

// Duration returns the duration in the string value if it is from low to high. If
// value is missing and fallback is above 0, it returns fallback. It refuses other
// values, and a missing value without a fallback, and then returns fallback as well.
func (f *File) Duration(key string, value any, fallback, low, high time.Duration) time.Duration {
	if value == nil && fallback > 0 {
		return fallback
	}
	text, _ := value.(string)
	duration, err := time.ParseDuration(text)
	if err != nil || duration < low || duration > high {
		f.Refuse(key, fmt.Sprintf("must be a duration in a string, such as \"2s\", from %s to %s", low, high))
		return fallback
	}
	return duration
}

// Unique refuses name, the value at key, if it is also the value at an earlier key.
// seen maps each earlier name to its key; Unique adds name to seen.
func (f *File) Unique(seen map[string]string, key, name string) {
	if earlier, ok := seen[name]; ok {
		f.Refuse(key, fmt.Sprintf("must be unique; %s in line %d is the same", earlier, f.Line(earlier)))
		return
	}
	seen[name] = key
}

// List returns the elements of value, or nil if it is missing. It refuses other
// types with the message allowed.
func (f *File) List(key string, value any, allowed string) []any {
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		f.Refuse(key, allowed)
	}
	return list
}
