// Package match finds the route of a request by its method and path.
package match

import (
	"strings"

	"github.com/greengagewind/greengagewind/gage"
)

// Table is an immutable route table built from one configuration.
type Table struct {
	// routes is keyed by path prefixes without a trailing slash. The prefix ""
	// matches every path.
	routes map[routeKey]gage.Route
}

type routeKey struct {
	// method is an HTTP method, or "" for any.
	method string
	prefix string
}

// New returns the route table of a configuration.
func New(config gage.Config) *Table {
	t := &Table{routes: make(map[routeKey]gage.Route, len(config.Routes))}
	for _, route := range config.Routes {
		prefix := strings.TrimRight(route.PathPrefix, "/")
		t.routes[routeKey{route.Method, prefix}] = route
	}
	return t
}

// Find returns the route for a method and an escaped path, whose query is
// ignored. Of the routes that match the method, the one with the longest prefix
// of whole path segments is chosen. For equal prefixes, a route with a method
// takes precedence over one for any method. Find returns false for paths that a
// target may split into other segments than this table does.
func (t *Table) Find(method, path string) (gage.Route, bool) {
	decoded, ok := decodePath(path)
	if !ok {
		return gage.Route{}, false
	}
	prefix := strings.TrimSuffix(decoded, "/")
	for {
		if route, found := t.routes[routeKey{method, prefix}]; found {
			return route, true
		}
		if route, found := t.routes[routeKey{"", prefix}]; found {
			return route, true
		}
		lastSlash := strings.LastIndexByte(prefix, '/')
		if lastSlash < 0 {
			return gage.Route{}, false
		}
		prefix = prefix[:lastSlash]
	}
}
