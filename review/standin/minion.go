package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold        = time.Second             // bounds.maxHoldMs
	stopGrace      = 50 * time.Millisecond   // bounds.stopGraceMs
	reportInterval = 1500 * time.Millisecond // heartbeatMs
	// reportTimeout is how long a minion waits for the acknowledgement of a report, and
	// reportRetry the pause after one that was not acknowledged.
	reportTimeout, reportRetry = time.Second, 200 * time.Millisecond
	// holdStep is the pause between two looks for an end while a call waits for one.
	holdStep      = time.Millisecond
	maxListedEnds = 500
)

// run is a run at a minion, from its start to its end.
type run struct {
	Task    string
	Number  uint32
	Spec    string
	Minion  string
	Labels  []string
	Boot    int
	Started time.Time
	Ended   time.Time // zero while it is at work
	How     string

	duration time.Duration
	cpu      int64
	stopAt   time.Time
}

// taskSpec is the spec of a task: its need in thousandths of a core and its run time.
type taskSpec struct {
	CPU int64 `json:"cpu"`
	MS  int64 `json:"ms"`
}

// endRow is a row of the list of ended runs.
type endRow struct {
	number uint64
	run    *run
}

// boot is what a minion loses when it starts again.
type boot struct {
	number   int
	labels   []string
	born     time.Time
	server   *http.Server
	listener net.Listener
	down     chan struct{}
	fence    uint64
	deadline int64
	runs     map[string]*run
	lastRun  map[string]uint32
	ended    []endRow
	lastEnd  uint64
	seq      uint64
}

// minion is a sound minion beside a runner. It does what PROTOCOL.md says of starts,
// stops, leases, fencing tokens, lists and reports. The spec of a task gives its run time.
type minion struct {
	id, service, zone string
	address, reports  string
	capacity          int64
	rec               *record
	// firstReport is the pause from the start of a boot to its first report.
	firstReport time.Duration

	mu    sync.Mutex
	boot  *boot // nil while the minion is down
	boots int
	all   []*run
}

// start begins a new boot of a minion that is down.
func (m *minion) start(labels []string) error {
	var l net.Listener
	var err error
	for range 200 {
		if l, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boots++
	b := &boot{
		number: m.boots, labels: labels, born: time.Now(), listener: l, down: make(chan struct{}),
		runs: map[string]*run{}, lastRun: map[string]uint32{},
	}
	b.server = &http.Server{Handler: m.handler(b)}
	m.boot = b
	m.rec.add("minion starts", fields{"minion": m.id, "boot": b.number, "labels": labels, "born": b.born.UnixMilli()})
	go func() { _ = b.server.Serve(l) }()
	go m.reportPeriodically(b)
	return nil
}

// crash ends the present boot at once, with all its runs and connections.
func (m *minion) crash() {
	m.mu.Lock()
	b := m.boot
	if b == nil {
		m.mu.Unlock()
		return
	}
	m.finishDue(b)
	m.boot = nil
	now := time.Now()
	for _, r := range b.runs {
		r.Ended, r.How = now, "crashed"
		m.noteEnd(r)
	}
	b.runs = map[string]*run{}
	close(b.down)
	m.rec.add("minion crashes", fields{"minion": m.id, "boot": b.number})
	m.mu.Unlock()
	_ = b.listener.Close()
	_ = b.server.Close()
}

func (b *boot) clock() int64 { return time.Since(b.born).Milliseconds() }

func (b *boot) lapse() time.Time { return b.born.Add(time.Duration(b.deadline) * time.Millisecond) }

// extend extends the lease to a deadline on the boot's clock, by maxHold at most.
func (b *boot) extend(deadline int64) {
	b.deadline = max(b.deadline, min(deadline, b.clock()+maxHold.Milliseconds()))
}

// finishDue ends the runs that are due. The caller holds the lock.
func (m *minion) finishDue(b *boot) {
	now := time.Now()
	for _, r := range b.runs {
		at, how := b.lapse(), "lapsed"
		if done := r.Started.Add(r.duration); !done.After(at) {
			at, how = done, "done"
		}
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			at, how = r.stopAt, "stopped"
		}
		if now.Before(at) {
			continue
		}
		r.Ended, r.How = at, how
		delete(b.runs, r.Task)
		b.lastRun[r.Task] = max(b.lastRun[r.Task], r.Number)
		b.lastEnd++
		b.ended = append(b.ended, endRow{b.lastEnd, r})
		m.noteEnd(r)
	}
}

func (m *minion) noteEnd(r *run) {
	m.rec.add("run ends", fields{"task": r.Task, "run": r.Number, "minion": r.Minion, "boot": r.Boot, "how": r.How,
		"started_ms": m.rec.ms(r.Started), "ended_ms": m.rec.ms(r.Ended)})
}

// call is the body of a call to a minion.
type call struct {
	Task         string `json:"task"`
	RunID        uint32 `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckSeq       uint64 `json:"ackSeq"`
	WaitMs       int64  `json:"waitMs"`
}

func (m *minion) handler(b *boot) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", func(w http.ResponseWriter, r *http.Request) { m.serve(b, w, r, m.startRun) })
	mux.HandleFunc("POST /-/run-stop", func(w http.ResponseWriter, r *http.Request) { m.serve(b, w, r, m.stopRun) })
	mux.HandleFunc("POST /-/hold", func(w http.ResponseWriter, r *http.Request) { m.serve(b, w, r, nil) })
	return mux
}

// serve handles a call to a boot; do is nil for a hold.
func (m *minion) serve(b *boot, w http.ResponseWriter, r *http.Request, do func(b *boot, c *call) (int, string)) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Endivewing-Expect-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	until := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		m.mu.Lock()
		if m.boot != b {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		m.finishDue(b)
		status, body := http.StatusOK, fields{"clockMs": b.clock()}
		switch {
		case c.FencingToken < b.fence:
			status, body["reason"] = http.StatusConflict, "fence"
		case do != nil:
			b.fence = c.FencingToken
			var reason string
			if status, reason = do(b, &c); reason != "" {
				body["reason"] = reason
			}
		default:
			b.fence = c.FencingToken
			if first {
				b.extend(c.DeadlineMs)
				for len(b.ended) > 0 && b.ended[0].number <= c.AckSeq {
					b.ended = b.ended[1:]
				}
			}
			if len(b.ended) == 0 && time.Now().Before(until) {
				m.mu.Unlock()
				select {
				case <-r.Context().Done():
					return
				case <-time.After(holdStep):
				}
				continue
			}
			m.addLists(b, body)
		}
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
		return
	}
}

func (m *minion) addLists(b *boot, body fields) {
	running, ended := [][]any{}, [][]any{}
	for _, r := range b.runs {
		percent := int(100 * time.Since(r.Started) / max(r.duration, 1))
		running = append(running, []any{r.Task, r.Number, "", min(percent, 99), r.cpu})
	}
	for _, e := range b.ended[:min(len(b.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.Task, e.run.Number, e.run.How, ""})
	}
	body["born"], body["running"], body["endedRuns"] = b.born.UnixMilli(), running, ended
}

// startRun starts a run. The caller holds the lock.
func (m *minion) startRun(b *boot, c *call) (int, string) {
	var spec taskSpec
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	present := b.runs[c.Task]
	var used int64
	for _, r := range b.runs {
		used += r.cpu
	}
	switch {
	case present != nil && present.Number == c.RunID:
		return http.StatusOK, ""
	case c.DeadlineMs < b.clock():
		return http.StatusConflict, "late"
	case c.RunID <= b.lastRun[c.Task] || present != nil:
		b.extend(c.DeadlineMs)
		return http.StatusConflict, "old"
	case used+spec.CPU > m.capacity:
		b.extend(c.DeadlineMs)
		return http.StatusConflict, "room"
	}
	b.extend(c.DeadlineMs)
	r := &run{
		Task: c.Task, Number: c.RunID, Spec: c.Spec, Minion: m.id, Labels: b.labels, Boot: b.number, Started: time.Now(),
		duration: time.Duration(spec.MS) * time.Millisecond, cpu: spec.CPU,
	}
	b.runs[c.Task] = r
	m.all = append(m.all, r)
	m.rec.add("run starts", fields{"task": c.Task, "run": c.RunID, "minion": m.id, "boot": b.number, "labels": b.labels})
	return http.StatusOK, ""
}

// stopRun stops a run. The caller holds the lock.
func (m *minion) stopRun(b *boot, c *call) (int, string) {
	b.lastRun[c.Task] = max(b.lastRun[c.Task], c.RunID)
	if r := b.runs[c.Task]; r != nil && r.Number == c.RunID && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(time.Duration(rand.Int64N(int64(stopGrace / 2))))
	}
	return http.StatusOK, ""
}

// allRuns returns copies of all runs so far.
func (m *minion) allRuns() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.boot != nil {
		m.finishDue(m.boot)
	}
	var out []run
	for _, r := range m.all {
		out = append(out, *r)
	}
	return out
}

// reportPeriodically reports the boot to the runner until the boot ends.
func (m *minion) reportPeriodically(b *boot) {
	pause := m.firstReport
	for {
		select {
		case <-b.down:
			return
		case <-time.After(pause):
		}
		pause = reportInterval
		if !m.report(b) {
			pause = reportRetry
		}
	}
}

func (m *minion) report(b *boot) bool {
	m.mu.Lock()
	b.seq++
	body, _ := json.Marshal(fields{
		"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": fields{"cpu": m.capacity, "memMb": 65536, "gpus": 0}, "labels": b.labels,
		"clockMs": b.clock(), "seq": b.seq, "born": b.born.UnixMilli(),
	})
	m.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+m.reports+"/-/instances/"+m.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	client := http.Client{Timeout: reportTimeout}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r run) String() string {
	return fmt.Sprintf("%s run %d at %s boot %d %v", r.Task, r.Number, r.Minion, r.Boot, r.Labels)
}
