package check

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"sort"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

const (
	// missingText is the Value of a Problem whose key is not in the file.
	missingText = "(missing)"
	// maxValueRunes is the maximum length, in characters, of the Value of a
	// Problem. A longer text is truncated.
	maxValueRunes = 80
	// maxProblems is how many problems of one file are reported. If there are
	// more, a last Problem states how many are left out.
	maxProblems = 200
)

// File is a decoded TOML file whose values are being checked. The methods record
// each problem and continue, so that an operator sees all problems at once.
type File struct {
	Name     string
	problems Problems
	entries  map[string]entry
}

// Read decodes text into the struct to which into points. The names of the struct
// fields are the keys of the file. Fields that hold a value must have the type
// any, so that a value of a wrong type is reported by the check of that field.
// Read returns false if the text is longer than maxBytes or cannot be decoded.
func Read(name string, text []byte, maxBytes int, into any) (*File, bool) {
	f := &File{Name: name, entries: make(map[string]entry)}
	if len(text) > maxBytes {
		f.problems = Problems{{File: name, Allowed: fmt.Sprintf(
			"the file has %d bytes; at most %d are allowed", len(text), maxBytes)}}
		return f, false
	}
	if !utf8.Valid(text) {
		f.problems = Problems{{File: name, Allowed: "the file must be UTF-8 text"}}
		return f, false
	}
	entries := indexEntries(text)
	for _, e := range entries {
		f.entries[e.key] = e
	}
	f.checkKeys(entries, into)
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	if err == nil || (errors.As(err, &strict) && len(f.problems) > 0) {
		return f, true
	}
	f.addDecodeError(err)
	return f, false
}

// Problems returns the problems recorded so far, sorted by line.
func (f *File) Problems() Problems {
	sort.SliceStable(f.problems, func(i, j int) bool {
		return f.problems[i].Line < f.problems[j].Line
	})
	if more := len(f.problems) - maxProblems; more > 0 {
		return append(f.problems[:maxProblems:maxProblems], Problem{
			File: f.Name, Allowed: fmt.Sprintf("there are %d more problems; correct these first", more),
		})
	}
	return f.problems
}

// Refuse records that the value at key is not one of those that allowed describes.
func (f *File) Refuse(key, allowed string) {
	f.refuseValue(key, f.valueText(key), allowed)
}

// RefuseSecret records that the value at key is not one of those that allowed
// describes, with "(not shown)" in place of the value.
func (f *File) RefuseSecret(key, allowed string) {
	f.refuseValue(key, "(not shown)", allowed)
}

// Line returns the line of key. If key is not in the file, it returns the line of
// the innermost enclosing table or array that is in the file, or 1 if there is none.
func (f *File) Line(key string) int {
	for ; key != ""; key = parent(key) {
		if e, ok := f.entries[key]; ok {
			return e.line
		}
	}
	return 1
}

func (f *File) valueText(key string) string {
	e, ok := f.entries[key]
	if !ok {
		return missingText
	}
	return truncate(e.text)
}

func (f *File) refuseValue(key, value, allowed string) {
	f.problems = append(f.problems, Problem{
		File: f.Name, Line: f.Line(key), Key: key, Value: value, Allowed: allowed,
	})
}

// addDecodeError records err unless its line already has a problem.
func (f *File) addDecodeError(err error) {
	line := 0
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	for _, p := range f.problems {
		if p.Line == line {
			return
		}
	}
	f.problems = append(f.problems, Problem{File: f.Name, Line: line, Allowed: err.Error()})
}

var arrayIndexPattern = regexp.MustCompile(`\[\d+\]`)

// checkKeys refuses the keys that do not match a field of into. The decoder alone
// would accept names in another case, and a table in place of an array. An unknown
// key is reported once, even if it occurs in several tables of an array.
func (f *File) checkKeys(entries []entry, into any) {
	s := schemaOf(into)
	reportedPaths := make(map[string]bool)
	for _, e := range entries {
		path := arrayIndexPattern.ReplaceAllString(e.key, "")
		table := parent(path)
		switch {
		case table != "" && !s.holdsFields(table):
		case s[path] == shapeNone && reportedPaths[path]:
			continue
		case s[path] == shapeNone:
			reportedPaths[path] = true
			f.refuseValue(e.key, truncate(e.text), "unknown field; allowed here: "+s.fieldNames(table))
		case s[path] == shapeTables && !e.isArrayOrElement():
			f.refuseValue(e.key, truncate(e.text), "must be written as [["+path+"]], once for each")
		case s[path] == shapeTable && e.text != "" && e.text[0] != '{':
			f.refuseValue(e.key, truncate(e.text), "must be a table with "+s.fieldNames(path))
		}
	}
}

// truncate returns text on one line, cut after maxValueRunes characters.
func truncate(text string) string {
	runes := []rune(text)
	for i, r := range runes {
		if r == '\n' || r == '\r' || r == '\t' {
			runes[i] = ' '
		}
	}
	if len(runes) > maxValueRunes {
		return string(runes[:maxValueRunes]) + "…"
	}
	return string(runes)
}
