// Package site answers questions about one accepted configuration: which
// route a request takes, whose key it carries and where a route's share goes.
package site

import (
	"fmt"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

// Site is an immutable index over one configuration.
type Site struct {
	Config     gage.Config
	keys       *keys.Table
	routes     map[string]map[string]*gage.Route
	services   map[string]*gage.Service
	workspaces map[string]*gage.Workspace
}

// New indexes a configuration.
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
			if owner, taken := owners[digest]; taken && owner != w.Name {
				return fmt.Errorf("workspaces %q and %q have a key in common; give each its own", owner, w.Name)
			}
			owners[digest] = w.Name
		}
	}
	return nil
}

func (s *Site) addRoute(r *gage.Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q has the path prefix %q; begin and end it with a slash", r.Name, r.PathPrefix)
	}
	for _, name := range RouteServices(r) {
		if s.services[name] == nil {
			return fmt.Errorf("route %q names the service %q, which is not configured", r.Name, name)
		}
	}
	host := strings.ToLower(r.Host)
	if s.routes[host] == nil {
		s.routes[host] = make(map[string]*gage.Route)
	}
	s.routes[host][r.PathPrefix] = r
	return nil
}

// RouteServices lists the services that a route may go to.
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

// Route returns the route of a host and an escaped path without its query:
// the one with the longest prefix that begins the path.
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

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// WorkspaceByKey returns the workspace that a key belongs to.
func (s *Site) WorkspaceByKey(key string) (*gage.Workspace, bool) {
	name, ok := s.keys.Lookup(key)
	if !ok {
		return nil, false
	}
	return s.workspaces[name], true
}

// WorkspaceByName returns a workspace by its name, or nil.
func (s *Site) WorkspaceByName(workspace string) *gage.Workspace {
	return s.workspaces[workspace]
}

// Service returns a service by its name, or nil.
func (s *Site) Service(name string) *gage.Service {
	return s.services[name]
}

// PickService returns the service that one request of a route goes to; draw is
// uniform in [0, 1).
func PickService(r *gage.Route, draw float64) string {
	total := 0.0
	for _, split := range r.Splits {
		total += split.Weight
	}
	if total <= 0 {
		return r.Service
	}
	left := draw * total
	for _, split := range r.Splits {
		if left < split.Weight {
			return split.Service
		}
		left -= split.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
