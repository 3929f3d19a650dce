package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// queueHost is the host of all queues of a play.
const queueHost = "nony24.example"

// program is what the deploy file builds.
const program = "target/endivewing"

// process is a process of the system on a machine of its own, which is a loopback
// address.
type process struct {
	w       *world
	name    string
	ip      string
	file    string
	front   string // of a dispatcher
	ready   string // of a dispatcher
	control string // of a member or a runner
	app     string // of the minion beside a runner
	cmd     *exec.Cmd
	log     *os.File
	done    chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	*record
	folder                            string
	subnet                            string
	frontPort, readyPort, controlPort int
	appPort, sessionPort, debugPort   int
	members, dispatchers, runners     []*process
	minions                           []*minion
	seeds                             []string
	// peerAddress returns where others reach the sessions of a runner; nil means its own address.
	peerAddress func(i int) string
}

// newWorld chooses addresses and ports that are free.
func newWorld(r *record, members, dispatchers, runners int) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, folder: folder, subnet: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))}
	ports := []*int{&w.frontPort, &w.readyPort, &w.controlPort, &w.appPort, &w.sessionPort, &w.debugPort}
	for i, p := range ports {
		*p = 20000 + i*500 + rand.IntN(500)
	}
	for i := range members {
		p := w.machine(fmt.Sprintf("core-%d", i), 10+i)
		p.control = w.at(p.ip, w.controlPort)
		w.members = append(w.members, p)
		w.seeds = append(w.seeds, p.control)
	}
	for i := range dispatchers {
		p := w.machine(fmt.Sprintf("edge-%d", i), 30+i)
		p.front, p.ready = w.at(p.ip, w.frontPort), w.at(p.ip, w.readyPort)
		w.dispatchers = append(w.dispatchers, p)
	}
	for i := range runners {
		p := w.machine(fmt.Sprintf("side-%d", i), 50+i)
		p.control, p.app = w.at(p.ip, w.controlPort), w.at(p.ip, w.appPort)
		w.runners = append(w.runners, p)
		w.minions = append(w.minions, newMinion(r, p.app, p.control))
	}
	l, err := net.Listen("tcp", w.at(w.dispatchers[0].ip, w.frontPort))
	if err != nil {
		return nil, err
	}
	return w, l.Close()
}

func (w *world) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (w *world) machine(name string, number int) *process {
	return &process{w: w, name: name, ip: fmt.Sprintf("%s.%d", w.subnet, number), file: filepath.Join(w.folder, name+".yaml")}
}

// settings returns the settings of a process, as deploy/settings.yaml.tmpl gives them.
func (w *world) settings(p *process, role string, firstStart bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "cluster: fleet\nname: %s\nzone: a\nroles: [%s]\nstop_timeout: 6s\ntls: { trusted_network: true }\n", p.name, role)
	fmt.Fprintf(&b, "debug: { listen: \"%s\" }\nlog: { level: info, output: stdout }\nfleet:\n", w.at(p.ip, w.debugPort))
	address := p.ip
	if role == "runner" && w.peerAddress != nil {
		for i, r := range w.runners {
			if r == p {
				address = w.peerAddress(i)
				fmt.Fprintf(&b, "  listen: %s\n", p.ip)
			}
		}
	}
	fmt.Fprintf(&b, "  address: %s\n  session_port: %d\n  seeds: [\"%s\"]\n  first_start: %v\n", address, w.sessionPort, strings.Join(w.seeds, "\",\""), firstStart)
	fmt.Fprintf(&b, "  memory: 280MiB\n  tolerate: 1\n")
	switch role {
	case "member":
		fmt.Fprintf(&b, "  data: %s\n  operators: \"%s\"\n", filepath.Join(w.folder, p.name), p.control)
	case "dispatcher":
		fmt.Fprintf(&b, "  callers: \"%s\"\n  readiness: \"%s\"\n", p.front, p.ready)
	case "runner":
		fmt.Fprintf(&b, "  minion: \"%s\"\n  reports: \"%s\"\n", p.app, p.control)
	}
	return b.String()
}

// start starts a process with the command of the deploy file.
func (p *process) start() error {
	var err error
	p.log, err = os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, "serve", "--config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	p.w.note("%s starts", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.w.note("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// startAll starts every process and minion, puts the desired state in force and waits
// until all dispatchers are ready.
func (w *world) startAll(state map[string]any, minions []minionOptions) error {
	roles := map[string][]*process{"member": w.members, "dispatcher": w.dispatchers, "runner": w.runners}
	for _, role := range []string{"member", "runner", "dispatcher"} {
		for _, p := range roles[role] {
			if err := os.WriteFile(p.file, []byte(w.settings(p, role, true)), 0o600); err != nil {
				return err
			}
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	for i, o := range minions {
		if err := w.minions[i].start(o); err != nil {
			return err
		}
	}
	if !w.putState(state) {
		return fmt.Errorf("the desired state was not acknowledged")
	}
	for _, p := range w.dispatchers {
		if !w.awaitReady(p) {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	time.Sleep(2 * time.Second) // runners and dispatchers are connected
	return nil
}

// putState sends a desired state until it is acknowledged.
func (w *world) putState(state map[string]any) bool {
	body, err := json.Marshal(state)
	if err != nil {
		return false
	}
	for i := range 60 {
		out := w.call(context.Background(), http.MethodPut, w.members[i%len(w.members)].control, "", "/-/config", body, time.Second)
		if out.status == http.StatusOK {
			w.note("operator: desired state %v is acknowledged", state["version"])
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (w *world) awaitReady(p *process) bool {
	for range 100 {
		if out := w.call(context.Background(), http.MethodGet, p.ready, "", "/-/ready", nil, time.Second); out.status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// close ends everything that was started.
func (w *world) close() {
	for _, m := range w.minions {
		m.crash()
	}
	for _, group := range [][]*process{w.members, w.dispatchers, w.runners} {
		for _, p := range group {
			if p.cmd == nil || p.cmd.Process == nil {
				continue
			}
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
			_ = p.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

// queue is a queue of the desired state.
type queue struct {
	name            string
	priority        int
	timeoutMs       int
	targetLatencyMs float64
	stretch         float64
	maxAttempts     int
}

// desiredState returns a desired state with one service.
func desiredState(version int, service string, guards bool, queues ...queue) map[string]any {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r-" + q.name, "host": queueHost, "pathPrefix": "/" + q.name + "/", "kind": "unsafe", "timeoutMs": q.timeoutMs,
			"targetLatencyMs": q.targetLatencyMs, "priority": q.priority, "service": service, "maxAttempts": max(q.maxAttempts, 2), "stretchFactor": q.stretch,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": guards, "standby": false,
		}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
