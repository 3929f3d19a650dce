// Package fakeminion implements a simulated minion for tests, demos and load runs.
// It simulates one task per HTTP request and appends each start and end of a
// task to a record file. Tests count starts in that file and don't rely on the
// system under test.
//
// A task is sent as POST /v1/tasks/{service}. The headers carry the job, the
// task number and the time budget; this minion ignores the time budget. The
// request body is the payload and the response body is the result. GET /healthz
// reports that the minion is serving.
package fakeminion

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// Request headers of a task.
const (
	headerJob  = "Endivewing-Job"
	headerTask = "Endivewing-Task"
)

// maxPayloadBytes bounds the request body of a task.
const maxPayloadBytes = 8 << 20

const readHeaderTimeout = 5 * time.Second

// Options configures a Minion. With the zero value it listens on a loopback port
// chosen by the kernel and runs each task as its Payload specifies.
type Options struct {
	// Listen is the TCP address to listen on. If it is empty, the kernel chooses
	// a free loopback port.
	Listen string
	// Slots is the maximum number of tasks that run at the same time. Further
	// tasks are answered with status 429. 0 means no limit.
	Slots int
	// TimeFactor multiplies the run time of each task. 0 means 1.
	TimeFactor float64
	// FailRatio is the share of tasks, from 0 to 1, that end with status 500.
	FailRatio float64
	// FailSeed selects the tasks that fail. Whether a task fails depends only on
	// FailSeed and the job and task numbers.
	FailSeed uint64
	// NoOp ignores the run time in the payload and answers at once.
	NoOp bool
	// RecordPath is the record file that events are appended to. If it is empty,
	// nothing is recorded.
	RecordPath string
}

// Minion is a running simulated minion. Its methods are safe for concurrent use.
type Minion struct {
	opts     Options
	address  string
	recorder *recorder

	running  atomic.Int64
	starts   atomic.Int64
	handlers sync.WaitGroup
	restarts sync.WaitGroup
	stopOnce sync.Once
	stopped  chan struct{} // closed by Stop

	mu     sync.Mutex
	server *http.Server  // nil from a crash until the minion is back
	thawed chan struct{} // closed while the minion is not frozen
}

// Start opens the record file and serves in the background until Stop or
// Shutdown is called.
func Start(opts Options) (*Minion, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.TimeFactor == 0 {
		opts.TimeFactor = 1
	}
	rec, err := openRecorder(opts.RecordPath)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		rec.close()
		return nil, eris.Wrapf(err, "listen on %s", opts.Listen)
	}
	m := &Minion{
		opts: opts, address: l.Addr().String(), recorder: rec,
		stopped: make(chan struct{}), thawed: make(chan struct{}),
	}
	close(m.thawed)
	m.serve(l)
	return m, nil
}

func (m *Minion) routes() http.Handler {
	e := echo.New()
	e.GET("/healthz", m.serveHealth)
	e.POST("/v1/tasks/:service", m.serveTask)
	return e
}

// serveHealth doesn't answer while the minion is frozen, like serveTask.
func (m *Minion) serveHealth(c echo.Context) error {
	m.waitThawed(c.Request().Context())
	return c.String(http.StatusOK, "ok")
}

// Address returns the host and port that the minion listens on.
func (m *Minion) Address() string { return m.address }

// URL returns the base URL of the minion.
func (m *Minion) URL() string { return "http://" + m.Address() }

// RunningTasks returns the number of task requests in progress.
func (m *Minion) RunningTasks() int { return int(m.running.Load()) }

// StartedTasks returns the number of tasks started so far.
func (m *Minion) StartedTasks() int { return int(m.starts.Load()) }

// Freeze stops the minion from answering requests until Thaw is called.
// Tasks that arrive meanwhile still start.
func (m *Minion) Freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
		m.thawed = make(chan struct{})
	default:
	}
}

// Thaw undoes Freeze.
func (m *Minion) Thaw() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// Stop closes all connections at once, as a crash of the process would, and
// closes the record file. Running tasks are recorded as stopped.
func (m *Minion) Stop() {
	m.stopOnce.Do(func() { close(m.stopped) })
	m.closeServer()
	// A crash shortly before may have started a server since.
	m.restarts.Wait()
	m.closeServer()
	m.recorder.close()
}

// closeServer closes the listener and all connections, and waits for their handlers.
func (m *Minion) closeServer() {
	if server := m.takeServer(); server != nil {
		_ = server.Close()
	}
	m.handlers.Wait()
}

// Shutdown accepts no new requests and waits until the running tasks have ended
// or the context is done. Then it calls Stop. It returns the context's error if
// tasks were still running.
func (m *Minion) Shutdown(ctx context.Context) error {
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	var err error
	if server != nil {
		err = server.Shutdown(ctx)
	}
	m.Stop()
	return err
}

// waitThawed returns when the minion is not frozen or the context is done.
func (m *Minion) waitThawed(ctx context.Context) {
	m.mu.Lock()
	thawed := m.thawed
	m.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
	}
}
