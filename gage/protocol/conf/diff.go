package conf

import (
	"slices"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
)

// Change is one difference between two configurations.
type Change struct {
	// Object is the kind and name of the table, such as "Workspace aurora", or
	// "" for the top-level fields of the file.
	Object string
	Key    string
	// Old is "" if and only if the value was added.
	Old string
	// New is "" if and only if the value was removed.
	New string
}

// Diff returns the changes from before to after. For an object that was added or
// removed it returns all fields, and for any other object the fields that differ. It
// returns a separate Change for each list element that was added or removed.
func Diff(before, after gage.Config) []Change {
	var changes []Change
	oldObjects, newObjects := objects(before), objects(after)
	oldByTitle, newByTitle := byTitle(oldObjects), byTitle(newObjects)
	for _, o := range oldObjects {
		changes = append(changes, compare(o.title(), o, newByTitle[o.title()])...)
	}
	for _, o := range newObjects {
		if _, existed := oldByTitle[o.title()]; !existed {
			changes = append(changes, compare(o.title(), object{}, o)...)
		}
	}
	return changes
}

func (o object) title() string {
	return strings.TrimSpace(o.Kind + " " + o.Name)
}

func byTitle(list []object) map[string]object {
	index := make(map[string]object, len(list))
	for _, o := range list {
		index[o.title()] = o
	}
	return index
}

func compare(title string, before, after object) []Change {
	var changes []Change
	for _, f := range before.Fields {
		changes = append(changes, compareField(title, f, findField(after, f.Key))...)
	}
	for _, f := range after.Fields {
		if findField(before, f.Key).Key == "" {
			changes = append(changes, compareField(title, field{Key: f.Key, List: f.List}, f)...)
		}
	}
	return changes
}

func findField(o object, key string) field {
	for _, f := range o.Fields {
		if f.Key == key {
			return f
		}
	}
	return field{}
}

func compareField(title string, before, after field) []Change {
	if !before.List && len(before.Values) == 1 && len(after.Values) == 1 {
		if before.Values[0] == after.Values[0] {
			return nil
		}
		return []Change{{Object: title, Key: before.Key, Old: before.Values[0], New: after.Values[0]}}
	}
	var changes []Change
	for _, value := range before.Values {
		if !slices.Contains(after.Values, value) {
			changes = append(changes, Change{Object: title, Key: before.Key, Old: value})
		}
	}
	for _, value := range after.Values {
		if !slices.Contains(before.Values, value) {
			changes = append(changes, Change{Object: title, Key: before.Key, New: value})
		}
	}
	return changes
}
