package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// commonSettings returns the settings that every process of a fleet has.
func (f *fleet) commonSettings(name, role, zone string) string {
	return fmt.Sprintf(`cluster: scenario
name: %s
zone: %s
roles: [%s]
stop_timeout: 30s
tls: %s
log: {level: debug}
`, name, zone, role, f.tlsSettings(name))
}

// tlsSettings returns the tls setting of a process. If the fleet has an authority, it
// issues a key for the process.
func (f *fleet) tlsSettings(name string) string {
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

// zoneOf spreads the processes of a role over three availability zones.
func zoneOf(i int) string { return string(rune('a' + i%3)) }

// controlAddresses returns the setting that lists the control members. Each address is
// that of the relay between the given process and the member.
func (f *fleet) controlAddresses(from string) string {
	var quoted []string
	for _, m := range f.members {
		quoted = append(quoted, fmt.Sprintf("%q", f.relay(from, m.name, "control").Address()))
	}
	return fmt.Sprintf("control_addresses: [%s]\n", strings.Join(quoted, ", "))
}

// controlSettings returns the settings of a control member. With join, the member waits
// until an operator adds it.
func (f *fleet) controlSettings(m member, join bool) string {
	var peers strings.Builder
	for _, peer := range f.members {
		address := f.relay(m.name, peer.name, "control").Address()
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

// addressOf returns the address at which one process reaches a port of another, which
// is that of a relay. In a direct fleet it is the listen address, or empty if the
// process has not started; a process without an advertised address advertises
// the one it listens on. With direct minions, only agents reach their minions so.
func (f *fleet) addressOf(from, to, role string) string {
	if f.direct || f.directMinions && role == "minion" {
		return f.listenAddresses[linkKey{anySource, to, role}]
	}
	return f.relay(from, to, role).Address()
}

func (f *fleet) agentSettings(i, slots int) string {
	name := fmt.Sprintf("agent-%d", i)
	minion := f.addressOf(name, fmt.Sprintf("minion-%d", i), "minion")
	return f.commonSettings(name, "agent", zoneOf(i)) + f.controlAddresses(name) + fmt.Sprintf(`agent:
  listen: 127.0.0.1:0
  advertise: %q
  minion: http://%s
  services: [default]
  slots: %d
`, f.addressOf(anySource, name, "agent"), minion, slots)
}

func (f *fleet) entrySettings(i int) string {
	name := fmt.Sprintf("entry-%d", i)
	return f.commonSettings(name, "entry", zoneOf(i)) + f.controlAddresses(name) + fmt.Sprintf(`entry:
  listen: 127.0.0.1:0
  advertise: %q
  max_wait: %dms
%s`, f.addressOf(anySource, name, "entry"), f.maxWaitMS, f.extraEntrySettings)
}
