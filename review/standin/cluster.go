package main

import (
	"bytes"
	"encoding/json"
	"errors"
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
	// program is what the command of the deploy file starts: "target/endivewing serve
	// --config FILE".
	program = "target/endivewing"
	service = "retake"
)

// process is one process of the system.
type process struct {
	role, name, address, zone string
	settings                  func(firstStart bool) string
	cmd                       *exec.Cmd
	ended                     chan struct{}
	// endedAlone is set when the process ends without having been told to.
	endedAlone bool
	told       bool
}

// cluster is a small deployment on loopback addresses: three members, dispatchers and
// runners with a minion each.
type cluster struct {
	rec         *record
	dir         string
	prefix      string // of the addresses
	ports       ports
	seeds       []string
	members     []*process
	dispatchers []*process
	runners     []*process
	minions     []*minion

	mu sync.Mutex
}

type ports struct{ session, debug, control, front, ready, app, relay int }

var zones = []string{"bkk-a", "bkk-b", "nbi-c"}

// newCluster lays out a deployment; nothing runs yet.
func newCluster(rec *record, dispatchers, runners int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+rand.IntN(250))}
	if err := c.drawPorts(); err != nil {
		return nil, err
	}
	for i := 1; i <= 3; i++ {
		c.seeds = append(c.seeds, fmt.Sprintf("%q", c.at(i, c.ports.control)))
	}
	for i := 1; i <= 3; i++ {
		c.members = append(c.members, c.member(i))
	}
	for i := range dispatchers {
		c.dispatchers = append(c.dispatchers, c.dispatcher(11+i))
	}
	for i := range runners {
		c.addRunner(21 + i)
	}
	return c, nil
}

func (c *cluster) ip(host int) string { return fmt.Sprintf("%s.%d", c.prefix, host) }

func (c *cluster) at(host, port int) string { return fmt.Sprintf("%s:%d", c.ip(host), port) }

// drawPorts draws ports below the range of ephemeral ones that are free.
func (c *cluster) drawPorts() error {
	all := []*int{&c.ports.session, &c.ports.debug, &c.ports.control, &c.ports.front, &c.ports.ready, &c.ports.app, &c.ports.relay}
	base := 10000 + rand.IntN(15000)
	for i, p := range all {
		*p = base + i
		l, err := net.Listen("tcp", c.at(1, *p))
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

// common returns the settings that all roles share, as deploy/settings.yaml.tmpl has them.
func (c *cluster) common(role, name, zone, address string, firstStart bool, memoryMB int) string {
	return fmt.Sprintf(`cluster: fleet
name: %s
zone: %s
roles: [%s]
stop_timeout: 6s
tls: { trusted_network: true }
debug: { listen: "%s:%d" }
log: { level: info, output: stdout }
fleet:
  address: %s
  session_port: %d
  seeds: [%s]
  first_start: %v
  memory: %dMiB
  tolerate: 1
`, name, zone, role, address, c.ports.debug, address, c.ports.session, strings.Join(c.seeds, ","), firstStart, memoryMB)
}

func zoneOf(host int) string { return zones[host%len(zones)] }

func (c *cluster) member(host int) *process {
	name, zone, address := fmt.Sprintf("core-%d", host), zoneOf(host), c.ip(host)
	return &process{role: "member", name: name, zone: zone, address: address, settings: func(first bool) string {
		return c.common("member", name, zone, address, first, 280) +
			fmt.Sprintf("  data: %s\n  operators: %q\n", filepath.Join(c.dir, name), c.at(host, c.ports.control))
	}}
}

func (c *cluster) dispatcher(host int) *process {
	name, zone, address := fmt.Sprintf("edge-%d", host), zoneOf(host), c.ip(host)
	return &process{role: "dispatcher", name: name, zone: zone, address: address, settings: func(first bool) string {
		return c.common("dispatcher", name, zone, address, first, 284) +
			fmt.Sprintf("  callers: %q\n  readiness: %q\n", c.at(host, c.ports.front), c.at(host, c.ports.ready))
	}}
}

func (c *cluster) addRunner(host int) {
	name, zone, address := fmt.Sprintf("side-%d", host), zoneOf(host), c.ip(host)
	p := &process{role: "runner", name: name, zone: zone, address: address, settings: func(first bool) string {
		return c.common("runner", name, zone, address, first, 152) +
			fmt.Sprintf("  minion: %s\n  reports: %q\n", c.at(host, c.ports.app), c.at(host, c.ports.control))
	}}
	c.runners = append(c.runners, p)
	c.minions = append(c.minions, &minion{
		id: fmt.Sprintf("i-%d", host), service: service, zone: zone, capacity: 32000, rec: c.rec,
		address: c.at(host, c.ports.app), reports: c.at(host, c.ports.control),
	})
}

// startProcess starts a process with the command of the deploy file.
func (c *cluster) startProcess(p *process, firstStart bool) error {
	path := filepath.Join(c.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(p.settings(firstStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "serve", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	c.mu.Lock()
	p.cmd, p.ended, p.told = cmd, ended, false
	c.mu.Unlock()
	c.rec.add("process starts", fields{"process": p.name, "role": p.role})
	go func() {
		_ = cmd.Wait()
		c.mu.Lock()
		alone := !p.told
		p.endedAlone = p.endedAlone || alone
		c.mu.Unlock()
		c.rec.add("process ends", fields{"process": p.name, "by_itself": alone, "state": cmd.ProcessState.String()})
		close(ended)
	}()
	return nil
}

// signal sends a signal to a process that this program started.
func (c *cluster) signal(p *process, s syscall.Signal) {
	c.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.told = true
	}
	cmd := p.cmd
	c.mu.Unlock()
	c.rec.add("signal", fields{"process": p.name, "signal": s.String()})
	_ = cmd.Process.Signal(s)
}

// kill ends a process and waits for its end.
func (c *cluster) kill(p *process) {
	c.signal(p, syscall.SIGKILL)
	<-p.ended
}

// start starts everything and waits until the dispatchers are ready.
func (c *cluster) start(document any) error {
	for _, p := range append(append(append([]*process{}, c.members...), c.runners...), c.dispatchers...) {
		if err := c.startProcess(p, true); err != nil {
			return err
		}
	}
	for _, m := range c.minions {
		m.mu.Lock()
		up := m.boot != nil
		m.mu.Unlock()
		if !up {
			if err := m.start([]string{"a", "r1"}); err != nil {
				return err
			}
		}
	}
	if err := c.putDocument(document); err != nil {
		return err
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // all runners have reported
	return nil
}

var errNotInTime = errors.New("not in time")

// putDocument sends the desired state to the members in turn until one acknowledges it.
func (c *cluster) putDocument(document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		for i := range c.members {
			request, err := http.NewRequest(http.MethodPut, "http://"+c.at(1+i, c.ports.control)+"/-/config", bytes.NewReader(body))
			if err != nil {
				return err
			}
			response, err := (&http.Client{Timeout: time.Second}).Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				c.rec.add("desired state acknowledged", fields{"by": c.members[i].name})
				return nil
			}
		}
	}
	return fmt.Errorf("desired state: %w", errNotInTime)
}

func (c *cluster) awaitReady() error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range c.dispatchers {
			response, err := (&http.Client{Timeout: time.Second}).Get("http://" + c.at(11+i, c.ports.ready) + "/-/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.dispatchers) {
			return nil
		}
	}
	return fmt.Errorf("dispatchers ready: %w", errNotInTime)
}

// stop ends all processes that were started and removes the temporary folder.
func (c *cluster) stop(keep bool) {
	for _, m := range c.minions {
		m.crash()
	}
	for _, p := range append(append(append([]*process{}, c.members...), c.runners...), c.dispatchers...) {
		if p.cmd == nil {
			continue
		}
		c.mu.Lock()
		p.told = true
		c.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs kept in", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// runs returns all runs at all minions.
func (c *cluster) runs() []run {
	var out []run
	for _, m := range c.minions {
		out = append(out, m.allRuns()...)
	}
	return out
}

// answer is what a caller gets; status 0 stands for none.
type answer struct {
	status int
	body   string
	err    string
}

// request sends a caller's request on a channel of its own.
func (c *cluster) request(method, address, path, body string, deadline time.Duration) answer {
	c.rec.add("request sent", fields{"method": method, "to": address, "path": path, "deadline_ms": deadline.Milliseconds()})
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err.Error()}
	}
	request.Host = "shop.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Endivewing-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: deadline}).Do(request)
	var a answer
	if err != nil {
		a.err = err.Error()
	} else {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = answer{status: response.StatusCode, body: strings.TrimSpace(string(text))}
		if readErr != nil {
			a = answer{err: readErr.Error()}
		}
	}
	c.rec.add("request ended", fields{"method": method, "to": address, "path": path, "status": a.status, "body": a.body, "error": a.err})
	return a
}

// front returns the address of a dispatcher for callers.
func (c *cluster) front(i int) string { return c.at(11+i, c.ports.front) }

// step is a step of a job as callers send it.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMb        int64  `json:"memMb"`
	EstRuntimeMs int64  `json:"estRuntimeMs"`
	Constraints  string `json:"constraints,omitempty"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

// job returns the body of a job that need not be kept. Each task works for workMS.
func job(steps []step, workMS int64) string {
	spec, _ := json.Marshal(taskSpec{CPU: steps[0].CPU, MS: workMS})
	text, _ := json.Marshal(map[string]any{"spec": string(spec), "bestEffort": true, "phases": steps})
	return string(text)
}

// document returns a desired state with one queue.
func document(version int) any {
	return fields{
		"version": version,
		"routes": []fields{{
			"name": "r-1", "host": "shop.example", "pathPrefix": "/print/", "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 0, "service": service, "maxAttempts": 2, "stretchFactor": 1.6,
		}},
		"services": []fields{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": true, "standby": false}},
		"limits":   fields{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// jobID returns a random ID of a job.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
