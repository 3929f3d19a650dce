package fleetconfig

import (
	"sort"
	"strings"
)

// RouteTable finds the route of a request in a document.
type RouteTable struct {
	Document     *Document
	routesByHost map[string][]*Route
}

// NewRouteTable returns the table of a document. The document must not change
// afterwards.
func NewRouteTable(d *Document) *RouteTable {
	t := &RouteTable{Document: d, routesByHost: map[string][]*Route{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Find returns the route of a host whose prefix is the longest that matches the
// path, or nil. A port in the host is ignored.
func (t *RouteTable) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
