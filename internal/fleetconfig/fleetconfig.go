// Package fleetconfig defines the configuration document, which an operator
// declares as a whole: queues with their hosts and path prefixes, the services
// that run their tasks, and limits. The document with the highest version is in
// force. The package has no I/O.
package fleetconfig

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInvalid is wrapped by the error of a document that violates a rule.
var ErrInvalid = errors.New("fleetconfig: invalid document")

// Document is a complete configuration.
type Document struct {
	// Version orders documents. It is at least 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route is a queue of jobs. It takes the requests for a host whose path begins
// with a prefix.
type Route struct {
	Name, Host, Prefix string
	// Service is the name of the service whose minions run the tasks of the
	// queue.
	Service string
	// Priority is the urgency of the queue. 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failures after which a task is not retried.
	MaxAttempts int
	// Timeout limits the duration of a request of the queue.
	Timeout time.Duration
	// StretchFactor and TargetLatency define the latency objective of a job: StretchFactor
	// multiplied by the shortest possible run time, plus TargetLatency.
	StretchFactor float64
	TargetLatency time.Duration
}

// Service is a pool of minions.
type Service struct {
	Name string
	// EnforcesLimits is true if the minions themselves reject tasks that exceed their
	// free capacity.
	EnforcesLimits bool
	// Standby is true if the machines of the pool are powered off.
	Standby bool
}

// Limits restrict the connections and requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Check returns all findings about a document in one error that wraps
// ErrInvalid, or nil.
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
			add("services[%d]: name %q is used twice", i, s.Name)
		}
		services[s.Name] = true
	}
	seen := map[[2]string]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		switch {
		case !services[r.Service]:
			add("routes[%d]: service %q is unknown", i, r.Service)
		case seen[key]:
			add("routes[%d]: host %q and prefix %q are used twice", i, r.Host, r.Prefix)
		case r.Timeout <= 0:
			add("routes[%d]: timeout must be longer than 0", i)
		case !strings.HasPrefix(r.Prefix, "/"):
			add("routes[%d]: prefix %q must begin with /", i, r.Prefix)
		}
		seen[key] = true
	}
	if len(findings) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrInvalid, strings.Join(findings, "; "))
}
