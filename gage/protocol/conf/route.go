package conf

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
)

// targetAPIPrefix is the path under which targets register. If a target's request to
// a path below it has no Gage-Context header, a node handles the request as a
// registration and matches it with no route.
const targetAPIPrefix = "/v1/targets"

// pathPrefixRule does not allow % because a prefix is compared with the decoded path,
// and not ; because some targets ignore the part of a path after a semicolon.
const pathPrefixRule = "must be / or begin with / and have segments of letters, digits and -._~!$&'()*+,=:@, " +
	"none of them . or .., no / at the end, and not be /v1/targets or below it"

var (
	methods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	pathPrefixPattern = regexp.MustCompile(`^/$|^(/[A-Za-z0-9\-._~!$&'()*+,=:@]+)+$`)
)

func (p *parser) routes(tables []route, services []service) []gage.Route {
	serviceNames := make(map[string]bool)
	for _, s := range services {
		name, _ := s.Name.(string)
		serviceNames[name] = true
	}
	var routes []gage.Route
	names := make(map[string]string)
	matches := make(map[string]string)
	for i, table := range tables {
		key := fmt.Sprintf("Route[%d]", i)
		r := p.route(key, table, serviceNames)
		r.Name = p.uniqueName(names, key, table.Name)
		if r.PathPrefix != "" {
			p.uniqueMatch(matches, key, r)
		}
		routes = append(routes, r)
	}
	return routes
}

func (p *parser) route(key string, table route, serviceNames map[string]bool) gage.Route {
	r := gage.Route{
		PathPrefix: p.pathPrefix(key+".PathPrefix", table.PathPrefix),
		Service:    p.reference(key+".Service", table.Service, serviceNames),
		Importance: gage.Importance(p.OneOf(key+".Importance", table.Importance, "", importances())),
		Idempotent: p.Bool(key+".Idempotent", table.Idempotent),
		Open:       p.Bool(key+".Open", table.Open),
		Internal:   p.Bool(key+".Internal", table.Internal),
		Deadline:   p.Duration(key+".Deadline", table.Deadline, 0, minDeadline, maxDeadline),
	}
	if table.Method != nil {
		r.Method = p.OneOf(key+".Method", table.Method, "", methods)
	}
	if r.Open && r.Internal {
		p.Refuse(key+".Open", "must be false on a route that is Internal")
	}
	return r
}

func (p *parser) pathPrefix(key string, value any) string {
	text, ok := value.(string)
	if !ok || !pathPrefixPattern.MatchString(text) || hasDotSegment(text) || isAtOrBelow(text, targetAPIPrefix) {
		p.Refuse(key, pathPrefixRule)
		return ""
	}
	return text
}

func (p *parser) reference(key string, value any, names map[string]bool) string {
	name, ok := value.(string)
	if !ok || !names[name] {
		p.Refuse(key, "must be the Name of a [[Service]] in this file")
	}
	return name
}

// uniqueMatch refuses a route with the same method and prefix as an earlier one,
// since neither would be the longer match. seen maps the method and prefix of each
// earlier route to the route's path in the file, such as Route[1].
func (p *parser) uniqueMatch(seen map[string]string, key string, r gage.Route) {
	match := r.Method + " " + r.PathPrefix
	earlier, isTaken := seen[match]
	if !isTaken {
		seen[match] = key
		return
	}
	p.Refuse(key+".PathPrefix", fmt.Sprintf(
		"must be unique for each Method; %s in line %d has the same", earlier, p.Line(earlier)))
}

func importances() []string {
	var names []string
	for _, importance := range gage.Importances {
		names = append(names, string(importance))
	}
	return names
}

func hasDotSegment(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func isAtOrBelow(path, root string) bool {
	return path == root || strings.HasPrefix(path, root+"/")
}
