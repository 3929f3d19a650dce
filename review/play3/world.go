package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is a small deployment of the project's own programs on loopback addresses, with
// stand-ins for minions, clients and the operator.
type world struct {
	program, folder, temp string
	subnet                int // the third number of the addresses
	ports                 ports
	processes             []*process
	seeds                 []string

	mu     sync.Mutex
	record *os.File
	// closing is held while a process is started, and from close on.
	closing sync.Mutex
}

// ports are the same on all machines.
type ports struct{ session, control, front, ready, app, debug int }

// process is a program that the script has started.
type process struct {
	name    string
	cmd     *exec.Cmd
	args    []string
	logPath string
	done    chan struct{}
}

func newWorld(program, folder string) (*world, error) {
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{program: program, folder: folder, temp: temp, record: record, subnet: 20 + rand.IntN(200)}
	w.ports = ports{freePort(), freePort(), freePort(), freePort(), freePort(), freePort()}
	return w, nil
}

// freePort returns a port that is free on one loopback address. On the others of this
// script nobody else listens.
func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (w *world) host(number int) string { return fmt.Sprintf("127.63.%d.%d", w.subnet, number) }

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// settings returns the settings file of a role, as deploy/settings.yaml.tmpl gives it.
func (w *world) settings(role, name, host, zone, tail string, firstStart bool) string {
	var seeds []string
	for _, s := range w.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", address(s, w.ports.control)))
	}
	return fmt.Sprintf(`cluster: fleet
name: %s
zone: %s
roles: [%s]
stop_timeout: 6s
tls: { trusted_network: true }
debug: { listen: "%s" }
log: { level: info, output: stdout }
fleet:
  address: %s
  session_port: %d
  seeds: [%s]
  first_start: %v
  memory: 280MiB
  tolerate: 1
%s`, name, zone, role, address(host, w.ports.debug), host, w.ports.session, strings.Join(seeds, ","), firstStart, tail)
}

// serve starts the project's program in a role, with the command of the deploy file.
func (w *world) serve(role, name, host, zone, tail string) (*process, error) {
	path, err := w.writeSettings(role, name, host, zone, tail, true)
	if err != nil {
		return nil, err
	}
	return w.launch(name, w.program, "serve", "--config", path)
}

func (w *world) writeSettings(role, name, host, zone, tail string, firstStart bool) (path string, err error) {
	path = filepath.Join(w.temp, name+".yaml")
	return path, os.WriteFile(path, []byte(w.settings(role, name, host, zone, tail, firstStart)), 0o600)
}

// dataFolder is the disk of a core machine.
func (w *world) dataFolder(core int) string { return filepath.Join(w.temp, fmt.Sprint("data-", core)) }

// writeMemberSettings writes the settings of a core machine.
func (w *world) writeMemberSettings(core int, firstStart bool) (path string, err error) {
	host := w.host(1 + core)
	tail := fmt.Sprintf("  data: %s\n  operators: %q\n", w.dataFolder(core), address(host, w.ports.control))
	return w.writeSettings("member", fmt.Sprint("core-", core), host, zones[core%3], tail, firstStart)
}

// startMember starts the process of a core machine.
func (w *world) startMember(core int, firstStart bool) (*process, error) {
	path, err := w.writeMemberSettings(core, firstStart)
	if err != nil {
		return nil, err
	}
	return w.launch(fmt.Sprint("core-", core), w.program, "serve", "--config", path)
}

func (w *world) launch(name, program string, args ...string) (*process, error) {
	w.closing.Lock()
	defer w.closing.Unlock()
	p := &process{name: name, args: append([]string{program}, args...), logPath: filepath.Join(w.temp, name+".log")}
	if err := p.start(); err != nil {
		return nil, err
	}
	w.processes = append(w.processes, p)
	return p, nil
}

func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// ended reports whether the process has ended within a time.
func (p *process) ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// close ends all processes that the script has started, and keeps their logs if asked.
func (w *world) close() {
	w.closing.Lock() // for good: the script ends now
	for _, p := range w.processes {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.temp))
	}
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// fleet is what startFleet has started.
type fleet struct {
	members, dispatchers, runners, minions []*process
	fronts, operators                      []string
	minionRecords                          []string
}

// zones are the zones of the machines, in turn.
var zones = []string{"z-a", "z-b", "z-c"}

// startFleet starts three members, three dispatchers, and runners with their minions.
func (w *world) startFleet(runners int) (*fleet, error) {
	f := &fleet{}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		w.seeds = append(w.seeds, w.host(1+i))
	}
	for i := range 3 {
		p, err := w.startMember(i, true)
		if err != nil {
			return nil, err
		}
		f.members, f.operators = append(f.members, p), append(f.operators, address(w.host(1+i), w.ports.control))
	}
	for i := range runners {
		host := w.host(40 + i)
		record := filepath.Join(w.temp, fmt.Sprintf("minion-%d.jsonl", i))
		m, err := w.launch(fmt.Sprint("minion-", i), self, "minion", "--address", address(host, w.ports.app), "--reports", address(host, w.ports.control),
			"--id", fmt.Sprint("i-", i), "--record", record, "--zone", zones[i%3])
		if err != nil {
			return nil, err
		}
		tail := fmt.Sprintf("  minion: %q\n  reports: %q\n", address(host, w.ports.app), address(host, w.ports.control))
		p, err := w.serve("runner", fmt.Sprint("side-", i), host, zones[i%3], tail)
		if err != nil {
			return nil, err
		}
		f.minions, f.runners, f.minionRecords = append(f.minions, m), append(f.runners, p), append(f.minionRecords, record)
	}
	for i := range 3 {
		host := w.host(20 + i)
		tail := fmt.Sprintf("  callers: %q\n  readiness: %q\n", address(host, w.ports.front), address(host, w.ports.ready))
		p, err := w.serve("dispatcher", fmt.Sprint("edge-", i), host, zones[i%3], tail)
		if err != nil {
			return nil, err
		}
		f.dispatchers, f.fronts = append(f.dispatchers, p), append(f.fronts, address(host, w.ports.front))
	}
	if err := w.putDocument(f, 1); err != nil {
		return nil, err
	}
	return f, w.awaitReady()
}

// putDocument has the operator send a desired state until it is acknowledged.
func (w *world) putDocument(f *fleet, version int) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"q.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":60,"priority":0,"service":"svc","maxAttempts":4,"stretchFactor":1.6}],"services":[{"name":"svc","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforceLimits":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version)
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		for _, to := range f.operators {
			if status, _ := request(context.Background(), http.MethodPut, to, "/-/config", "", body, time.Second); status == http.StatusOK {
				w.note("desired state %d acknowledged by %s", version, to)
				return nil
			}
		}
	}
	return fmt.Errorf("desired state %d not acknowledged", version)
}

// awaitReady waits until all dispatchers are ready.
func (w *world) awaitReady() error {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range 3 {
			if status, _ := request(context.Background(), http.MethodGet, address(w.host(20+i), w.ports.ready), "/-/ready", "", "", time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == 3 {
			time.Sleep(time.Second) // until all runners are connected
			return nil
		}
	}
	return fmt.Errorf("dispatchers not ready")
}

// request sends one request on a channel of its own. Status 0 stands for no answer.
func request(ctx context.Context, method, to, path, host, body string, limit time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Endivewing-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

const (
	// clientLimit is the time limit of the kinds of request on the sheets.
	clientLimit = 1500 * time.Millisecond
	// resendAfter is when a job is sent again (resendMs).
	resendAfter = 1300 * time.Millisecond
)

// submit sends a job as a client does: after no answer, a broken channel, 502 or 504 it is
// sent again after resendAfter, to another node, at most sends times in all. It returns
// the last status.
func (w *world) submit(f *fleet, id, spec string, tasks, cpu, ms, sends int) int {
	body := fmt.Sprintf(`{"spec":%q,"phases":[{"count":%d,"cpu":%d,"memMb":64,"estRuntimeMs":%d}],"bestEffort":true}`, spec, tasks, cpu, ms)
	status := 0
	for n := range sends {
		if n > 0 {
			time.Sleep(resendAfter)
		}
		to := f.fronts[rand.IntN(len(f.fronts))]
		w.note("client sends job %s to %s (%d)", id, to, n+1)
		var answer string
		status, answer = request(context.Background(), http.MethodPost, to, "/q/"+id, "q.example", body, clientLimit)
		w.note("job %s at %s is answered %d %s", id, to, status, answer)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
	}
	return status
}

// events reads what the minions have seen, and writes it to the record.
func (w *world) events(f *fleet) ([]event, error) {
	var all []event
	for _, path := range f.minionRecords {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
			if len(line) == 0 {
				continue
			}
			var e event
			if err := json.Unmarshal(line, &e); err != nil {
				return nil, err
			}
			all = append(all, e)
			fmt.Fprintf(w.record, "%s  minion %s: %s %s run %d %s\n", time.Unix(0, e.At).Format("15:04:05.000"), e.Minion, e.What, e.Task, e.Run, e.How)
		}
	}
	return all, nil
}
