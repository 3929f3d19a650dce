// Package config reads the YAML settings of a process. All findings of a file
// are collected with their line and column and reported together.
package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Role names in the roles list.
const (
	RoleControl = "control"
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	// The roles of jobs that are not stored: a control member that finds its
	// group by itself, a dispatcher, and a runner beside each minion.
	RoleMember     = "member"
	RoleDispatcher = "dispatcher"
	RoleRunner     = "runner"
)

// Settings are the settings of one process.
type Settings struct {
	Cluster     string   `yaml:"cluster" doc:"Name of the deployment; processes of another one are refused."`
	Name        string   `yaml:"name" doc:"Name of this process, unique in the deployment."`
	Zone        string   `yaml:"zone" doc:"Availability zone of the host."`
	Roles       []string `yaml:"roles" doc:"Roles to run: control, entry, agent; or one of member, dispatcher, runner."`
	Members     []string `yaml:"control_addresses" doc:"Session addresses of the control members; entries and agents need them."`
	StopTimeout Duration `yaml:"stop_timeout" doc:"How long a graceful stop may take before what is left is cut."`
	Control     Control  `yaml:"control" doc:"Settings of the control role."`
	Entry       Entry    `yaml:"entry" doc:"Settings of the entry role."`
	Agent       Agent    `yaml:"agent" doc:"Settings of the agent role."`
	Fleet       Fleet    `yaml:"fleet" doc:"Settings of the member, dispatcher and runner roles."`
	TLS         TLS      `yaml:"tls" doc:"Keys for sessions between processes."`
	Debug       Debug    `yaml:"debug" doc:"HTTP listener for state dump, metrics and health."`
	Log         Log      `yaml:"log" doc:"Structured logs."`
}

// Control are the settings of the control role.
type Control struct {
	ID         uint64   `yaml:"id" doc:"Number of this member; never used again after its disk was lost."`
	Listen     string   `yaml:"listen" doc:"Address for sessions; port 0 lets the kernel choose."`
	Data       string   `yaml:"data" doc:"Folder of the log and the snapshots."`
	Join       bool     `yaml:"join" doc:"Start empty and wait to be added by an operator."`
	Members    []Member `yaml:"members" doc:"Members at the first start, or those to join."`
	Lease      Duration `yaml:"lease" doc:"How long a silent entry or agent counts as alive."`
	Election   Duration `yaml:"election" doc:"Silence of the leader after which an election starts."`
	Retention  Duration `yaml:"retention" doc:"How long the answer of an ended job is kept."`
	Remember   Duration `yaml:"remember" doc:"How long the submission ID of an ended job is remembered."`
	SnapshotAt uint64   `yaml:"snapshot_entries" doc:"Log entries between two snapshots."`
}

// Member is one control member.
type Member struct {
	ID      uint64 `yaml:"id" doc:"Number of the member."`
	Name    string `yaml:"name" doc:"Name of the member."`
	Address string `yaml:"address" doc:"Session address of the member."`
	Zone    string `yaml:"zone" doc:"Availability zone of the member."`
}

// Entry are the settings of the entry role.
type Entry struct {
	Listen       string   `yaml:"listen" doc:"HTTP address for callers and operators."`
	Advertise    string   `yaml:"advertise" doc:"HTTP address that others are told; empty is the listener's."`
	MaxBody      Bytes    `yaml:"max_body" doc:"Largest request body."`
	MaxTasks     int      `yaml:"max_tasks" doc:"Most tasks of one job."`
	MaxPayload   Bytes    `yaml:"max_payload" doc:"Largest payload of one task."`
	QueueTasks   int      `yaml:"queue_tasks" doc:"Most tasks that may wait here."`
	QueueBytes   Bytes    `yaml:"queue_bytes" doc:"Most payload bytes that may wait here."`
	MaxWait      Duration `yaml:"max_wait" doc:"A job whose estimated wait is longer is refused."`
	Policy       string   `yaml:"policy" doc:"Placement policy: leases, least, two-choices, random."`
	Order        string   `yaml:"order" doc:"Order of waiting jobs: aged, fewest, arrival."`
	TokenFile    string   `yaml:"operator_token_file" doc:"File with the bearer token for operators; empty asks for none."`
	IdleTimeout  Duration `yaml:"idle_timeout" doc:"How long an idle HTTP connection is kept."`
	ReadTimeout  Duration `yaml:"read_timeout" doc:"How long a request's header and body may take."`
	DefaultLimit Duration `yaml:"default_timeout" doc:"Time of a job that names none."`
	DrainDelay   Duration `yaml:"drain_delay" doc:"How long a stopping entry goes on accepting after its readiness fails."`
}

// Agent are the settings of the agent role.
type Agent struct {
	Listen      string   `yaml:"listen" doc:"Address for sessions; port 0 lets the kernel choose."`
	Advertise   string   `yaml:"advertise" doc:"Session address that others are told; empty is the listener's."`
	Minion      string   `yaml:"minion" doc:"Base URL of the minion."`
	Services    []string `yaml:"services" doc:"Task services that the minion can run."`
	Slots       int      `yaml:"slots" doc:"Tasks that may run at the minion at once."`
	Connections int      `yaml:"connections" doc:"Connections to the minion at most."`
	QueueTasks  int      `yaml:"queue_tasks" doc:"Tasks that may wait here for a slot."`
	QueueBytes  Bytes    `yaml:"queue_bytes" doc:"Payload bytes that may wait here."`
	ResultBytes Bytes    `yaml:"result_bytes" doc:"Result bytes held until they are safe; above it starts are refused."`
}

// Fleet are the settings of the roles that find each other from a few seeds.
type Fleet struct {
	Address     string   `yaml:"address" doc:"IP number of this host, as others reach it."`
	Listen      string   `yaml:"listen" doc:"IP number where sessions are taken, when it differs from the one that others use; empty is fleet.address."`
	SessionPort uint64   `yaml:"session_port" doc:"Port for sessions, the same on every host."`
	Seeds       []string `yaml:"seeds" doc:"Addresses of hosts of control members; only the IP number counts."`
	FirstStart  bool     `yaml:"first_start" doc:"The deployment starts for the first time, with empty disks."`
	Tolerate    int      `yaml:"tolerate" doc:"Control members that may be lost at once; twice as many and one vote."`
	Data        string   `yaml:"data" doc:"Folder of a control member."`
	Callers     string   `yaml:"callers" doc:"HTTP address of a dispatcher for callers."`
	Readiness   string   `yaml:"readiness" doc:"HTTP address of a dispatcher for the balancer."`
	Operators   string   `yaml:"operators" doc:"HTTP address of a control member for operators."`
	Reports     string   `yaml:"reports" doc:"HTTP address of a runner for its minion."`
	Minion      string   `yaml:"minion" doc:"Address of the minion beside a runner."`
	Memory      Bytes    `yaml:"memory" doc:"Memory that the process may use; 0B is not known."`
}

// TLS names the key files of a process. They are read again when they change.
type TLS struct {
	Cert     string `yaml:"cert" doc:"PEM certificate of this process."`
	Key      string `yaml:"key" doc:"PEM key of this process."`
	CA       string `yaml:"ca" doc:"PEM certificates that peers must be signed by."`
	Insecure bool   `yaml:"insecure_loopback" doc:"Run without keys; only loopback addresses are then allowed."`
	Trusted  bool   `yaml:"trusted_network" doc:"Run without keys on a network that only hosts of the deployment reach."`
}

// Debug are the settings of the listener for dumps and metrics.
type Debug struct {
	Listen string `yaml:"listen" doc:"HTTP address; empty turns it off."`
}

// Log are the settings of the logs.
type Log struct {
	Level  string `yaml:"level" doc:"Least level that is written: debug, info, error."`
	Output string `yaml:"output" doc:"Where logs go: stderr or stdout."`
}

// Duration is a time.Duration written like 5s or 250ms.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 5s or 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Bytes is a size written like 512KiB, 8MiB or 2GiB.
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"B", 1},
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
		if err == nil && n >= 0 {
			*b = Bytes(n * u.factor)
			return nil
		}
	}
	return fmt.Errorf("%q is not a size such as 512KiB or 8MiB", text)
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// String formats with the largest unit that divides the size.
func (b Bytes) String() string {
	for i := len(byteUnits) - 2; i >= 0; i-- {
		if u := byteUnits[i]; int64(b) >= u.factor && int64(b)%u.factor == 0 {
			return strconv.FormatInt(int64(b)/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
