// Package config reads the YAML settings of a process. All problems of a file,
// called findings, are reported together, each with its line and column.
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
	// RoleMember is a control member that finds the other members through seeds.
	// The roles member, dispatcher and runner serve jobs that are not stored.
	RoleMember = "member"
	// RoleDispatcher is the process that accepts jobs and places their tasks.
	RoleDispatcher = "dispatcher"
	// RoleRunner is the process that runs beside each minion.
	RoleRunner = "runner"
)

// Settings holds the settings of one process.
type Settings struct {
	Cluster          string   `yaml:"cluster" doc:"Name of the deployment; sessions of processes of another deployment are refused."`
	Name             string   `yaml:"name" doc:"Name of this process, unique in the deployment."`
	Zone             string   `yaml:"zone" doc:"Availability zone of the host."`
	Roles            []string `yaml:"roles" doc:"Roles to run: control, entry, agent; or one of member, dispatcher, runner."`
	ControlAddresses []string `yaml:"control_addresses" doc:"Session addresses of the control members; entries and agents need them."`
	StopTimeout      Duration `yaml:"stop_timeout" doc:"Time limit of a graceful stop; work that is left then is aborted."`
	Control          Control  `yaml:"control" doc:"Settings of the control role."`
	Entry            Entry    `yaml:"entry" doc:"Settings of the entry role."`
	Agent            Agent    `yaml:"agent" doc:"Settings of the agent role."`
	Fleet            Fleet    `yaml:"fleet" doc:"Settings of the member, dispatcher and runner roles."`
	TLS              TLS      `yaml:"tls" doc:"Certificate and key files for sessions between processes."`
	Debug            Debug    `yaml:"debug" doc:"HTTP listener for the state dump, metrics and health check."`
	Log              Log      `yaml:"log" doc:"Structured logging."`
}

// Control holds the settings of the control role.
type Control struct {
	ID              uint64   `yaml:"id" doc:"ID of this member, a positive number; must not be used again after its disk was lost."`
	Listen          string   `yaml:"listen" doc:"Address on which sessions are accepted; with port 0 the kernel chooses the port."`
	Data            string   `yaml:"data" doc:"Directory of the log and the snapshots."`
	Join            bool     `yaml:"join" doc:"Start with an empty log and wait until an operator adds this member."`
	Members         []Member `yaml:"members" doc:"Control members at the first start of the quorum; with join, the members of the quorum to join."`
	Lease           Duration `yaml:"lease" doc:"How long an entry or agent counts as alive after its last sync."`
	ElectionTimeout Duration `yaml:"election" doc:"Time without a message from the leader after which an election starts."`
	Retention       Duration `yaml:"retention" doc:"How long the answer of an ended job is kept."`
	Remember        Duration `yaml:"remember" doc:"How long the submission ID of an ended job is remembered."`
	SnapshotEntries uint64   `yaml:"snapshot_entries" doc:"Number of log entries between two snapshots."`
}

// Member is one control member.
type Member struct {
	ID      uint64 `yaml:"id" doc:"ID of the member."`
	Name    string `yaml:"name" doc:"Name of the member."`
	Address string `yaml:"address" doc:"Session address of the member."`
	Zone    string `yaml:"zone" doc:"Availability zone of the member."`
}

// Entry holds the settings of the entry role.
type Entry struct {
	Listen            string   `yaml:"listen" doc:"HTTP address for callers and operators."`
	Advertise         string   `yaml:"advertise" doc:"HTTP address that is announced to other processes; empty announces that of the listener."`
	MaxBody           Bytes    `yaml:"max_body" doc:"Maximum size of a request body."`
	MaxTasks          int      `yaml:"max_tasks" doc:"Maximum number of tasks of a job."`
	MaxPayload        Bytes    `yaml:"max_payload" doc:"Maximum payload size of a task."`
	QueueTasks        int      `yaml:"queue_tasks" doc:"Maximum number of tasks that wait at the entry."`
	QueueBytes        Bytes    `yaml:"queue_bytes" doc:"Maximum payload bytes of the tasks that wait at the entry."`
	MaxWait           Duration `yaml:"max_wait" doc:"Maximum estimated wait of a job; a job with a longer one is refused."`
	Policy            string   `yaml:"policy" doc:"Placement policy: leases, least, two-choices, random."`
	Order             string   `yaml:"order" doc:"Order of waiting jobs: aged, fewest, arrival."`
	OperatorTokenFile string   `yaml:"operator_token_file" doc:"File with the bearer token for operators; empty requires no token."`
	IdleTimeout       Duration `yaml:"idle_timeout" doc:"How long an idle HTTP connection is kept open."`
	ReadTimeout       Duration `yaml:"read_timeout" doc:"Time limit for reading the header and body of a request."`
	DefaultTimeout    Duration `yaml:"default_timeout" doc:"Time limit of a job whose submission sets none."`
	DrainDelay        Duration `yaml:"drain_delay" doc:"How long a stopping entry keeps accepting jobs after its readiness check starts to fail."`
}

// Agent holds the settings of the agent role.
type Agent struct {
	Listen      string   `yaml:"listen" doc:"Address on which sessions are accepted; with port 0 the kernel chooses the port."`
	Advertise   string   `yaml:"advertise" doc:"Session address that is announced to other processes; empty announces that of the listener."`
	Minion      string   `yaml:"minion" doc:"Base URL of the minion."`
	Services    []string `yaml:"services" doc:"Task services that the minion can run."`
	Slots       int      `yaml:"slots" doc:"Maximum number of tasks that run at the minion at the same time."`
	Connections int      `yaml:"connections" doc:"Maximum number of connections to the minion."`
	QueueTasks  int      `yaml:"queue_tasks" doc:"Maximum number of tasks that wait at the agent for a slot."`
	QueueBytes  Bytes    `yaml:"queue_bytes" doc:"Maximum payload bytes of the tasks that wait at the agent."`
	ResultBytes Bytes    `yaml:"result_bytes" doc:"Maximum bytes of results that are held until they are durable; above it task starts are refused."`
}

// Fleet holds the settings of the member, dispatcher and runner roles, which find
// each other through seeds.
type Fleet struct {
	Address     string   `yaml:"address" doc:"IP address at which other hosts reach this one."`
	Listen      string   `yaml:"listen" doc:"IP address on which sessions are accepted, when it differs from fleet.address; empty uses fleet.address."`
	SessionPort uint64   `yaml:"session_port" doc:"Port for sessions, the same on every host."`
	Seeds       []string `yaml:"seeds" doc:"Addresses of hosts of control members; their ports are ignored."`
	FirstStart  bool     `yaml:"first_start" doc:"Whether the deployment starts for the first time, with empty disks."`
	Tolerate    int      `yaml:"tolerate" doc:"Number of control members that may be lost at the same time; twice this number plus one members vote."`
	Data        string   `yaml:"data" doc:"Data directory of a control member."`
	Callers     string   `yaml:"callers" doc:"HTTP address of a dispatcher for callers."`
	Readiness   string   `yaml:"readiness" doc:"HTTP address of a dispatcher for the readiness check of the balancer."`
	Operators   string   `yaml:"operators" doc:"HTTP address of a control member for operators."`
	Reports     string   `yaml:"reports" doc:"HTTP address of a runner for the reports of its minion."`
	Minion      string   `yaml:"minion" doc:"Address of the minion beside a runner."`
	Memory      Bytes    `yaml:"memory" doc:"Memory that the process may use; 0B means unknown."`
}

// TLS names the certificate and key files of a process. They are reloaded when
// they change.
type TLS struct {
	Cert             string `yaml:"cert" doc:"PEM certificate of this process."`
	Key              string `yaml:"key" doc:"PEM private key of this process."`
	CA               string `yaml:"ca" doc:"PEM certificates of the authorities that must have signed the certificates of peers."`
	InsecureLoopback bool   `yaml:"insecure_loopback" doc:"Run sessions without TLS; only loopback addresses are allowed then."`
	TrustedNetwork   bool   `yaml:"trusted_network" doc:"Run sessions without TLS on a network that only hosts of the deployment can reach."`
}

// Debug holds the settings of the listener for dumps and metrics.
type Debug struct {
	Listen string `yaml:"listen" doc:"HTTP address; empty disables the listener."`
}

// Log holds the settings of the logs.
type Log struct {
	Level  string `yaml:"level" doc:"Minimum level that is written: debug, info, error."`
	Output string `yaml:"output" doc:"Where logs go: stderr or stdout."`
}

// Duration is a time.Duration that is written as text such as 5s or 250ms.
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

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Bytes is a size in bytes that is written as text such as 512KiB, 8MiB or 2GiB.
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

// String formats the size in the largest unit that divides it.
func (b Bytes) String() string {
	for i := len(byteUnits) - 2; i >= 0; i-- {
		if u := byteUnits[i]; int64(b) >= u.factor && int64(b)%u.factor == 0 {
			return strconv.FormatInt(int64(b)/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
