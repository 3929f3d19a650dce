package scenarios

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// hangGuard ends waits that would otherwise hang the test run; it is far above
// every target, so no verdict depends on it unless something is stuck.
const hangGuard = 90 * time.Second

// process is one OS process of the fleet; it can be started again.
type process struct {
	name string
	args []string
	dir  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// readyLine is what a process prints on standard output when it serves.
type readyLine struct {
	Ready map[string]string `json:"ready"`
}

// start runs the program and waits until it serves; it returns the addresses
// by role.
func (p *process) start() (map[string]string, error) {
	program, err := exec.LookPath("endivewing")
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, p.args...)
	cmd.Dir = p.dir
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	ready := make(chan readyLine, 1)
	go p.follow(cmd, bufio.NewScanner(out), ready, exited)
	select {
	case line := <-ready:
		return line.Ready, nil
	case <-exited:
		return nil, fmt.Errorf("%s ended before it served: %v", p.name, p.exitErr)
	case <-time.After(hangGuard):
		return nil, fmt.Errorf("%s does not serve", p.name)
	}
}

// follow reads standard output to its end, then collects the process.
func (p *process) follow(cmd *exec.Cmd, lines *bufio.Scanner, ready chan<- readyLine, exited chan struct{}) {
	for lines.Scan() {
		var line readyLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Ready != nil {
			ready <- line
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
	close(exited)
}

func (p *process) logPath() string { return filepath.Join(p.dir, p.name+".log") }

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was never started", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// wait waits for the end and returns the process's error.
func (p *process) wait() error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(hangGuard):
		return fmt.Errorf("%s does not end", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// running tells whether the process was started and has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once, also when it is stopped.
func (p *process) kill() error {
	if !p.running() {
		return nil
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = p.wait()
	return nil
}

// stop asks for a graceful stop; the error tells when it was not clean.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.wait()
}
