package fleetconfig

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFind measures the search for the route of a request among those of one host.
func BenchmarkFind(b *testing.B) {
	for _, routes := range []int{40, 2500, 8000} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			d := &Document{Version: 1, Services: []Service{{Name: "s"}}}
			for i := range routes {
				d.Routes = append(d.Routes, Route{Name: fmt.Sprint("r", i), Host: "h.example", Prefix: fmt.Sprintf("/%08x/", i), Service: "s", Timeout: time.Second})
			}
			table := NewRouteTable(d)
			path := fmt.Sprintf("/%08x/0123456789abcdef", routes-1)
			for b.Loop() {
				if table.Find("h.example:80", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
