package conf

import (
	"fmt"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
)

// Render returns the canonical text of a configuration. It contains every field,
// with the objects of each kind sorted by name. Parse returns the same
// configuration for it, except for the Generation and the order of the objects.
func Render(config gage.Config) []byte {
	var b strings.Builder
	for _, o := range objects(config) {
		if o.Kind != "" {
			fmt.Fprintf(&b, "\n[[%s]]\nName = %q\n", o.Kind, o.Name)
		}
		for _, f := range o.Fields {
			renderField(&b, f)
		}
	}
	return []byte(b.String())
}

func renderField(b *strings.Builder, f field) {
	switch {
	case !f.List:
		fmt.Fprintf(b, "%s = %s\n", f.Key, f.Values[0])
	case len(f.Values) == 0:
		fmt.Fprintf(b, "%s = []\n", f.Key)
	default:
		fmt.Fprintf(b, "%s = [\n  %s,\n]\n", f.Key, strings.Join(f.Values, ",\n  "))
	}
}
