// Package site indexes one configuration for the data path. It finds the route
// of a request and the workspace of a key, and splits the requests of a route
// between services by weight.
package site

import (
	"fmt"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

// Site is an immutable index of one configuration.
type Site struct {
	Config gage.Config
	keys   *keys.Table
	// routes holds the routes by lower-case host name and path prefix.
	routes     map[string]map[string]*gage.Route
	services   map[string]*gage.Service
	workspaces map[string]*gage.Workspace
}

// New returns the index of a configuration. It returns an error when two
// workspaces share a key, when a path prefix does not begin and end with a
// slash, or when a route names a service that is not configured. The key
// digests must be well-formed.
func New(config gage.Config) (*Site, error) {
	s := &Site{
		Config:     config,
		routes:     make(map[string]map[string]*gage.Route),
		services:   make(map[string]*gage.Service),
		workspaces: make(map[string]*gage.Workspace),
	}
	if err := s.addWorkspaces(); err != nil {
		return nil, err
	}
	for i := range config.Services {
		s.services[config.Services[i].Name] = &s.Config.Services[i]
	}
	for i := range config.Routes {
		if err := s.addRoute(&s.Config.Routes[i]); err != nil {
			return nil, err
		}
	}
	s.keys = keys.New(config)
	return s, nil
}

func (s *Site) addWorkspaces() error {
	owners := make(map[string]string)
	for i := range s.Config.Workspaces {
		w := &s.Config.Workspaces[i]
		s.workspaces[w.Name] = w
		for _, digest := range w.KeyDigests {
			if owner, found := owners[digest]; found && owner != w.Name {
				return fmt.Errorf("workspaces %q and %q share a key; give each its own keys", owner, w.Name)
			}
			owners[digest] = w.Name
		}
	}
	return nil
}

func (s *Site) addRoute(r *gage.Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q has path prefix %q, which must begin and end with a slash", r.Name, r.PathPrefix)
	}
	for _, name := range RouteServices(r) {
		if s.services[name] == nil {
			return fmt.Errorf("route %q names service %q, which is not configured", r.Name, name)
		}
	}
	host := strings.ToLower(r.Host)
	if s.routes[host] == nil {
		s.routes[host] = make(map[string]*gage.Route)
	}
	s.routes[host][r.PathPrefix] = r
	return nil
}

// RouteServices returns the names of the services to which a route can send
// requests.
func RouteServices(r *gage.Route) []string {
	if len(r.Splits) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Splits))
	for _, split := range r.Splits {
		names = append(names, split.Service)
	}
	return names
}

// Route returns the route with the longest path prefix that matches the host
// and path of a request. The host may have a port. The path is escaped and has
// no query.
func (s *Site) Route(host, path string) (*gage.Route, bool) {
	prefixes := s.routes[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// hostName returns host in lower case and without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// WorkspaceByKey returns the workspace to which a caller's key belongs.
func (s *Site) WorkspaceByKey(key string) (*gage.Workspace, bool) {
	name, ok := s.keys.Lookup(key)
	if !ok {
		return nil, false
	}
	return s.workspaces[name], true
}

// WorkspaceByName returns the workspace of the given name, or nil.
func (s *Site) WorkspaceByName(name string) *gage.Workspace {
	return s.workspaces[name]
}

// Service returns the service of the given name, or nil.
func (s *Site) Service(name string) *gage.Service {
	return s.services[name]
}

// PickService returns the name of the service for one request of a route, in
// proportion to the weights of the route's splits. random must be uniformly
// distributed in [0, 1).
func PickService(r *gage.Route, random float64) string {
	totalWeight := 0.0
	for _, split := range r.Splits {
		totalWeight += split.Weight
	}
	if totalWeight <= 0 {
		return r.Service
	}
	remaining := random * totalWeight
	for _, split := range r.Splits {
		if remaining < split.Weight {
			return split.Service
		}
		remaining -= split.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
