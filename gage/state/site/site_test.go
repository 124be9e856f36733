package site_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
	"github.com/greengagewind/greengagewind/gage/state/site"
)

const key = "6wsjnbanfqasnmgkcuyj"

func config() gage.Config {
	return gage.Config{
		Generation: 7,
		Workspaces: []gage.Workspace{{Name: "aurora", KeyDigests: []string{keys.Digest(key)}, Rate: 10, Burst: 10}},
		Services:   []gage.Service{{Name: "search"}, {Name: "custody"}},
		Routes: []gage.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Service: "search"},
			{Name: "lodge", Host: "a.example", PathPrefix: "/lodge/", Service: "custody"},
			{Name: "deep", Host: "a.example", PathPrefix: "/lodge/deep/", Service: "search"},
			{Name: "other", Host: "B.example", PathPrefix: "/x/", Service: "search"},
		},
	}
}

func TestRouteHasLongestMatchingPrefix(t *testing.T) {
	s, err := site.New(config())
	assert.NilError(t, err)
	cases := []struct{ host, path, route string }{
		{"a.example", "/lodge/1", "lodge"},
		{"a.example", "/lodge/deep/1", "deep"},
		{"a.example", "/lodge/deep", "lodge"},
		{"a.example", "/lodge", "all"},
		{"a.example", "/lodgex/1", "all"},
		{"A.EXAMPLE:8080", "/lodge/1", "lodge"},
		{"b.example", "/x/", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "/%6codge/1", "all"},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			r, found := s.Route(c.host, c.path)
			assert.Equal(t, found, c.route != "")
			if found {
				assert.Equal(t, r.Name, c.route)
			}
		})
	}
}

func TestWorkspaceByKey(t *testing.T) {
	s, err := site.New(config())
	assert.NilError(t, err)
	w, found := s.WorkspaceByKey(key)
	assert.Assert(t, found)
	assert.Equal(t, w.Name, "aurora")
	_, found = s.WorkspaceByKey(key + "x")
	assert.Assert(t, !found)
	_, found = s.WorkspaceByKey("")
	assert.Assert(t, !found)
}

func TestNewRejectsInvalidConfigurations(t *testing.T) {
	cases := map[string]func(c *gage.Config){
		"unknown service":      func(c *gage.Config) { c.Routes[0].Service = "none" },
		"unknown split":        func(c *gage.Config) { c.Routes[0].Splits = []gage.Split{{Service: "none", Weight: 1}} },
		"prefix without slash": func(c *gage.Config) { c.Routes[0].PathPrefix = "/x" },
		"shared key": func(c *gage.Config) {
			c.Workspaces = append(c.Workspaces, gage.Workspace{Name: "boreal", KeyDigests: []string{keys.Digest(key)}})
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			c := config()
			change(&c)
			_, err := site.New(c)
			assert.Assert(t, err != nil)
		})
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := &gage.Route{Splits: []gage.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 0}, {Service: "c", Weight: 10}}}
	counts := make(map[string]int)
	const draws = 1000
	for i := range draws {
		counts[site.PickService(r, float64(i)/draws)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "c": 100})
	assert.Equal(t, site.PickService(&gage.Route{Service: "d"}, 0.5), "d")
}
