package desired

import (
	"sort"
	"strings"
)

// Table finds the route of a request in the document in force.
type Table struct {
	Document *Document
	hosts    map[string][]*Route
}

// NewTable indexes a document. The document must not change afterwards.
func NewTable(d *Document) *Table {
	t := &Table{Document: d, hosts: map[string][]*Route{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Find returns the route with the longest prefix of a path, or nil. A port in
// the host is not compared.
func (t *Table) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
