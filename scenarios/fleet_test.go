package scenarios

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"endivewing/internal/apiclient"
	"endivewing/internal/keys/keystest"
	"endivewing/internal/testkit/proc"
)

// fleetSize is the number of processes of each role in a fleet.
type fleetSize struct {
	control, entry, agent int
	slots                 int // of each minion and agent
}

// fleet is a complete deployment of separate processes that are connected by
// relays. Each agent has a minion of its own with the same number.
type fleet struct {
	// dir is the folder of the settings, logs, data and records.
	dir string
	// direct connects to entries, agents and minions without relays, so that
	// relays don't distort benchmarks.
	direct bool
	// directMinions connects agents to minions without relays. A relay accepts
	// connections while its minion is down, so that a request seems to have been
	// sent.
	directMinions bool
	// authority issues the TLS keys of the processes. If it is nil, the fleet runs
	// without TLS.
	authority *keystest.Authority
	// token is the operator token. If it is empty, operators need none.
	token string
	// maxWaitMS is the estimated wait, in milliseconds, above which entries refuse a
	// job.
	maxWaitMS int
	// extraEntrySettings is added to the settings of each entry.
	extraEntrySettings string
	// minionFlags holds additional command line flags, by minion number.
	minionFlags map[int][]string

	mu        sync.Mutex
	processes map[string]*proc.Process
	members   []member
	relays    map[linkKey]*proc.Relay
	// listenAddresses holds the addresses that the processes listen on now. The
	// source of its keys is anySource.
	listenAddresses map[linkKey]string
	minionRecords   []string
}

// member is a control process that is named in the settings.
type member struct {
	id   int
	name string
}

// linkKey identifies the link from one process, or from anySource, to the port that
// another process opens for a role.
type linkKey struct{ from, to, role string }

// anySource is the source of a link that several processes share.
const anySource = "*"

// defaultMaxWaitMS is so long that entries queue jobs instead of refusing them.
const defaultMaxWaitMS = 60_000

func newFleet(dir string) *fleet {
	return &fleet{dir: dir, processes: map[string]*proc.Process{}, relays: map[linkKey]*proc.Relay{}, listenAddresses: map[linkKey]string{}, maxWaitMS: defaultMaxWaitMS}
}

// relay returns the relay of a link and creates it on first use.
func (f *fleet) relay(from, to, role string) *proc.Relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := linkKey{from, to, role}
	if r, ok := f.relays[key]; ok {
		return r
	}
	r, err := proc.NewRelay("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r.SetTarget(f.listenAddresses[linkKey{anySource, to, role}])
	f.relays[key] = r
	return r
}

// launch starts every process of a new fleet and waits until all entries serve.
func (f *fleet) launch(s fleetSize) error {
	for i := 1; i <= s.control; i++ {
		f.members = append(f.members, member{id: i, name: fmt.Sprintf("control-%d", i)})
	}
	for i := 1; i <= s.agent; i++ {
		if err := f.addMinion(i, s.slots); err != nil {
			return err
		}
	}
	for _, m := range f.members {
		f.addProcess(m.name, f.controlSettings(m, false))
	}
	for i := 1; i <= s.agent; i++ {
		f.addProcess(fmt.Sprintf("agent-%d", i), f.agentSettings(i, s.slots))
	}
	for i := 1; i <= s.entry; i++ {
		f.addProcess(fmt.Sprintf("entry-%d", i), f.entrySettings(i))
	}
	if err := f.startAll(); err != nil {
		return err
	}
	return f.waitUntilServing(s)
}

// startAll starts all processes that don't run yet, in parallel, because control
// members need each other to become ready.
func (f *fleet) startAll() error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, name := range f.processNames() {
		if f.processes[name].Running() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f.start(name); err != nil {
				mu.Lock()
				errs = append(errs, err)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (f *fleet) processNames() []string {
	names := make([]string, 0, len(f.processes))
	for name := range f.processes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// addProcess adds a process that runs "endivewing serve" with the given settings. It
// doesn't start the process.
func (f *fleet) addProcess(name, settings string) {
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		panic(err)
	}
	f.processes[name] = &proc.Process{Name: name, Dir: f.dir, Args: []string{"serve", "--config", path}}
}

// addMinion adds and starts minion i.
func (f *fleet) addMinion(i, slots int) error {
	name := fmt.Sprintf("minion-%d", i)
	record := filepath.Join(f.dir, name+".record")
	p := &proc.Process{Name: name, Dir: f.dir, Args: []string{"minion", "--record", record, "--slots", fmt.Sprint(slots)}}
	p.Args = append(p.Args, f.minionFlags[i]...)
	f.processes[name] = p
	f.minionRecords = append(f.minionRecords, record)
	return f.start(name)
}

// start starts a process and sets its new addresses as targets of the relays.
func (f *fleet) start(name string) error {
	addresses, err := f.processes[name].Start()
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for role, address := range addresses {
		f.listenAddresses[linkKey{anySource, name, role}] = address
	}
	for key, r := range f.relays {
		if key.to == name {
			r.SetTarget(addresses[key.role])
		}
	}
	return nil
}

// addMember adds and starts a control process, which waits until an operator adds it
// to the quorum.
func (f *fleet) addMember(id int) error {
	m := member{id: id, name: fmt.Sprintf("control-%d", id)}
	f.members = append(f.members, m)
	f.addProcess(m.name, f.controlSettings(m, true))
	return f.start(m.name)
}

// setCut makes every relay from and to a process silent, or undoes that.
func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, r := range f.relays {
		if key.from == name || key.to == name {
			r.SetSilent(cut)
		}
	}
}

// freeze suspends a process.
func (f *fleet) freeze(name string) error { return f.processes[name].Signal(syscall.SIGSTOP) }

// thaw resumes a suspended process.
func (f *fleet) thaw(name string) error { return f.processes[name].Signal(syscall.SIGCONT) }

// close kills every process of the fleet and closes the relays.
func (f *fleet) close() {
	for _, p := range f.processes {
		_ = p.Kill()
	}
	for _, r := range f.relays {
		r.Close()
	}
}

// entryClients returns a client for each entry.
func (f *fleet) entryClients() []*apiclient.Client {
	var clients []*apiclient.Client
	for _, name := range f.processNames() {
		if strings.HasPrefix(name, "entry-") {
			clients = append(clients, f.entryClient(name))
		}
	}
	return clients
}

func (f *fleet) entryClient(name string) *apiclient.Client {
	return &apiclient.Client{BaseURL: "http://" + f.relay(anySource, name, "entry").Address(), Token: f.token, HTTP: callerHTTP}
}

// callerHTTP is the HTTP client of all callers. Its timeout lets a caller move on
// from an entry that doesn't answer.
var callerHTTP = &http.Client{
	Timeout:   8 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second},
}

// waitUntilServing waits until every entry is ready and has a session with every
// agent.
func (f *fleet) waitUntilServing(s fleetSize) error {
	for _, c := range f.entryClients() {
		err := eventually(func(ctx context.Context) error { return checkEntryServes(ctx, c, s.agent) })
		if err != nil {
			return fmt.Errorf("entry not ready: %w", err)
		}
	}
	return nil
}

// checkEntryServes returns an error unless the entry is ready and has sessions with
// the given number of agents.
func checkEntryServes(ctx context.Context, c *apiclient.Client, agents int) error {
	if err := c.Get(ctx, "/readyz", nil); err != nil {
		return err
	}
	var state struct {
		Roles struct {
			Entry struct {
				AgentSessions int `json:"agentSessions"`
			} `json:"entry"`
		} `json:"roles"`
	}
	if err := c.Get(ctx, "/debug/state", &state); err != nil {
		return err
	}
	if n := state.Roles.Entry.AgentSessions; n < agents {
		return fmt.Errorf("sessions with %d of %d agents", n, agents)
	}
	return nil
}

// eventually repeats a check until it passes or proc.HangTimeout has elapsed. In the
// second case it returns the last two errors of the check, because the last one
// may only say that the context is done.
func eventually(check func(ctx context.Context) error) error {
	ctx, stop := context.WithTimeout(context.Background(), proc.HangTimeout)
	defer stop()
	var last error
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(last, err)
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
}
