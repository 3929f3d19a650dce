// Package desired is the configuration that an operator declares as a whole:
// queues with their hosts and prefixes, the services that run their tasks, and
// limits. The document with the highest version is in force. The package is
// pure.
package desired

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInvalid is wrapped by the error of a document that can't be in force.
var ErrInvalid = errors.New("desired: invalid document")

// Document is one whole configuration.
type Document struct {
	// Version orders documents; it is at least 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route is a queue of jobs: a host and a prefix of paths.
type Route struct {
	Name, Host, Prefix string
	// Service names the minions that run the queue's tasks.
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Timeout bounds a request of the queue.
	Timeout time.Duration
	// Stretch times the shortest possible run time, plus Target, is the
	// latency objective of a job.
	Stretch float64
	Target  time.Duration
}

// Service is a pool of minions.
type Service struct {
	Name string
	// Guarded: the minions refuse by themselves what does not fit.
	Guarded bool
	// Standby: the pool's machines are off.
	Standby bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Check returns all findings of a document in one error that wraps ErrInvalid,
// or nil.
func (d *Document) Check() error {
	var findings []string
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	if d.Version == 0 {
		add("version must be at least 1")
	}
	services := map[string]bool{}
	for i, s := range d.Services {
		if s.Name == "" {
			add("services[%d]: name is empty", i)
		}
		if services[s.Name] {
			add("services[%d]: name %q stands twice", i, s.Name)
		}
		services[s.Name] = true
	}
	places := map[[2]string]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
		switch {
		case !services[r.Service]:
			add("routes[%d]: service %q is unknown", i, r.Service)
		case places[place]:
			add("routes[%d]: host %q and prefix %q stand twice", i, r.Host, r.Prefix)
		case r.Timeout <= 0:
			add("routes[%d]: timeout must be longer than 0", i)
		case !strings.HasPrefix(r.Prefix, "/"):
			add("routes[%d]: prefix %q must begin with /", i, r.Prefix)
		}
		places[place] = true
	}
	if len(findings) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrInvalid, strings.Join(findings, "; "))
}
