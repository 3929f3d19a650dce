package fleetconfig

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func route(host, prefix, service string) Route {
	return Route{Name: prefix, Host: host, Prefix: prefix, Service: service, Timeout: time.Second}
}

func TestCheckCollectsAllFindings(t *testing.T) {
	valid := &Document{Version: 1, Routes: []Route{route("a", "/x/", "s")}, Services: []Service{{Name: "s"}}}
	assert.NilError(t, valid.Check())
	noTimeout := route("a", "/y/", "s")
	noTimeout.Timeout = 0
	bad := &Document{
		Routes: []Route{
			route("a", "/x/", "s"), route("A", "/x/", "s"), route("a", "/z/", "nobody"), noTimeout, route("a", "no-slash", "s"),
		},
		Services: []Service{{Name: "s"}, {Name: "s"}, {}},
	}
	err := bad.Check()
	assert.ErrorIs(t, err, ErrInvalid)
	for _, finding := range []string{
		"version must be", "services[1]", "services[2]", "routes[1]: host", "routes[2]: service", "routes[3]: timeout", "routes[4]: prefix",
	} {
		assert.ErrorContains(t, err, finding)
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewRouteTable(&Document{Routes: []Route{
		route("a.example", "/x/", "s"), route("a.example", "/x/y/", "s"), route("b.example", "/", "s"),
	}})
	cases := []struct{ host, path, prefix string }{
		{"a.example", "/x/1", "/x/"},
		{"a.example", "/x/y/1", "/x/y/"},
		{"A.Example:8080", "/x/1", "/x/"},
		{"b.example", "/x/1", "/"},
		{"a.example", "/z/1", ""},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		found := table.Find(c.host, c.path)
		if c.prefix == "" {
			assert.Assert(t, found == nil, "%v", c)
			continue
		}
		assert.Equal(t, found.Prefix, c.prefix)
	}
}
