// Package proc runs programs as separate processes in tests. It also provides
// relays, network links between these processes that a test can interrupt.
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

// HangTimeout is the timeout of waits that could otherwise hang a test run. It is
// far above every expected duration, so it expires only if something is stuck.
const HangTimeout = 90 * time.Second

// Process is an OS process under test. It can be started again after it has
// ended.
type Process struct {
	// Name is used in errors and names the log file.
	Name string
	// Program is the executable. If it is empty, endivewing from the search path
	// is run.
	Program string
	Args    []string
	// Env is added to the environment of the test process.
	Env []string
	// Dir is the working folder. The log file is written there.
	Dir string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	exitErr error
}

// readyLine is the JSON line that a process prints on standard output when it is
// ready to serve.
type readyLine struct {
	// Ready maps each role to the address that it listens on.
	Ready map[string]string `json:"ready"`
}

// Start runs the program and waits until it is ready to serve. It returns the
// address of each role. It fails if the process ends before or isn't ready
// within HangTimeout; in the second case the process is left running.
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
	go p.readOutput(cmd, bufio.NewScanner(out), ready, exited)
	select {
	case line := <-ready:
		return line.Ready, nil
	case <-exited:
		return nil, fmt.Errorf("%s ended before it served: %v", p.Name, p.exitErr)
	case <-time.After(HangTimeout):
		return nil, fmt.Errorf("%s is not ready to serve before the timeout", p.Name)
	}
}

// readOutput reads standard output to its end, then waits for the process and
// records its exit error. Each readyLine is sent to ready.
func (p *Process) readOutput(cmd *exec.Cmd, lines *bufio.Scanner, ready chan<- readyLine, exited chan struct{}) {
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

// LogPath returns the file that the standard error of the process is appended to.
func (p *Process) LogPath() string { return filepath.Join(p.Dir, p.Name+".log") }

// PID returns the ID of the process that was started last.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process that was started last.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was never started", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits until the process has ended and returns its exit error. It fails if
// the process is still running after HangTimeout.
func (p *Process) Wait() error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(HangTimeout):
		return fmt.Errorf("%s did not exit before the timeout", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Running reports whether the process was started and has not ended.
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

// Kill ends the process with SIGKILL, also while it is suspended by SIGSTOP, and
// waits for its end. It does nothing if the process isn't running.
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

// Stop sends SIGTERM, waits until the process has ended and returns its exit
// error.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait()
}
