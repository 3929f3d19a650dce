package owner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOutcomesUnderFaults runs owners, agents, sessions and takeovers in random
// order. It checks that:
//   - no task starts twice, and none starts after its job was answered as not
//     run;
//   - a complete answer has the job's own result for every task;
//   - a task is placed again only after an agent reported it as not run or left
//     cleanly;
//   - a job is forgotten only when its end is durable;
//   - in the end every job has a durable answer and no job is kept in memory.
func TestOutcomesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		small := rapid.IntRange(0, 30)
		oneIn := func(n int) bool { return rapid.IntRange(1, n).Draw(t, "one in") == n }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				timeout := time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout")) * time.Second
				w.accept(w.currentOwner, rapid.IntRange(1, 4).Draw(t, "tasks"), timeout)
			},
			"assign":     func(t *rapid.T) { w.assign(w.currentOwner, small.Draw(t, "at"), w.pickAgent()) },
			"assign any": func(t *rapid.T) { w.assign(w.pickOwner(), small.Draw(t, "at"), w.pickAgent()) },
			"connect":    func(t *rapid.T) { w.connect(w.pickOwner(), w.pickAgent()) },
			"learn":      func(t *rapid.T) { w.applyConfigEvent(w.pickOwner()) },
			"flush":      func(t *rapid.T) { w.pickOwner().Flush(w.now) },
			"commit":     func(t *rapid.T) { w.commit(w.pickOwner()) },
			"deliver":    func(t *rapid.T) { w.deliverToAgent(w.pickOwner(), w.pickAgent(), oneIn(3)) },
			"work":       func(t *rapid.T) { w.advanceTask(w.pickAgent(), small.Draw(t, "at"), drawEnd(oneIn)) },
			"report":     func(t *rapid.T) { w.deliverToOwner(w.pickOwner(), w.pickAgent(), small.Draw(t, "at"), oneIn(4)) },
			"burst": func(t *rapid.T) {
				for range 4 {
					w.exchangeMessages(w.currentOwner, small.Draw(t, "messages")%4, oneIn)
					w.advanceTask(w.pickAgent(), 0, drawEnd(oneIn))
				}
			},
			"page":  func(t *rapid.T) { w.deliverReply(w.pickOwner(), small.Draw(t, "at")) },
			"fault": func(t *rapid.T) { w.injectFault(rapid.IntRange(0, 15).Draw(t, "fault")) },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				w.pickOwner().Tick(w.now)
			},
		})
		w.quiesce()
		w.checkFinalState()
	})
}

// injectFault causes one rare event, or none.
func (w *world) injectFault(kind int) {
	switch kind {
	case 0:
		w.takeover()
	case 1:
		w.newAgent()
	case 2:
		w.endAgent(w.pickAgent(), false)
	case 3:
		w.leaveCleanly(w.pickAgent())
	case 4, 5:
		w.disconnect(w.pickOwner(), w.pickAgent())
	case 6, 7:
		w.pickOwner().Cancel(rapid.Uint64Range(1, w.index).Draw(w.t, "job"), w.now)
	case 8:
		w.recallFirstTasks(w.pickOwner())
	}
}

// leaveCleanly ends an agent cleanly, unless the agent remembers a task with
// another outcome than not run.
func (w *world) leaveCleanly(a *simAgent) {
	for _, k := range a.sortedTasks() {
		if a.seen[k].outcome != notRun {
			return
		}
	}
	w.endAgent(a, true)
}

func (w *world) recallFirstTasks(o *simOwner) {
	for _, j := range o.sortedJobs() {
		o.RecallTask(j.id, 0)
	}
}

// deliverReply delivers a reply of control. Replies arrive in any order.
func (w *world) deliverReply(o *simOwner, at int) bool {
	if len(o.pendingReplies) == 0 {
		return false
	}
	at %= len(o.pendingReplies)
	next := o.pendingReplies[at]
	o.pendingReplies = slices.Delete(o.pendingReplies, at, at+1)
	next()
	return true
}

// quiesce lets all owners and agents work until nothing is left to do.
func (w *world) quiesce() {
	w.newAgent()
	for range 100 {
		w.now = w.now.Add(time.Second)
		for _, o := range w.owners {
			w.handleAll(o)
		}
		for _, a := range w.liveAgents() {
			w.advanceTask(a, 0, done)
		}
	}
}

// handleAll lets one owner handle everything that waits for it.
func (w *world) handleAll(o *simOwner) {
	for w.applyConfigEvent(o) || w.deliverReply(o, 0) {
	}
	o.Tick(w.now)
	w.exchangeMessages(o, 50, func(int) bool { return false })
}

// exchangeMessages exchanges some of the waiting messages between one owner and
// the agents, and makes all completions durable. Replies of control wait. Now
// and then an agent refuses a task or an update is delivered twice.
func (w *world) exchangeMessages(o *simOwner, messages int, oneIn func(n int) bool) {
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

func (w *world) checkFinalState() {
	for n := range w.jobs {
		d := w.durableAnswers[n]
		if d == nil {
			w.t.Fatalf("job %d has no durable answer: %+v", n, w.currentOwner.Status())
		}
		if d.NotRun && w.startedJobs[n] > 0 {
			w.t.Fatalf("job %d was answered as not run, but a task of it started", n)
		}
	}
	if held := w.currentOwner.JobCount(); held > 0 {
		w.t.Fatalf("%d jobs are still in memory: %+v", held, w.currentOwner.Status())
	}
}

// TestWaveOfCancelsIsOneMessagePerAgent checks that cancels of many jobs at
// once are batched into one message for each agent.
func TestWaveOfCancelsIsOneMessagePerAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		o := w.currentOwner
		for w.applyConfigEvent(o) {
		}
		agents := w.liveAgents()
		jobs := rapid.IntRange(1, 40).Draw(t, "jobs")
		for range jobs {
			w.accept(o, 3, time.Hour)
			w.deliverReply(o, 0)
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
			if n := w.links[o][a.incarnation].cancelCount(); n > 1 {
				t.Fatalf("%d cancel messages to one agent, want at most one", n)
			}
		}
		// The agents handle all cancels before any of their tasks starts.
		w.exchangeMessages(o, 1000, func(int) bool { return false })
		w.exchangeMessages(o, 1000, func(int) bool { return false })
		o.Flush(w.now)
		for len(o.records) > 0 {
			w.commit(o)
		}
		w.checkAllCancelled()
	})
}

// cancelCount returns the number of cancel messages in flight to the agent.
func (l *link) cancelCount() int {
	n := 0
	for _, e := range l.toAgent {
		if e.GetCancelTasks() != nil {
			n++
		}
	}
	return n
}

// checkAllCancelled checks that every job was cancelled and answered as not
// run.
func (w *world) checkAllCancelled() {
	for n := range w.jobs {
		if d := w.durableAnswers[n]; d == nil || !d.NotRun || d.Reason != ReasonCancelled {
			w.t.Fatalf("job %d was not cancelled as not run: %v", n, d)
		}
	}
}
