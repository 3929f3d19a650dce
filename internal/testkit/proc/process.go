// Package proc runs the real program as separate processes in tests, and links
// that can be cut between them.
package proc

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

// HangGuard ends waits that would otherwise hang the test run; it is far above
// every target, so no verdict depends on it unless something is stuck.
const HangGuard = 90 * time.Second

// Process is one OS process of a fleet; it can be started again.
type Process struct {
	Name string
	// Program is what is run; empty is endivewing from the search path.
	Program string
	Args    []string
	// Env is added to the environment.
	Env []string
	// Dir is the working folder; the log is written there.
	Dir string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// readyLine is what a process prints on standard output when it serves.
type readyLine struct {
	Ready map[string]string `json:"ready"`
}

// Start runs the program and waits until it serves; it returns the addresses
// by role.
func (p *Process) Start() (map[string]string, error) {
	program := p.Program
	if program == "" {
		found, err := exec.LookPath("endivewing")
		if err != nil {
			return nil, err
		}
		program = found
	}
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, p.Args...)
	cmd.Dir = p.Dir
	cmd.Env = append(os.Environ(), p.Env...)
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
		return nil, fmt.Errorf("%s ended before it served: %v", p.Name, p.exitErr)
	case <-time.After(HangGuard):
		return nil, fmt.Errorf("%s does not serve", p.Name)
	}
}

// follow reads standard output to its end, then collects the process.
func (p *Process) follow(cmd *exec.Cmd, lines *bufio.Scanner, ready chan<- readyLine, exited chan struct{}) {
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

// LogPath is where the process writes what it has to say.
func (p *Process) LogPath() string { return filepath.Join(p.Dir, p.Name+".log") }

// PID is the number of the process that was started last.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the running process.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was never started", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits for the end and returns the process's error.
func (p *Process) Wait() error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(HangGuard):
		return fmt.Errorf("%s does not end", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Running tells whether the process was started and has not ended.
func (p *Process) Running() bool {
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

// Kill ends the process at once, also when it is stopped.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = p.Wait()
	return nil
}

// Stop asks for a graceful stop; the error tells when it was not clean.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait()
}
