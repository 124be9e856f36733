// Package conf parses, validates, renders and compares configuration files.
package conf

import (
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/check"
)

// Problems are the invalid values of a configuration file.
type Problems = check.Problems

// MaxFileBytes is the size of the largest file that can be applied. The rest of
// the store's value is reserved for the stamps, the comment lines with which
// package apply identifies each apply.
const MaxFileBytes = gage.MaxValueBytes - 4096

// Bounds and defaults of the values in a file.
const (
	maxRate                = 1e9
	minBurst               = 2
	maxConcurrency         = 1_000_000
	maxColdStart           = time.Hour
	defaultColdStart       = 10 * time.Second
	defaultColdConcurrency = 1
	minDeadline            = time.Millisecond
	maxDeadline            = 10 * time.Minute
)

// Parse returns the configuration in text, or its problems if it is not valid. file
// is the file's name, used only in the problems. The Generation of the result is 0.
func Parse(file string, text []byte) (gage.Config, Problems) {
	var d document
	f, ok := check.Read(file, text, gage.MaxValueBytes, &d)
	if !ok {
		return gage.Config{}, f.Problems()
	}
	p := parser{File: f}
	config := p.config(d)
	if problems := f.Problems(); len(problems) > 0 {
		return gage.Config{}, problems
	}
	return config, nil
}

// parser converts a document to a gage.Config and records its problems.
type parser struct {
	*check.File
}

func (p *parser) config(d document) gage.Config {
	deployment, _ := p.ObjectName("Deployment", d.Deployment)
	services := p.services(d.Service)
	if len(d.Route) == 0 {
		p.Refuse("Route", "must have at least one [[Route]]")
	}
	return gage.Config{
		Deployment: deployment,
		Workspaces: p.workspaces(d.Workspace),
		Services:   services,
		Routes:     p.routes(d.Route, d.Service),
		Zones:      p.zones(d.Zone),
		Targets:    p.targets(d.Target),
	}
}

func (p *parser) services(tables []service) []gage.Service {
	var services []gage.Service
	seen := make(map[string]string)
	for i, s := range tables {
		key := fmt.Sprintf("Service[%d]", i)
		services = append(services, gage.Service{
			Name:           p.uniqueName(seen, key, s.Name),
			MaxConcurrency: p.Int(key+".MaxConcurrency", s.MaxConcurrency, 0, 0, maxConcurrency),
			ColdStart:      p.Duration(key+".ColdStart", s.ColdStart, defaultColdStart, 0, maxColdStart),
			ColdConcurrency: p.Int(
				key+".ColdConcurrency", s.ColdConcurrency, defaultColdConcurrency, 1, maxConcurrency),
		})
	}
	return services
}

func (p *parser) zones(tables []zone) []gage.Zone {
	var zones []gage.Zone
	seen := make(map[string]string)
	for i, z := range tables {
		key := fmt.Sprintf("Zone[%d]", i)
		zones = append(zones, gage.Zone{
			Name:      p.uniqueName(seen, key, z.Name),
			InService: p.RequiredBool(key+".InService", z.InService),
		})
	}
	return zones
}

func (p *parser) targets(tables []target) []gage.Target {
	var targets []gage.Target
	seen := make(map[string]string)
	for i, t := range tables {
		key := fmt.Sprintf("Target[%d]", i)
		targets = append(targets, gage.Target{
			Name:      p.uniqueName(seen, key, t.Name),
			InService: p.RequiredBool(key+".InService", t.InService),
		})
	}
	return targets
}

// uniqueName returns the name of the table at key, and refuses a name that seen
// contains. seen maps the name of each earlier table to the path of its field Name,
// such as Target[0].Name; uniqueName adds the new name.
func (p *parser) uniqueName(seen map[string]string, key string, value any) string {
	name, ok := p.ObjectName(key+".Name", value)
	if ok {
		p.Unique(seen, key+".Name", name)
	}
	return name
}
