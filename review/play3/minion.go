package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	// maxHold is the longest lease (maxHoldMs).
	maxHold = 1000 * time.Millisecond
	// stopTime is how long a stop takes. Pages: at most stopGraceMs, 50 ms.
	stopTime = 40 * time.Millisecond
	// beatInterval is the interval of liveness reports (heartbeatMs).
	beatInterval = 1500 * time.Millisecond
	// clockStep is the interval at which the steady clock is read. A longer gap
	// means that the machine was suspended: the steady clock doesn't count it.
	clockStep = 2 * time.Millisecond
	// suspensionGap is the gap from which it counts as a suspension.
	suspensionGap = 500 * time.Millisecond
)

// event is a line of a minion's record. At is in nanoseconds of the time of day, which
// all processes of the script share.
type event struct {
	At     int64  `json:"at"`
	Minion string `json:"minion"`
	What   string `json:"what"` // boot, start, end, draining
	Task   string `json:"task"`
	Run    int    `json:"run"`
	How    string `json:"how,omitempty"`
	Born   int64  `json:"born,omitempty"`
	Spec   string `json:"spec,omitempty"`
}

// minionRun is a run at work.
type minionRun struct {
	task     string
	run      int
	cpu      int64
	began    time.Duration // on the steady clock
	duration time.Duration
	stopAt   time.Duration // 0 if no stop was asked for
}

// minion is a sound minion: it does what PROTOCOL.md says and no more.
type minion struct {
	id, address, reports, zone, label string
	born                              int64

	mu       sync.Mutex
	steady   time.Duration
	lastRead time.Time
	fence    uint64
	deadline time.Duration
	runs     map[string]*minionRun
	highest  map[string]int // highest run stopped or ended, by task
	ended    [][]any
	lastEnd  int
	seq      int
	draining bool
	changed  chan struct{}
	record   *os.File
}

// minionCPU is the capacity in thousandths of a core.
const minionCPU = 32000

func runMinion(args []string) {
	f := flag.NewFlagSet("minion", flag.ExitOnError)
	m := &minion{runs: map[string]*minionRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	f.StringVar(&m.address, "address", "", "")
	f.StringVar(&m.reports, "reports", "", "")
	f.StringVar(&m.id, "id", "", "")
	f.StringVar(&m.zone, "zone", "z-a", "")
	f.StringVar(&m.label, "label", "a", "")
	path := f.String("record", "", "")
	_ = f.Parse(args)
	var err error
	if m.record, err = os.OpenFile(*path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	m.born = time.Now().UnixMilli()
	m.lastRead = time.Now()
	m.note(event{What: "boot", Born: m.born})
	go m.tick()
	go m.beat()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.handle(m.start))
	mux.HandleFunc("POST /-/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /-/hold", m.handle(m.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	fmt.Fprintln(os.Stderr, http.ListenAndServe(m.address, mux))
	os.Exit(1)
}

// advance moves the steady clock to the present and ends the runs that are due. The
// caller holds mu.
func (m *minion) advance() {
	now := time.Now()
	if gap := now.Sub(m.lastRead); gap < suspensionGap {
		m.steady += gap
	}
	m.lastRead = now
	for _, r := range m.runs {
		lapse, done := m.deadline, r.began+r.duration
		switch {
		case r.stopAt != 0 && m.steady >= r.stopAt:
			m.end(r, "stopped")
		case m.steady >= done && done <= lapse:
			m.end(r, "done")
		case m.steady >= lapse:
			m.end(r, "lapsed")
		}
	}
}

func (m *minion) end(r *minionRun, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, r.task, r.run, how, ""})
	m.note(event{What: "end", Task: r.task, Run: r.run, How: how})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) note(e event) {
	e.At, e.Minion = time.Now().UnixNano(), m.id
	line, _ := json.Marshal(e)
	_, _ = m.record.Write(append(line, '\n'))
}

func (m *minion) tick() {
	for range time.Tick(clockStep) {
		m.mu.Lock()
		m.advance()
		m.mu.Unlock()
	}
}

// drainTimeLeft is what a draining minion says in remainingMs.
const drainTimeLeft = 8 * time.Second

// beat sends liveness reports. From SIGUSR1 on, they say that the minion is draining.
func (m *minion) beat() {
	client := http.Client{Timeout: time.Second}
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	acknowledged := false
	for {
		pause := beatInterval
		request, _ := http.NewRequest(http.MethodPut, "http://"+m.reports+"/-/instances/"+m.id, bytes.NewReader(m.report()))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			pause = 200 * time.Millisecond // until the first one is acknowledged
		} else {
			_ = response.Body.Close()
			if m.draining && !acknowledged && response.StatusCode/100 == 2 {
				acknowledged = true
				m.note(event{What: "draining"})
			}
		}
		select {
		case <-drain:
			m.draining = true
		case <-time.After(pause):
		}
	}
}

// report returns the body of the next report.
func (m *minion) report() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.seq++
	report := map[string]any{
		"service": "svc", "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": minionCPU, "memMb": 65536, "gpus": 0}, "labels": []string{m.label, "r1-1"},
		"clockMs": m.steady.Milliseconds(), "seq": m.seq, "born": m.born,
	}
	if m.draining {
		report["state"], report["remainingMs"] = "draining", drainTimeLeft.Milliseconds()
	}
	body, _ := json.Marshal(report)
	return body
}

// call is the body of a call.
type call struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   *int64 `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckSeq       int    `json:"ackSeq"`
	WaitMs       int64  `json:"waitMs"`
}

func (m *minion) handle(do func(c *call) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Endivewing-Expect-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.mu.Lock()
		m.advance()
		status, body := do(&c)
		body["clockMs"], body["born"] = m.steady.Milliseconds(), m.born
		text, _ := json.Marshal(body)
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(text)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced reports whether a call is refused, and takes over a higher fencing token.
func (m *minion) fenced(c *call) bool {
	if c.FencingToken < m.fence {
		return true
	}
	m.fence = c.FencingToken
	return false
}

// grant extends the lease.
func (m *minion) grant(c *call) {
	if c.DeadlineMs != nil {
		asked := time.Duration(*c.DeadlineMs) * time.Millisecond
		m.deadline = max(m.deadline, min(asked, m.steady+maxHold))
	}
}

func (m *minion) start(c *call) (int, map[string]any) {
	if m.fenced(c) {
		return conflict("fence")
	}
	if c.DeadlineMs == nil || time.Duration(*c.DeadlineMs)*time.Millisecond <= m.steady {
		return conflict("late")
	}
	m.grant(c)
	if r := m.runs[c.Task]; r != nil && r.run == c.RunID {
		return http.StatusOK, map[string]any{}
	}
	if m.runs[c.Task] != nil || c.RunID <= m.highest[c.Task] {
		return conflict("old")
	}
	var cpu, ms int64
	_, _ = fmt.Sscan(c.Spec, &cpu, &ms)
	var used int64
	for _, r := range m.runs {
		used += r.cpu
	}
	if used+cpu > minionCPU {
		return conflict("room")
	}
	m.runs[c.Task] = &minionRun{task: c.Task, run: c.RunID, cpu: cpu, began: m.steady, duration: time.Duration(ms) * time.Millisecond}
	m.note(event{What: "start", Task: c.Task, Run: c.RunID, Spec: c.Spec})
	return http.StatusOK, map[string]any{}
}

func (m *minion) stop(c *call) (int, map[string]any) {
	if m.fenced(c) {
		return conflict("fence")
	}
	m.highest[c.Task] = max(m.highest[c.Task], c.RunID)
	if r := m.runs[c.Task]; r != nil && r.run == c.RunID && r.stopAt == 0 {
		r.stopAt = m.steady + stopTime
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease and lists the runs, once a run has ended or the wait is over.
func (m *minion) hold(c *call) (int, map[string]any) {
	if m.fenced(c) {
		return conflict("fence")
	}
	m.grant(c)
	for len(m.ended) > 0 && m.ended[0][0].(int) <= c.AckSeq {
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && c.WaitMs > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
		m.mu.Lock()
		m.advance()
	}
	running := [][]any{}
	for _, r := range m.runs {
		percent := int(100 * (m.steady - r.began) / max(r.duration, 1))
		running = append(running, []any{r.task, r.run, "", min(percent, 99), float64(r.cpu) / 1000})
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": append([][]any{}, m.ended[:min(len(m.ended), 500)]...)}
}
