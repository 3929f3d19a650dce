// Package standin is a small minion for tests, demos and load runs. It runs
// one task per HTTP request and records each start and end in a file, so that
// a judge can count starts without asking the system under test.
//
// A task is POST /v1/tasks/{service} with the job, the task number and the
// time budget in headers and the payload as body; the answer's body is the
// result. GET /healthz tells that the minion serves.
package standin

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

// maxPayloadBytes bounds the body of a task.
const maxPayloadBytes = 8 << 20

const readHeaderTimeout = 5 * time.Second

// Options are the settings of a stand-in minion; the zero value serves on a
// loopback port that the kernel chooses and runs each task as its payload says.
type Options struct {
	// Listen is the TCP address; empty is a free loopback port.
	Listen string
	// Slots is the number of tasks that may run at once; one more is answered
	// with 429. 0 is no limit.
	Slots int
	// TimeFactor multiplies each run time; 0 counts as 1.
	TimeFactor float64
	// FailRatio is the share of tasks, from 0 to 1, that end with status 500.
	// Which ones depends on FailSeed and their job and task numbers alone.
	FailRatio float64
	FailSeed  uint64
	// NoOp answers at once, whatever the payload's run time is.
	NoOp bool
	// RecordPath is the file that starts and ends are appended to; empty
	// records nothing.
	RecordPath string
}

// Minion is a running stand-in.
type Minion struct {
	opts   Options
	server *http.Server
	listen net.Listener
	record *recorder

	running  atomic.Int64
	starts   atomic.Int64
	handlers sync.WaitGroup

	mu     sync.Mutex
	thawed chan struct{} // closed while the minion is not frozen
}

// Start opens the record and serves until Stop.
func Start(opts Options) (*Minion, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.TimeFactor == 0 {
		opts.TimeFactor = 1
	}
	record, err := openRecorder(opts.RecordPath)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		record.close()
		return nil, eris.Wrapf(err, "listen on %s", opts.Listen)
	}
	m := &Minion{opts: opts, listen: l, record: record, thawed: make(chan struct{})}
	close(m.thawed)
	m.server = &http.Server{Handler: m.routes(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = m.server.Serve(l) }()
	return m, nil
}

func (m *Minion) routes() http.Handler {
	e := echo.New()
	e.GET("/healthz", m.serveHealth)
	e.POST("/v1/tasks/:service", m.serveTask)
	return e
}

// serveHealth answers as late as a task would while the minion is frozen.
func (m *Minion) serveHealth(c echo.Context) error {
	m.waitThawed(c.Request().Context())
	return c.String(http.StatusOK, "ok")
}

// Address is the host and port of the minion.
func (m *Minion) Address() string { return m.listen.Addr().String() }

// URL is the base URL of the minion.
func (m *Minion) URL() string { return "http://" + m.Address() }

// Running is the number of tasks that run now.
func (m *Minion) Running() int { return int(m.running.Load()) }

// Starts is the number of tasks started so far.
func (m *Minion) Starts() int { return int(m.starts.Load()) }

// Freeze keeps the minion from answering until Release.
func (m *Minion) Freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
		m.thawed = make(chan struct{})
	default:
	}
}

// Release ends a Freeze.
func (m *Minion) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// Stop cuts all connections, as the death of the process would, and closes
// the record. Tasks that ran are recorded as stopped.
func (m *Minion) Stop() {
	_ = m.server.Close()
	m.handlers.Wait()
	m.record.close()
}

// Shutdown takes no new requests and waits for the running tasks, until the
// context ends; then it stops.
func (m *Minion) Shutdown(ctx context.Context) error {
	err := m.server.Shutdown(ctx)
	m.Stop()
	return err
}

// waitThawed returns when the minion is not frozen or the context has ended.
func (m *Minion) waitThawed(ctx context.Context) {
	m.mu.Lock()
	thawed := m.thawed
	m.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
	}
}
