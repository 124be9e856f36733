package check

import (
	"reflect"
	"sort"
	"strings"
)

// shape is the kind of value that a file may hold at a key.
type shape string

const (
	// shapeNone is the shape at a key that is not in the schema.
	shapeNone   shape = ""
	shapeValue  shape = "Value"
	shapeTable  shape = "Table"
	shapeTables shape = "Tables"
)

// schema maps the path of each field, without array indices, to its shape.
type schema map[string]shape

// schemaOf returns the schema of the struct to which into points.
func schemaOf(into any) schema {
	s := make(schema)
	s.add("", reflect.TypeOf(into).Elem())
	return s
}

func (s schema) add(path string, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		fieldPath := join(path, field.Name)
		switch field.Type.Kind() {
		case reflect.Slice:
			s[fieldPath] = shapeTables
			s.add(fieldPath, field.Type.Elem())
		case reflect.Struct:
			s[fieldPath] = shapeTable
			s.add(fieldPath, field.Type)
		default:
			s[fieldPath] = shapeValue
		}
	}
}

func (s schema) holdsFields(path string) bool {
	return s[path] == shapeTable || s[path] == shapeTables
}

// fieldNames returns the names of the fields of the table at path, sorted and
// separated by commas.
func (s schema) fieldNames(path string) string {
	var names []string
	for field := range s {
		if parent(field) == path {
			names = append(names, field[strings.LastIndex(field, ".")+1:])
		}
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
