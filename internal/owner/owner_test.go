package owner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOutcomesUnderFaults steps owners, agents, sessions and takeovers in any
// order. At every start it holds that no task starts twice and nothing of a job
// that was answered "not run" starts; at every answer that it is whole and the
// job's own; at every placement after the first that an agent said not run; at
// every forgotten job that its end is durable. In the end every job must have
// a durable answer and nothing is kept.
func TestOutcomesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		small := rapid.IntRange(0, 30)
		oneIn := func(n int) bool { return rapid.IntRange(1, n).Draw(t, "one in") == n }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				timeout := time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout")) * time.Second
				w.accept(w.current, rapid.IntRange(1, 4).Draw(t, "tasks"), timeout)
			},
			"assign":     func(t *rapid.T) { w.assign(w.current, small.Draw(t, "at"), w.pickAgent()) },
			"assign any": func(t *rapid.T) { w.assign(w.pickOwner(), small.Draw(t, "at"), w.pickAgent()) },
			"connect":    func(t *rapid.T) { w.connect(w.pickOwner(), w.pickAgent()) },
			"learn":      func(t *rapid.T) { w.learn(w.pickOwner()) },
			"flush":      func(t *rapid.T) { w.pickOwner().Flush(w.now) },
			"commit":     func(t *rapid.T) { w.commit(w.pickOwner()) },
			"deliver":    func(t *rapid.T) { w.deliverToAgent(w.pickOwner(), w.pickAgent(), oneIn(3)) },
			"work":       func(t *rapid.T) { w.work(w.pickAgent(), small.Draw(t, "at"), oneIn(10)) },
			"report":     func(t *rapid.T) { w.deliverToOwner(w.pickOwner(), w.pickAgent(), small.Draw(t, "at"), oneIn(4)) },
			"burst": func(t *rapid.T) {
				for range 4 {
					w.traffic(w.current, small.Draw(t, "messages")%4, oneIn)
					w.work(w.pickAgent(), 0, oneIn(8))
				}
			},
			"page":  func(t *rapid.T) { w.page(w.pickOwner(), small.Draw(t, "at")) },
			"fault": func(t *rapid.T) { w.fault(rapid.IntRange(0, 15).Draw(t, "fault")) },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				w.pickOwner().Tick(w.now)
			},
		})
		w.quiesce()
		w.checkEnds()
	})
}

// fault lets rare things happen.
func (w *world) fault(kind int) {
	switch kind {
	case 0:
		w.takeover()
	case 1:
		w.newAgent()
	case 2:
		w.endAgent(w.pickAgent(), false)
	case 3:
		w.leave(w.pickAgent())
	case 4, 5:
		w.cut(w.pickOwner(), w.pickAgent())
	case 6, 7:
		w.pickOwner().Cancel(rapid.Uint64Range(1, w.index).Draw(w.t, "job"), w.now)
	case 8:
		w.recall(w.pickOwner())
	}
}

// leave ends an agent cleanly: it does so only when nothing it started is
// unresolved.
func (w *world) leave(a *simAgent) {
	for _, k := range a.keys() {
		if a.seen[k].outcome != notRun {
			return
		}
	}
	w.endAgent(a, true)
}

func (w *world) recall(o *simOwner) {
	for _, j := range o.sortedJobs() {
		o.Recall(j.id, 0)
	}
}

// page hands over an answer of control; answers come in any order.
func (w *world) page(o *simOwner, at int) bool {
	if len(o.pages) == 0 {
		return false
	}
	at %= len(o.pages)
	next := o.pages[at]
	o.pages = slices.Delete(o.pages, at, at+1)
	next()
	return true
}

// quiesce lets everything work until nothing is left to do.
func (w *world) quiesce() {
	w.newAgent()
	for range 100 {
		w.now = w.now.Add(time.Second)
		for _, o := range w.owners {
			w.settle(o)
		}
		for _, a := range w.liveAgents() {
			w.work(a, 0, false)
		}
	}
}

// settle lets one owner handle all that waits for it.
func (w *world) settle(o *simOwner) {
	for w.learn(o) || w.page(o, 0) {
	}
	o.Tick(w.now)
	w.traffic(o, 50, func(int) bool { return false })
}

// traffic lets one owner and the agents exchange some of what waits, but
// nothing from control. Now and then an agent refuses a task or an update comes
// again.
func (w *world) traffic(o *simOwner, messages int, oneIn func(n int) bool) {
	for _, a := range w.liveAgents() {
		w.connect(o, a)
		for range messages {
			w.deliverToOwner(o, a, 0, oneIn(4))
		}
		for range messages {
			w.deliverToAgent(o, a, oneIn(3))
		}
		w.assign(o, 0, a)
	}
	o.Flush(w.now)
	for len(o.records) > 0 {
		w.commit(o)
	}
}

func (w *world) checkEnds() {
	for n := range w.jobs {
		d := w.durable[n]
		if d == nil {
			w.t.Fatalf("job %d has no durable answer: %+v", n, w.current.Status())
		}
		if d.NotRun && w.running[n] {
			w.t.Fatalf("job %d was answered not run, and ran", n)
		}
	}
	if held := w.current.Held(); held > 0 {
		w.t.Fatalf("%d jobs are kept for ever: %+v", held, w.current.Status())
	}
}

// TestWaveOfCancelsIsOneMessagePerAgent cancels many jobs at once.
func TestWaveOfCancelsIsOneMessagePerAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		o := w.current
		for w.learn(o) {
		}
		agents := w.liveAgents()
		jobs := rapid.IntRange(1, 40).Draw(t, "jobs")
		for range jobs {
			w.accept(o, 3, time.Hour)
			w.page(o, 0)
		}
		for _, a := range agents {
			w.connect(o, a)
		}
		for range jobs * 2 {
			w.assign(o, 0, agents[0])
			w.assign(o, 0, agents[1])
		}
		for n := range w.jobs {
			o.Cancel(n, w.now)
		}
		o.Flush(w.now)
		for _, a := range agents {
			if n := w.links[o][a.incarnation].cancels(); n > 1 {
				t.Fatalf("%d cancel messages to one agent", n)
			}
		}
		// The agents get all of it before any task of theirs starts.
		w.traffic(o, 1000, func(int) bool { return false })
		w.traffic(o, 1000, func(int) bool { return false })
		o.Flush(w.now)
		for len(o.records) > 0 {
			w.commit(o)
		}
		w.wantAllCancelled()
	})
}

// cancels is the number of cancel messages on their way to the agent.
func (l *link) cancels() int {
	n := 0
	for _, e := range l.toAgent {
		if e.GetCancelTasks() != nil {
			n++
		}
	}
	return n
}

// wantAllCancelled holds that every job ended as not run, because cancelled.
func (w *world) wantAllCancelled() {
	for n := range w.jobs {
		if d := w.durable[n]; d == nil || !d.NotRun || d.Reason != ReasonCancelled {
			w.t.Fatalf("job %d: %v", n, d)
		}
	}
}
