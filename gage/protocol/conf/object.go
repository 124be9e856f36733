package conf

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/greengagewind/greengagewind/gage"
)

// object is one table of a configuration file in canonical form.
type object struct {
	// Kind is the name of the array that contains the table, or "" for the
	// top-level fields of the file.
	Kind   string
	Name   string
	Fields []field
}

// field is a key with its value. If List is true, Values holds the elements of the
// value in TOML syntax. Otherwise it holds only the value itself, in TOML syntax.
type field struct {
	Key    string
	Values []string
	List   bool
}

// objects returns config as tables, sorted by kind and name.
func objects(config gage.Config) []object {
	all := []object{{Fields: []field{stringField("Deployment", config.Deployment)}}}
	for _, w := range config.Workspaces {
		all = append(all, workspaceObject(w))
	}
	for _, s := range config.Services {
		all = append(all, serviceObject(s))
	}
	for _, r := range config.Routes {
		all = append(all, routeObject(r))
	}
	for _, z := range config.Zones {
		all = append(all, object{"Zone", z.Name, []field{boolField("InService", z.InService)}})
	}
	for _, t := range config.Targets {
		all = append(all, object{"Target", t.Name, []field{boolField("InService", t.InService)}})
	}
	slices.SortStableFunc(all, func(a, b object) int {
		if a.Kind != b.Kind {
			return cmp.Compare(kindRank(a.Kind), kindRank(b.Kind))
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return all
}

func kindRank(kind string) int {
	return slices.Index([]string{"", "Workspace", "Service", "Route", "Zone", "Target"}, kind)
}

func workspaceObject(w gage.Workspace) object {
	digests := field{Key: "KeyDigests", List: true}
	for _, digest := range slices.Sorted(slices.Values(w.KeyDigests)) {
		digests.Values = append(digests.Values, strconv.Quote(digest))
	}
	return object{"Workspace", w.Name, []field{
		digests,
		floatField("Rate", w.Rate),
		floatField("Burst", w.Burst),
	}}
}

func serviceObject(s gage.Service) object {
	return object{"Service", s.Name, []field{
		intField("MaxConcurrency", s.MaxConcurrency),
		stringField("ColdStart", s.ColdStart.String()),
		intField("ColdConcurrency", s.ColdConcurrency),
	}}
}

func routeObject(r gage.Route) object {
	var methodField []field
	if r.Method != "" {
		methodField = append(methodField, stringField("Method", r.Method))
	}
	return object{"Route", r.Name, append(
		methodField,
		stringField("PathPrefix", r.PathPrefix),
		stringField("Service", r.Service),
		stringField("Importance", string(r.Importance)),
		boolField("Idempotent", r.Idempotent),
		boolField("Open", r.Open),
		boolField("Internal", r.Internal),
		stringField("Deadline", r.Deadline.String()),
	)}
}

func stringField(key, value string) field {
	return field{Key: key, Values: []string{strconv.Quote(value)}}
}

func boolField(key string, value bool) field {
	return field{Key: key, Values: []string{strconv.FormatBool(value)}}
}

func intField(key string, value int) field {
	return field{Key: key, Values: []string{strconv.Itoa(value)}}
}

func floatField(key string, value float64) field {
	return field{Key: key, Values: []string{strconv.FormatFloat(value, 'f', -1, 64)}}
}
