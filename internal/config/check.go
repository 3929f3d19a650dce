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

// findingFunc records a problem of the setting at a path.
type findingFunc func(path, problem string)

// check records every problem of the settings as a finding.
func check(s *Settings, add findingFunc) {
	checkRequired(s.Cluster, "cluster", add)
	checkRequired(s.Name, "name", add)
	checkRequired(s.Zone, "zone", add)
	checkRoles(s, add)
	checkPositiveDuration(s.StopTimeout, "stop_timeout", add)
	if s.Has(RoleControl) {
		checkControl(&s.Control, add)
	}
	if s.Has(RoleEntry) {
		checkEntry(&s.Entry, add)
	}
	if s.Has(RoleAgent) {
		checkAgent(&s.Agent, add)
	}
	if s.hasFleetRole() {
		checkFleet(s, add)
	}
	checkMembers(s, add)
	checkTLS(s, add)
	if s.Debug.Listen != "" {
		checkAddress(s.Debug.Listen, "debug.listen", add)
	}
	checkOneOf(s.Log.Output, "log.output", []string{"stderr", "stdout"}, add)
	checkOneOf(s.Log.Level, "log.level", []string{"debug", "info", "error"}, add)
}

// Has reports whether the process runs a role.
func (s *Settings) Has(role string) bool { return slices.Contains(s.Roles, role) }

// Self returns the member with the ID of this process. The result is false when
// the list of members does not contain it.
func (c *Control) Self() (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == c.ID })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

func checkRoles(s *Settings, add findingFunc) {
	if len(s.Roles) == 0 {
		add("roles", "at least one role is needed: control, entry, agent")
	}
	for i, role := range s.Roles {
		checkOneOf(role, fmt.Sprintf("roles[%d]", i), knownRoles, add)
	}
	if s.hasFleetRole() && len(s.Roles) > 1 {
		add("roles", "member, dispatcher and runner can't be combined with another role")
	}
}

var knownRoles = []string{RoleControl, RoleEntry, RoleAgent, RoleMember, RoleDispatcher, RoleRunner}

// hasFleetRole reports whether the process runs a role that finds the other
// processes through seeds.
func (s *Settings) hasFleetRole() bool {
	return s.Has(RoleMember) || s.Has(RoleDispatcher) || s.Has(RoleRunner)
}

func checkFleet(s *Settings, add findingFunc) {
	f := &s.Fleet
	if _, err := netip.ParseAddr(f.Address); err != nil {
		add("fleet.address", "must be an IP address")
	}
	if f.Listen != "" {
		if _, err := netip.ParseAddr(f.Listen); err != nil {
			add("fleet.listen", "must be an IP address")
		}
	}
	if f.SessionPort == 0 || f.SessionPort > 65535 {
		add("fleet.session_port", "must be a port")
	}
	if len(f.Seeds) == 0 {
		add("fleet.seeds", "at least one is needed")
	}
	for i, seed := range f.Seeds {
		checkAddress(seed, fmt.Sprintf("fleet.seeds[%d]", i), add)
	}
	if s.Has(RoleMember) {
		checkRequired(f.Data, "fleet.data", add)
		checkAddress(f.Operators, "fleet.operators", add)
		if f.Tolerate < 0 {
			add("fleet.tolerate", "must not be negative")
		}
	}
	if s.Has(RoleDispatcher) {
		checkAddress(f.Callers, "fleet.callers", add)
		checkAddress(f.Readiness, "fleet.readiness", add)
	}
	if s.Has(RoleRunner) {
		checkAddress(f.Reports, "fleet.reports", add)
		checkAddress(f.Minion, "fleet.minion", add)
	}
}

// SessionAddress returns the address at which other processes open sessions to
// this one.
func (f *Fleet) SessionAddress() string { return f.sessionAt(f.Address) }

// ListenAddress returns the address on which this process accepts sessions.
func (f *Fleet) ListenAddress() string { return f.sessionAt(cmp.Or(f.Listen, f.Address)) }

func (f *Fleet) sessionAt(host string) string {
	return net.JoinHostPort(host, strconv.FormatUint(f.SessionPort, 10))
}

// Voters returns the number of control members that vote. A majority of them is
// left when Tolerate members are lost.
func (f *Fleet) Voters() int { return 2*f.Tolerate + 1 }

// SeedSessionAddresses returns the session addresses of the hosts of the seeds. Seeds
// that are not addresses are left out.
func (f *Fleet) SeedSessionAddresses() []string {
	var all []string
	for _, seed := range f.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			all = append(all, f.sessionAt(host))
		}
	}
	return all
}

func checkMembers(s *Settings, add findingFunc) {
	if len(s.ControlAddresses) == 0 && (s.Has(RoleEntry) || s.Has(RoleAgent)) {
		add("control_addresses", "entries and agents need at least one")
	}
	for i, m := range s.ControlAddresses {
		checkAddress(m, fmt.Sprintf("control_addresses[%d]", i), add)
	}
}

// minRemember is the longest time limit of a job. A submission that is forgotten earlier
// could be accepted again while a task of its first job still runs.
const minRemember = time.Hour

func checkControl(c *Control, add findingFunc) {
	if c.ID == 0 {
		add("control.id", "is required and must not be 0")
	}
	checkAddress(c.Listen, "control.listen", add)
	checkRequired(c.Data, "control.data", add)
	checkPositiveDuration(c.Lease, "control.lease", add)
	checkPositiveDuration(c.ElectionTimeout, "control.election", add)
	checkPositiveDuration(c.Retention, "control.retention", add)
	if c.Remember < c.Retention {
		add("control.remember", "must not be shorter than control.retention")
	}
	if c.Remember.D() < minRemember {
		add("control.remember", "must be at least 1h: a task of an ended job may run until the job's time limit")
	}
	if c.Lease.D() < 2*time.Second {
		add("control.lease", "must be at least 2s, twice the hold time of a sync request")
	}
	if c.SnapshotEntries == 0 {
		add("control.snapshot_entries", "must be positive")
	}
	checkQuorum(c, add)
}

func checkQuorum(c *Control, add findingFunc) {
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
		checkAddress(m.Address, path+".address", add)
	}
	if !self && !c.Join && len(c.Members) > 0 {
		add("control.id", "is not among control.members, and join is not set")
	}
}

func checkEntry(e *Entry, add findingFunc) {
	checkAddress(e.Listen, "entry.listen", add)
	if e.Advertise != "" {
		checkAddress(e.Advertise, "entry.advertise", add)
	}
	checkPositiveInt(e.MaxTasks, "entry.max_tasks", add)
	checkPositiveInt(e.QueueTasks, "entry.queue_tasks", add)
	checkPositiveInt(int(e.MaxBody), "entry.max_body", add)
	checkPositiveInt(int(e.MaxPayload), "entry.max_payload", add)
	checkPositiveInt(int(e.QueueBytes), "entry.queue_bytes", add)
	checkPositiveDuration(e.MaxWait, "entry.max_wait", add)
	checkPositiveDuration(e.IdleTimeout, "entry.idle_timeout", add)
	checkPositiveDuration(e.ReadTimeout, "entry.read_timeout", add)
	checkPositiveDuration(e.DefaultTimeout, "entry.default_timeout", add)
	if e.DrainDelay < 0 {
		add("entry.drain_delay", "must not be negative")
	}
	checkOneOf(e.Policy, "entry.policy", []string{"leases", "least", "two-choices", "random"}, add)
	checkOneOf(e.Order, "entry.order", []string{"aged", "fewest", "arrival"}, add)
}

func checkAgent(a *Agent, add findingFunc) {
	checkAddress(a.Listen, "agent.listen", add)
	if a.Advertise != "" {
		checkAddress(a.Advertise, "agent.advertise", add)
	}
	u, err := url.Parse(a.Minion)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		add("agent.minion", "must be a URL such as http://127.0.0.1:9000")
	}
	if len(a.Services) == 0 {
		add("agent.services", "at least one service is needed")
	}
	checkPositiveInt(a.Slots, "agent.slots", add)
	checkPositiveInt(a.Connections, "agent.connections", add)
	checkPositiveInt(int(a.QueueBytes), "agent.queue_bytes", add)
	checkPositiveInt(int(a.ResultBytes), "agent.result_bytes", add)
	if a.QueueTasks < 0 {
		add("agent.queue_tasks", "must not be negative")
	}
}

func checkTLS(s *Settings, add findingFunc) {
	files := []string{s.TLS.Cert, s.TLS.Key, s.TLS.CA}
	given := len(files) - len(slices.DeleteFunc(files, func(f string) bool { return f != "" }))
	switch {
	case given != 0 && given != 3:
		add("tls", "cert, key and ca must be set together")
	case given == 3 && s.TLS.InsecureLoopback:
		add("tls.insecure_loopback", "must not be set together with keys")
	case given == 3 && s.TLS.TrustedNetwork, s.TLS.InsecureLoopback && s.TLS.TrustedNetwork:
		add("tls.trusted_network", "must not be set together with keys or insecure_loopback")
	case s.TLS.TrustedNetwork:
	case given == 0 && !s.TLS.InsecureLoopback:
		add("tls", "cert, key and ca are needed, or insecure_loopback on loopback addresses")
	case s.TLS.InsecureLoopback:
		checkLoopback(s, add)
	}
}

// checkLoopback requires that processes without keys listen on loopback addresses.
func checkLoopback(s *Settings, add findingFunc) {
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

func checkRequired(v, path string, add findingFunc) {
	if v == "" {
		add(path, "is required")
	}
}

func checkPositiveDuration(d Duration, path string, add findingFunc) {
	if d <= 0 {
		add(path, "must be longer than 0")
	}
}

func checkPositiveInt(n int, path string, add findingFunc) {
	if n <= 0 {
		add(path, "must be positive")
	}
}

func checkAddress(a, path string, add findingFunc) {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		add(path, "must be an address such as 10.0.0.1:7400")
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		add(path, "must name its host by IP number")
	}
}

func checkOneOf(v, path string, known []string, add findingFunc) {
	if !slices.Contains(known, v) {
		add(path, fmt.Sprintf("%q is not one of: %s", v, strings.Join(known, ", ")))
	}
}
