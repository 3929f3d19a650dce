package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// commonSettings are the lines that every process of a fleet has.
func (f *fleet) commonSettings(name, role, zone string) string {
	return fmt.Sprintf(`cluster: scenario
name: %s
zone: %s
roles: [%s]
stop_timeout: 30s
tls: %s
log: {level: debug}
`, name, zone, role, f.keySettings(name))
}

// keySettings issues keys for a process of a fleet that has an authority.
func (f *fleet) keySettings(name string) string {
	if f.authority == nil {
		return "{insecure_loopback: true}"
	}
	dir := filepath.Join(f.dir, name+".keys")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		panic(err)
	}
	files, err := f.authority.Issue(dir)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("{cert: %s, key: %s, ca: %s}", files.Cert, files.Key, files.CA)
}

// zoneOf spreads processes of a role over three zones.
func zoneOf(i int) string { return string(rune('a' + i%3)) }

// controlAddresses lists the members as one process sees them.
func (f *fleet) controlAddresses(from string) string {
	var quoted []string
	for _, m := range f.members {
		quoted = append(quoted, fmt.Sprintf("%q", f.link(from, m.name, "control").Address()))
	}
	return fmt.Sprintf("control_addresses: [%s]\n", strings.Join(quoted, ", "))
}

func (f *fleet) controlSettings(m member, join bool) string {
	var peers strings.Builder
	for _, peer := range f.members {
		address := f.link(m.name, peer.name, "control").Address()
		fmt.Fprintf(&peers, "    - {id: %d, name: %s, address: %q, zone: %s}\n", peer.id, peer.name, address, zoneOf(peer.id))
	}
	return f.commonSettings(m.name, "control", zoneOf(m.id)) + fmt.Sprintf(`control:
  id: %d
  listen: 127.0.0.1:0
  data: %s
  join: %t
  lease: 3s
  election: 500ms
  snapshot_entries: 300
  members:
%s`, m.id, m.name+".data", join, peers.String())
}

// reach is the address by which others reach a port of a process; empty in a
// direct fleet, where each listener tells its own.
func (f *fleet) reach(from, to, role string) string {
	if f.direct {
		return f.serving[linkKey{anyone, to, role}]
	}
	return f.link(from, to, role).Address()
}

func (f *fleet) agentSettings(i, slots int) string {
	name := fmt.Sprintf("agent-%d", i)
	minion := f.reach(name, fmt.Sprintf("minion-%d", i), "minion")
	return f.commonSettings(name, "agent", zoneOf(i)) + f.controlAddresses(name) + fmt.Sprintf(`agent:
  listen: 127.0.0.1:0
  advertise: %q
  minion: http://%s
  services: [default]
  slots: %d
`, f.reach(anyone, name, "agent"), minion, slots)
}

func (f *fleet) entrySettings(i int) string {
	name := fmt.Sprintf("entry-%d", i)
	return f.commonSettings(name, "entry", zoneOf(i)) + f.controlAddresses(name) + fmt.Sprintf(`entry:
  listen: 127.0.0.1:0
  advertise: %q
  max_wait: %dms
%s`, f.reach(anyone, name, "entry"), f.maxWaitMS, f.entryLines)
}
