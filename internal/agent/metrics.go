package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"endivewing/internal/gate"
)

// metrics are the agent's counters and gauges.
type metrics struct {
	started, done, failed, notRun tally.Counter
	copies, fenced, dropped       tally.Counter
	unexpected                    tally.Counter
	running, queued, held         tally.Gauge
	runTime                       tally.Timer
	// last is what was noted of the present incarnation.
	last      gate.Stats
	load      gate.Load
	heldBytes int
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		started:    s.Counter("tasks_started"),
		done:       s.Counter("tasks_done"),
		failed:     s.Counter("tasks_failed"),
		notRun:     s.Counter("tasks_not_run"),
		copies:     s.Counter("copies"),
		fenced:     s.Counter("fenced"),
		dropped:    s.Counter("dropped"),
		unexpected: s.Counter("unexpected"),
		running:    s.Gauge("running"),
		queued:     s.Gauge("queued"),
		held:       s.Gauge("held_bytes"),
		runTime:    s.Timer("run_time"),
	}
}

// note brings the counters to the gate's counts.
func (m *metrics) note(g *gate.Gate) {
	now := g.Stats()
	add := func(c tally.Counter, n, before uint64) {
		if n > before {
			c.Inc(int64(n - before))
		}
	}
	add(m.started, now.Started, m.last.Started)
	add(m.done, now.Done, m.last.Done)
	add(m.failed, now.Failed, m.last.Failed)
	add(m.notRun, now.NotRun, m.last.NotRun)
	add(m.copies, now.Copies, m.last.Copies)
	add(m.fenced, now.Fenced, m.last.Fenced)
	add(m.dropped, now.Dropped, m.last.Dropped)
	m.last = now
	if load := g.Load(); load != m.load {
		m.load = load
		m.running.Update(float64(load.Running))
		m.queued.Update(float64(load.Queued))
	}
	if held := g.HeldBytes(); held != m.heldBytes {
		m.heldBytes = held
		m.held.Update(float64(held))
	}
}

func (m *metrics) ended(e gate.Ending) { m.runTime.Record(e.Run.Round(time.Microsecond)) }
