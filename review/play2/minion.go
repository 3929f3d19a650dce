package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the interval of a minion's reports.
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold is the longest lease that a minion grants.
	maxHold = 1000 * time.Millisecond
	// stopGrace is how long a stopped run stays at work.
	stopGrace = 20 * time.Millisecond
)

// minionOptions describes one boot of a minion.
type minionOptions struct {
	id, service, zone string
	labels            []string
	cpu, memory       int64
	guards            bool
}

// minion is a stand-in for a minion. Its address stays the same over its boots.
type minion struct {
	record  *record
	address string // where the runner calls it
	control string // where it reports
	client  *http.Client

	mu   sync.Mutex
	boot *boot // nil while the minion is down
	// mutedUntil is when the minion answers calls again.
	mutedUntil time.Time
}

// mute has the minion answer nothing and carry nothing out for a while. What is at work
// there goes on, as long as its lease lasts.
func (m *minion) mute(length time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mutedUntil = time.Now().Add(length)
	m.record.note("minion %s answers nothing for %s", m.boot.opts.id, length)
}

func (m *minion) muted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.mutedUntil)
}

// boot is one life of a minion.
type boot struct {
	m        *minion
	opts     minionOptions
	born     time.Time
	server   *http.Server
	quit     chan struct{}
	seq      uint64
	draining bool

	// dark is set once the boot has crashed silently.
	dark bool
	// The rest is guarded by m.mu.
	fence    uint64
	listed   uint64 // the fencing token of the first call that was answered with lists
	deadline int64  // of the lease, on the clock of this boot in milliseconds
	running  map[string]*taskRun
	highest  map[string]int64 // the highest run of a task that began or was stopped
	ends     []endedRun
	lastEnd  uint64
	changed  chan struct{} // closed at the next end
}

// taskRun is a run that a minion has begun. The fields are guarded by the mutex of its
// minion.
type taskRun struct {
	task, spec string
	run        int64
	cpu        int64
	began      time.Time
	ended      time.Time
	how        string
	boot       *boot
	// bootWasKnown reports whether the start carried a later fencing token than the first
	// call that this boot answered with its lists: its caller knew the boot.
	bootWasKnown bool
}

type endedRun struct {
	number uint64
	task   string
	run    int64
	how    string
}

func newMinion(r *record, address, control string) *minion {
	transport := &http.Transport{DisableKeepAlives: true}
	return &minion{record: r, address: address, control: control, client: &http.Client{Timeout: time.Second, Transport: transport}}
}

// start begins a life of the minion.
func (m *minion) start(o minionOptions) error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	b := &boot{
		m: m, opts: o, born: time.Now(), quit: make(chan struct{}),
		running: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", b.handle(b.start))
	mux.HandleFunc("POST /-/run-stop", b.handle(b.stop))
	mux.HandleFunc("POST /-/hold", b.handle(b.hold))
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	m.mu.Lock()
	m.boot = b
	m.mu.Unlock()
	m.record.note("minion %s begins at %s, labels %v", o.id, m.address, o.labels)
	go func() { _ = b.server.Serve(l) }()
	go b.expire()
	go b.report()
	return nil
}

// crashSilently ends the present life. Calls hang until the minion is back, as one of the
// same name, after a while: its host answers nothing meanwhile. The caller holds m.mu.
func (m *minion) crashSilently(down time.Duration) {
	b := m.boot
	m.boot = nil
	b.dark = true
	for _, r := range b.running {
		r.ended, r.how = time.Now(), "lost"
	}
	b.running = map[string]*taskRun{}
	close(b.quit)
	m.record.note("minion %s crashes without a word, for %s", b.opts.id, down)
	time.AfterFunc(down, func() {
		_ = b.server.Close()
		if err := m.start(b.opts); err != nil {
			m.record.note("minion %s did not come back: %v", b.opts.id, err)
		}
	})
}

// hangs reports whether the boot has crashed without a word.
func (b *boot) hangs() bool {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	return b.dark
}

// crash ends the present life without a word. Its runs end with it.
func (m *minion) crash() {
	m.mu.Lock()
	b := m.boot
	m.boot = nil
	if b != nil {
		for _, r := range b.running {
			r.ended, r.how = time.Now(), "lost"
		}
		b.running = map[string]*taskRun{}
		close(b.quit)
	}
	m.mu.Unlock()
	if b == nil {
		return
	}
	_ = b.server.Close()
	m.record.note("minion %s crashes", b.opts.id)
}

func (b *boot) clock() int64 { return time.Since(b.born).Milliseconds() + 1 }

func (b *boot) ended() bool {
	select {
	case <-b.quit:
		return true
	default:
		return false
	}
}

// expire kills all runs once the lease is over.
func (b *boot) expire() {
	for range time.Tick(5 * time.Millisecond) {
		if b.ended() {
			return
		}
		b.m.mu.Lock()
		if b.clock() > b.deadline {
			for _, r := range b.running {
				b.end(r, "lapsed")
			}
		}
		b.m.mu.Unlock()
	}
}

// report sends liveness reports until the boot ends.
func (b *boot) report() {
	for {
		b.sendReport()
		select {
		case <-b.quit:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (b *boot) sendReport() {
	b.m.mu.Lock()
	b.seq++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": b.opts.service, "addr": b.m.address, "zone": b.opts.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": b.opts.cpu, "memMb": b.opts.memory, "gpus": 0}, "labels": b.opts.labels,
		"clockMs": b.clock(), "seq": b.seq, "born": b.born.UnixMilli(),
	})
	b.m.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+b.m.control+"/-/instances/"+b.opts.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.m.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// callBody is the body of a call to a minion.
type callBody struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckSeq       uint64 `json:"ackSeq"`
	WaitMs       int64  `json:"waitMs"`
}

// handle decodes a call, checks the boot that it is meant for and its fencing token.
func (b *boot) handle(do func(c *callBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		c := new(callBody)
		if err := json.NewDecoder(request.Body).Decode(c); err != nil {
			b.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if want := request.Header.Get("X-Endivewing-Expect-Instance"); want != "" && want != b.opts.id {
			b.answer(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		if b.m.muted() || b.hangs() {
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, out := do(c)
		if b.m.muted() || b.hangs() {
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		b.answer(w, status, out)
	}
}

func (b *boot) answer(w http.ResponseWriter, status int, out map[string]any) {
	if b.ended() {
		panic(http.ErrAbortHandler)
	}
	out["born"] = b.born.UnixMilli()
	if out["clockMs"] == nil {
		out["clockMs"] = b.clock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func rejected(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// admit checks a fencing token. The caller holds m.mu.
func (b *boot) admit(c *callBody) bool {
	if c.FencingToken < b.fence {
		return false
	}
	b.fence = c.FencingToken
	return true
}

// extend extends the lease. The caller holds m.mu.
func (b *boot) extend(deadline int64) {
	b.deadline = max(b.deadline, min(deadline, b.clock()+maxHold.Milliseconds()))
}

// start begins a run.
func (b *boot) start(c *callBody) (int, map[string]any) {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	if b.ended() {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if !b.admit(c) {
		return rejected("fence")
	}
	if r := b.running[c.Task]; r != nil && r.run == c.RunID {
		b.extend(c.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if c.RunID <= b.highest[c.Task] {
		b.extend(c.DeadlineMs)
		return rejected("old")
	}
	if c.DeadlineMs <= b.clock() {
		return rejected("late")
	}
	b.extend(c.DeadlineMs)
	r := &taskRun{task: c.Task, spec: c.Spec, run: c.RunID, cpu: specNumber(c.Spec, "cpu"), began: time.Now(), boot: b}
	r.bootWasKnown = b.listed != 0 && c.FencingToken > b.listed
	used := int64(0)
	for _, other := range b.running {
		used += other.cpu
	}
	if b.opts.guards && used+r.cpu > b.opts.cpu {
		return rejected("room")
	}
	b.highest[c.Task] = c.RunID
	b.running[c.Task] = r
	b.m.record.note("minion %s starts %s run %d", b.opts.id, c.Task, c.RunID)
	b.m.began(r)
	if down := specNumber(c.Spec, "crash"); down > 0 {
		b.m.crashSilently(time.Duration(down) * time.Millisecond)
		return http.StatusOK, map[string]any{}
	}
	time.AfterFunc(time.Duration(specNumber(c.Spec, "ms"))*time.Millisecond, func() {
		b.m.mu.Lock()
		defer b.m.mu.Unlock()
		b.end(r, "done")
	})
	return http.StatusOK, map[string]any{}
}

// stop stops a run, and keeps it from starting if it is not there yet.
func (b *boot) stop(c *callBody) (int, map[string]any) {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	if !b.admit(c) {
		return rejected("fence")
	}
	b.highest[c.Task] = max(b.highest[c.Task], c.RunID)
	if r := b.running[c.Task]; r != nil && r.run <= c.RunID {
		b.m.record.note("minion %s is told to stop %s run %d", b.opts.id, c.Task, c.RunID)
		time.AfterFunc(stopGrace, func() {
			b.m.mu.Lock()
			defer b.m.mu.Unlock()
			b.end(r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run unless it has ended. The caller holds m.mu.
func (b *boot) end(r *taskRun, how string) {
	if b.ended() || b.running[r.task] != r {
		return
	}
	delete(b.running, r.task)
	r.ended, r.how = time.Now(), how
	b.lastEnd++
	b.ends = append(b.ends, endedRun{b.lastEnd, r.task, r.run, how})
	b.m.record.note("minion %s: %s run %d ends %s", b.opts.id, r.task, r.run, how)
	close(b.changed)
	b.changed = make(chan struct{})
}

// hold renews the lease, waits for an end and returns both lists.
func (b *boot) hold(c *callBody) (int, map[string]any) {
	until := time.After(time.Duration(c.WaitMs) * time.Millisecond)
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	if !b.admit(c) {
		return rejected("fence")
	}
	if c.DeadlineMs > b.clock() {
		b.extend(c.DeadlineMs)
	}
	b.ends = slices.DeleteFunc(b.ends, func(e endedRun) bool { return e.number <= c.AckSeq })
	for waits := c.WaitMs > 0; waits && len(b.ends) == 0; {
		changed := b.changed
		b.m.mu.Unlock()
		select {
		case <-changed:
		case <-b.quit:
			waits = false
		case <-until:
			waits = false
		}
		b.m.mu.Lock()
	}
	if b.listed == 0 {
		b.listed = c.FencingToken
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range b.running {
		total := max(specNumber(r.spec, "ms"), 1)
		percent := min(99, time.Since(r.began).Milliseconds()*100/total)
		running = append(running, []any{r.task, r.run, "", percent, r.cpu})
	}
	for _, e := range b.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": ends, "clockMs": b.clock()}
}

// specNumber returns a number that a spec holds in the form name=number, or 0.
func specNumber(spec, name string) int64 {
	for word := range strings.FieldsSeq(spec) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			n, _ := strconv.ParseInt(value, 10, 64)
			return n
		}
	}
	return 0
}

// specOf returns a spec of tasks of the given length and need, which the minion reads.
func specOf(text string, ms, cpu int64) string { return fmt.Sprintf("%s ms=%d cpu=%d", text, ms, cpu) }

// startedRuns collects the runs of all minions of a play.
type startedRuns struct {
	mu   sync.Mutex
	runs []*taskRun
}

var allRuns startedRuns

// began notes a run for the judge.
func (m *minion) began(r *taskRun) {
	allRuns.mu.Lock()
	defer allRuns.mu.Unlock()
	allRuns.runs = append(allRuns.runs, r)
}

// of returns the runs of a job, in the order of their starts.
func (s *startedRuns) of(job string) []*taskRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []*taskRun
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, job+".") {
			runs = append(runs, r)
		}
	}
	return runs
}
