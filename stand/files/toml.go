// Package files reads the TOML files that describe trials.
package files

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is written as text in a file, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// ReadTOML decodes a TOML file into v. It returns an error that names the keys
// for which v has no field.
func ReadTOML(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(v)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var keys []string
		for _, e := range unknown.Errors {
			keys = append(keys, strings.Join(e.Key(), "."))
		}
		return fmt.Errorf("%s: unknown keys: %s", path, strings.Join(keys, ", "))
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
