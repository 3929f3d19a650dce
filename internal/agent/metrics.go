package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"endivewing/internal/gate"
)

// metrics holds the agent's counters, gauges and timers, and the values that were
// last reported to them.
type metrics struct {
	started, done, failed, notRun tally.Counter
	copies, fenced, dropped       tally.Counter
	unexpected                    tally.Counter
	running, queued, held         tally.Gauge
	runTime                       tally.Timer
	// lastStats are the counts of the present incarnation's gate at the last
	// update.
	lastStats     gate.Stats
	lastLoad      gate.Load
	lastHeldBytes int
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

// update adds the changes of the gate's counts to the counters, and sets the
// gauges.
func (m *metrics) update(g *gate.Gate) {
	stats := g.Stats()
	add := func(c tally.Counter, n, before uint64) {
		if n > before {
			c.Inc(int64(n - before))
		}
	}
	add(m.started, stats.Started, m.lastStats.Started)
	add(m.done, stats.Done, m.lastStats.Done)
	add(m.failed, stats.Failed, m.lastStats.Failed)
	add(m.notRun, stats.NotRun, m.lastStats.NotRun)
	add(m.copies, stats.Copies, m.lastStats.Copies)
	add(m.fenced, stats.Fenced, m.lastStats.Fenced)
	add(m.dropped, stats.Dropped, m.lastStats.Dropped)
	m.lastStats = stats
	if load := g.Load(); load != m.lastLoad {
		m.lastLoad = load
		m.running.Update(float64(load.Running))
		m.queued.Update(float64(load.Queued))
	}
	if held := g.HeldBytes(); held != m.lastHeldBytes {
		m.lastHeldBytes = held
		m.held.Update(float64(held))
	}
}

func (m *metrics) recordRunTime(e gate.RequestEnd) { m.runTime.Record(e.Run.Round(time.Microsecond)) }
