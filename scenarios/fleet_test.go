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

// size is how many processes of each role a fleet has.
type size struct {
	control, entry, agent int
	slots                 int
}

// fleet is a whole deployment of separate processes with relays between them.
type fleet struct {
	dir string
	// direct leaves the relays in front of entries, agents and minions out, for
	// measurements.
	direct bool
	// authority signs the keys of the processes; nil runs them without.
	authority *keystest.Authority
	// token is the operators' token; empty asks for none.
	token string
	// maxWaitMS is the estimated wait above which entries refuse a job.
	maxWaitMS int
	// entryLines are added to the settings of each entry.
	entryLines string
	// minionFlags are added to the command lines of minions, by number.
	minionFlags map[int][]string

	mu      sync.Mutex
	nodes   map[string]*proc.Process
	members []member
	links   map[linkKey]*proc.Relay
	// serving are the addresses where processes listen now.
	serving map[linkKey]string
	minions []string
}

// member is a control process that settings name.
type member struct {
	id   int
	name string
}

// linkKey names the relay from one process, or from any, to another's port.
type linkKey struct{ from, to, role string }

// anyone is the source of links that are not told apart.
const anyone = "*"

// patientMS makes entries queue rather than refuse.
const patientMS = 60_000

func newFleet(dir string) *fleet {
	return &fleet{dir: dir, nodes: map[string]*proc.Process{}, links: map[linkKey]*proc.Relay{}, serving: map[linkKey]string{}, maxWaitMS: patientMS}
}

// link returns the relay for a key, making it on first use.
func (f *fleet) link(from, to, role string) *proc.Relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := linkKey{from, to, role}
	if r, ok := f.links[key]; ok {
		return r
	}
	r, err := proc.NewRelay("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r.Point(f.serving[linkKey{anyone, to, role}])
	f.links[key] = r
	return r
}

// launch starts every process of a new fleet.
func (f *fleet) launch(s size) error {
	for i := 1; i <= s.control; i++ {
		f.members = append(f.members, member{id: i, name: fmt.Sprintf("control-%d", i)})
	}
	for i := 1; i <= s.agent; i++ {
		if err := f.addMinion(i, s.slots); err != nil {
			return err
		}
	}
	for _, m := range f.members {
		f.node(m.name, f.controlSettings(m, false))
	}
	for i := 1; i <= s.agent; i++ {
		f.node(fmt.Sprintf("agent-%d", i), f.agentSettings(i, s.slots))
	}
	for i := 1; i <= s.entry; i++ {
		f.node(fmt.Sprintf("entry-%d", i), f.entrySettings(i))
	}
	if err := f.startAll(); err != nil {
		return err
	}
	return f.awaitServing(s)
}

// startAll starts the processes at once: members need each other to serve.
func (f *fleet) startAll() error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, name := range f.names() {
		if f.nodes[name].Running() {
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

func (f *fleet) names() []string {
	names := make([]string, 0, len(f.nodes))
	for name := range f.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// node registers a process that serves with the given settings.
func (f *fleet) node(name, settings string) {
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		panic(err)
	}
	f.nodes[name] = &proc.Process{Name: name, Dir: f.dir, Args: []string{"serve", "--config", path}}
}

func (f *fleet) addMinion(i, slots int) error {
	name := fmt.Sprintf("minion-%d", i)
	record := filepath.Join(f.dir, name+".record")
	p := &proc.Process{Name: name, Dir: f.dir, Args: []string{"minion", "--record", record, "--slots", fmt.Sprint(slots)}}
	p.Args = append(p.Args, f.minionFlags[i]...)
	f.nodes[name] = p
	f.minions = append(f.minions, record)
	return f.start(name)
}

// start runs a process and points the relays at its new addresses.
func (f *fleet) start(name string) error {
	addresses, err := f.nodes[name].Start()
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for role, address := range addresses {
		f.serving[linkKey{anyone, name, role}] = address
	}
	for key, r := range f.links {
		if key.to == name {
			r.Point(addresses[key.role])
		}
	}
	return nil
}

// addMember starts a control process that waits to be added to the quorum.
func (f *fleet) addMember(id int) error {
	m := member{id: id, name: fmt.Sprintf("control-%d", id)}
	f.members = append(f.members, m)
	f.node(m.name, f.controlSettings(m, true))
	return f.start(m.name)
}

// setCut silences or restores every link from and to a process.
func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, r := range f.links {
		if key.from == name || key.to == name {
			r.SetSilent(cut)
		}
	}
}

// freeze stops a process where it stands; thaw lets it go on.
func (f *fleet) freeze(name string) error { return f.nodes[name].Signal(syscall.SIGSTOP) }

func (f *fleet) thaw(name string) error { return f.nodes[name].Signal(syscall.SIGCONT) }

// close ends every process that the fleet started.
func (f *fleet) close() {
	for _, p := range f.nodes {
		_ = p.Kill()
	}
	for _, r := range f.links {
		r.Close()
	}
}

// entries returns clients of all entries.
func (f *fleet) entries() []*apiclient.Client {
	var clients []*apiclient.Client
	for _, name := range f.names() {
		if strings.HasPrefix(name, "entry-") {
			clients = append(clients, f.client(name))
		}
	}
	return clients
}

func (f *fleet) client(name string) *apiclient.Client {
	return &apiclient.Client{BaseURL: "http://" + f.link(anyone, name, "entry").Address(), Token: f.token, HTTP: callerHTTP}
}

// callerHTTP is the callers' pool; a caller gives an entry up after a while.
var callerHTTP = &http.Client{
	Timeout:   8 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second},
}

// awaitServing waits until every entry is ready and sees every agent.
func (f *fleet) awaitServing(s size) error {
	for _, c := range f.entries() {
		err := eventually(func(ctx context.Context) error { return entryServes(ctx, c, s.agent) })
		if err != nil {
			return fmt.Errorf("entry not ready: %w", err)
		}
	}
	return nil
}

func entryServes(ctx context.Context, c *apiclient.Client, agents int) error {
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

// eventually repeats a check until it passes or the hang guard ends it; the error
// then has what the check said before.
func eventually(check func(ctx context.Context) error) error {
	ctx, stop := context.WithTimeout(context.Background(), proc.HangGuard)
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
