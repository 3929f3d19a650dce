package config

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// report adds a finding at a path.
type report func(path, problem string)

// check reports what the settings ask that can't be served.
func check(s *Settings, add report) {
	required(s.Cluster, "cluster", add)
	required(s.Name, "name", add)
	required(s.Zone, "zone", add)
	checkRoles(s, add)
	positive(s.StopTimeout, "stop_timeout", add)
	if s.Has(RoleControl) {
		checkControl(&s.Control, add)
	}
	if s.Has(RoleEntry) {
		checkEntry(&s.Entry, add)
	}
	if s.Has(RoleAgent) {
		checkAgent(&s.Agent, add)
	}
	if s.fleet() {
		checkFleet(s, add)
	}
	checkMembers(s, add)
	checkTLS(s, add)
	if s.Debug.Listen != "" {
		address(s.Debug.Listen, "debug.listen", add)
	}
	oneOf(s.Log.Output, "log.output", []string{"stderr", "stdout"}, add)
	oneOf(s.Log.Level, "log.level", []string{"debug", "info", "error"}, add)
}

// Has tells whether the process runs a role.
func (s *Settings) Has(role string) bool { return slices.Contains(s.Roles, role) }

// Self is the member that these settings describe; false when the members
// don't name it.
func (c *Control) Self() (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == c.ID })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

func checkRoles(s *Settings, add report) {
	if len(s.Roles) == 0 {
		add("roles", "at least one role is needed: control, entry, agent")
	}
	for i, role := range s.Roles {
		oneOf(role, fmt.Sprintf("roles[%d]", i), knownRoles, add)
	}
	if s.fleet() && len(s.Roles) > 1 {
		add("roles", "member, dispatcher and runner run alone")
	}
}

var knownRoles = []string{RoleControl, RoleEntry, RoleAgent, RoleMember, RoleDispatcher, RoleRunner}

// fleet tells that the process runs a role that finds the others from seeds.
func (s *Settings) fleet() bool {
	return s.Has(RoleMember) || s.Has(RoleDispatcher) || s.Has(RoleRunner)
}

func checkFleet(s *Settings, add report) {
	f := &s.Fleet
	if _, err := netip.ParseAddr(f.Address); err != nil {
		add("fleet.address", "must be an IP number")
	}
	if f.Listen != "" {
		if _, err := netip.ParseAddr(f.Listen); err != nil {
			add("fleet.listen", "must be an IP number")
		}
	}
	if f.SessionPort == 0 || f.SessionPort > 65535 {
		add("fleet.session_port", "must be a port")
	}
	if len(f.Seeds) == 0 {
		add("fleet.seeds", "at least one is needed")
	}
	for i, seed := range f.Seeds {
		address(seed, fmt.Sprintf("fleet.seeds[%d]", i), add)
	}
	if s.Has(RoleMember) {
		required(f.Data, "fleet.data", add)
		address(f.Operators, "fleet.operators", add)
		if f.Tolerate < 0 {
			add("fleet.tolerate", "must not be negative")
		}
	}
	if s.Has(RoleDispatcher) {
		address(f.Callers, "fleet.callers", add)
		address(f.Readiness, "fleet.readiness", add)
	}
	if s.Has(RoleRunner) {
		address(f.Reports, "fleet.reports", add)
		address(f.Minion, "fleet.minion", add)
	}
}

// SessionAddress is where others reach this process's sessions.
func (f *Fleet) SessionAddress() string { return f.sessionAt(f.Address) }

// ListenAddress is where this process takes sessions.
func (f *Fleet) ListenAddress() string { return f.sessionAt(cmp.Or(f.Listen, f.Address)) }

func (f *Fleet) sessionAt(host string) string {
	return net.JoinHostPort(host, strconv.FormatUint(f.SessionPort, 10))
}

// Voters is the number of control members that vote: a majority of them is
// left when Tolerate are lost.
func (f *Fleet) Voters() int { return 2*f.Tolerate + 1 }

// SeedSessions are the session addresses of the seeds' hosts.
func (f *Fleet) SeedSessions() []string {
	var all []string
	for _, seed := range f.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			all = append(all, f.sessionAt(host))
		}
	}
	return all
}

func checkMembers(s *Settings, add report) {
	if len(s.Members) == 0 && (s.Has(RoleEntry) || s.Has(RoleAgent)) {
		add("control_addresses", "entries and agents need at least one")
	}
	for i, m := range s.Members {
		address(m, fmt.Sprintf("control_addresses[%d]", i), add)
	}
}

func checkControl(c *Control, add report) {
	if c.ID == 0 {
		add("control.id", "is required and not 0")
	}
	address(c.Listen, "control.listen", add)
	required(c.Data, "control.data", add)
	positive(c.Lease, "control.lease", add)
	positive(c.Election, "control.election", add)
	positive(c.Retention, "control.retention", add)
	if c.Remember < c.Retention {
		add("control.remember", "must not be shorter than control.retention")
	}
	if c.Lease.D() < 2*time.Second {
		add("control.lease", "must be at least 2s, twice the hold time of a sync")
	}
	if c.SnapshotAt == 0 {
		add("control.snapshot_entries", "must be positive")
	}
	checkQuorum(c, add)
}

func checkQuorum(c *Control, add report) {
	if len(c.Members) == 0 {
		add("control.members", "at least one member is needed")
	}
	seen := map[uint64]bool{}
	self := false
	for i, m := range c.Members {
		path := fmt.Sprintf("control.members[%d]", i)
		if m.ID == 0 || seen[m.ID] {
			add(path+".id", "must be unique and not 0")
		}
		seen[m.ID] = true
		self = self || m.ID == c.ID
		address(m.Address, path+".address", add)
	}
	if !self && !c.Join && len(c.Members) > 0 {
		add("control.id", "is not among control.members, and join is not set")
	}
}

func checkEntry(e *Entry, add report) {
	address(e.Listen, "entry.listen", add)
	if e.Advertise != "" {
		address(e.Advertise, "entry.advertise", add)
	}
	count(e.MaxTasks, "entry.max_tasks", add)
	count(e.QueueTasks, "entry.queue_tasks", add)
	count(int(e.MaxBody), "entry.max_body", add)
	count(int(e.MaxPayload), "entry.max_payload", add)
	count(int(e.QueueBytes), "entry.queue_bytes", add)
	positive(e.MaxWait, "entry.max_wait", add)
	positive(e.IdleTimeout, "entry.idle_timeout", add)
	positive(e.ReadTimeout, "entry.read_timeout", add)
	positive(e.DefaultLimit, "entry.default_timeout", add)
	if e.DrainDelay < 0 {
		add("entry.drain_delay", "must not be negative")
	}
	oneOf(e.Policy, "entry.policy", []string{"leases", "least", "two-choices", "random"}, add)
	oneOf(e.Order, "entry.order", []string{"aged", "fewest", "arrival"}, add)
}

func checkAgent(a *Agent, add report) {
	address(a.Listen, "agent.listen", add)
	if a.Advertise != "" {
		address(a.Advertise, "agent.advertise", add)
	}
	u, err := url.Parse(a.Minion)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		add("agent.minion", "must be a URL such as http://127.0.0.1:9000")
	}
	if len(a.Services) == 0 {
		add("agent.services", "at least one service is needed")
	}
	count(a.Slots, "agent.slots", add)
	count(a.Connections, "agent.connections", add)
	count(int(a.QueueBytes), "agent.queue_bytes", add)
	count(int(a.ResultBytes), "agent.result_bytes", add)
	if a.QueueTasks < 0 {
		add("agent.queue_tasks", "must not be negative")
	}
}

func checkTLS(s *Settings, add report) {
	files := []string{s.TLS.Cert, s.TLS.Key, s.TLS.CA}
	given := len(files) - len(slices.DeleteFunc(files, func(f string) bool { return f != "" }))
	switch {
	case given != 0 && given != 3:
		add("tls", "cert, key and ca go together")
	case given == 3 && s.TLS.Insecure:
		add("tls.insecure_loopback", "must not be set beside keys")
	case given == 3 && s.TLS.Trusted, s.TLS.Insecure && s.TLS.Trusted:
		add("tls.trusted_network", "must not be set beside keys or insecure_loopback")
	case s.TLS.Trusted:
	case given == 0 && !s.TLS.Insecure:
		add("tls", "cert, key and ca are needed, or insecure_loopback on loopback addresses")
	case s.TLS.Insecure:
		checkLoopback(s, add)
	}
}

// checkLoopback holds processes without keys to loopback addresses.
func checkLoopback(s *Settings, add report) {
	listeners := map[string]string{
		"control.listen": s.Control.Listen,
		"entry.listen":   s.Entry.Listen,
		"agent.listen":   s.Agent.Listen,
	}
	for path, a := range listeners {
		role, _, _ := strings.Cut(path, ".")
		host, _, err := net.SplitHostPort(a)
		if err != nil || !s.Has(role) {
			continue
		}
		ip, err := netip.ParseAddr(host)
		if err != nil || !ip.IsLoopback() {
			add(path, "must be a loopback address while tls.insecure_loopback is set")
		}
	}
}

func required(v, path string, add report) {
	if v == "" {
		add(path, "is required")
	}
}

func positive(d Duration, path string, add report) {
	if d <= 0 {
		add(path, "must be longer than 0")
	}
}

func count(n int, path string, add report) {
	if n <= 0 {
		add(path, "must be positive")
	}
}

func address(a, path string, add report) {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		add(path, "must be an address such as 10.0.0.1:7400")
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		add(path, "must name its host by IP number")
	}
}

func oneOf(v, path string, known []string, add report) {
	if !slices.Contains(known, v) {
		add(path, fmt.Sprintf("%q is not one of: %s", v, strings.Join(known, ", ")))
	}
}
