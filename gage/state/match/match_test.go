package match_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/match"
)

func config() gage.Config {
	return gage.Config{Routes: []gage.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "search", Method: "GET", PathPrefix: "/search"},
		{Name: "lodge", Method: "POST", PathPrefix: "/custody/lodge/"},
		{Name: "custody", PathPrefix: "/custody"},
		{Name: "admin", PathPrefix: "/search/admin"},
	}}
}

func TestFind(t *testing.T) {
	table := match.New(config())
	cases := []struct {
		method, path, route string
	}{
		{"GET", "/search", "search"},
		{"GET", "/search?q=/custody", "search"},
		{"GET", "/search/", "search"},
		{"GET", "/search/a/b", "search"},
		{"GET", "/%73earch/a", "search"},
		{"GET", "/search/%61dmin", "admin"},
		{"GET", "/searching", "all"},
		{"POST", "/search", "all"},
		{"POST", "/custody/lodge", "lodge"},
		{"GET", "/custody/lodge", "custody"},
		{"GET", "/", "all"},
		{"GET", "/price/100%25", "all"},
	}
	for _, c := range cases {
		route, ok := table.Find(c.method, c.path)
		assert.Assert(t, ok, c.path)
		assert.Equal(t, route.Name, c.route, c.path)
	}
}

func TestFindRejectsAmbiguousPaths(t *testing.T) {
	table := match.New(config())
	paths := []string{
		"", "search", "*", "//search", "/search//admin", "/search/../custody",
		"/x/./search", "/x%2fsearch", "/x%2Fsearch", "/x/%2e%2e/custody",
		"/x/%2E./custody", "/x%5c..%5ccustody", "/x\\custody", "/x%252fcustody",
		"/x/..;a=b/custody", "/x/;a/custody", "/x%00", "/x%zz", "/x%0a", "/a#b",
	}
	for _, path := range paths {
		route, ok := table.Find("GET", path)
		assert.Assert(t, !ok, "path %q matched route %s", path, route.Name)
	}
}

func TestFindWithoutMatchingRoute(t *testing.T) {
	table := match.New(gage.Config{Routes: []gage.Route{{Name: "a", PathPrefix: "/a"}}})
	_, ok := table.Find("GET", "/b")
	assert.Assert(t, !ok)
}
