package owner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 400, Steps: 150}) }

type taskKey struct {
	job  uint64
	task uint32
}

// seenTask is what a simulated agent remembers of a task.
type seenTask struct {
	group   uint64
	attempt uint32
	outcome wirepb.TaskOutcome
}

// simAgent simulates one agent incarnation and its rule for which tasks it may
// start.
type simAgent struct {
	incarnation  uint64
	alive, clean bool
	seen         map[taskKey]*seenTask
	fences       map[uint64]uint64 // newest known epoch, by group
	floor        map[uint64]uint64 // lower bound of the open jobs, by group
}

// link is a session between an owner and an agent, with the messages in flight.
type link struct {
	connected        bool
	toAgent, toOwner []*wirepb.Envelope
}

// simOwner is an Owner whose effects are carried out by the world.
type simOwner struct {
	*Owner
	w              *world
	incarnation    uint64
	appliedEvents  int // number of configEvents applied
	waiting        []taskKey
	deadlines      map[uint64]time.Time
	records        []completionBatch
	pendingReplies []func() // replies of control in flight
	ownedJobs      map[uint64]bool
}

type completionBatch struct {
	group, epoch uint64
	batch        []*wirepb.JobCompletion
}

// world simulates control, the agents and the owners. Random actions move it
// on.
type world struct {
	t               *rapid.T
	now             time.Time
	index           uint64
	configEvents    []func(o *simOwner)
	owners          []*simOwner
	agents          map[uint64]*simAgent
	links           map[*simOwner]map[uint64]*link
	epochs          map[uint64]uint64 // by group
	groupOwner      map[uint64]*simOwner
	jobs            map[uint64]*wirepb.JobRecord
	jobGroup        map[uint64]uint64
	durableAnswers  map[uint64]*wirepb.JobAnswer
	completeAnswers map[uint64]*wirepb.JobAnswer
	startCount      map[taskKey]int
	startedJobs     map[uint64]int     // number of started tasks, by job
	refusedAttempt  map[taskKey]uint32 // largest attempt that was not run
	lastPlacement   map[taskKey]*simAgent
	currentOwner    *simOwner
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), agents: map[uint64]*simAgent{}, links: map[*simOwner]map[uint64]*link{},
		epochs: map[uint64]uint64{}, groupOwner: map[uint64]*simOwner{}, jobs: map[uint64]*wirepb.JobRecord{},
		jobGroup: map[uint64]uint64{}, durableAnswers: map[uint64]*wirepb.JobAnswer{}, completeAnswers: map[uint64]*wirepb.JobAnswer{},
		startCount: map[taskKey]int{}, startedJobs: map[uint64]int{}, refusedAttempt: map[taskKey]uint32{}, lastPlacement: map[taskKey]*simAgent{},
	}
	w.newOwner()
	w.newAgent()
	w.newAgent()
	return w
}

func (w *world) nextIndex() uint64 {
	w.index++
	return w.index
}

func (w *world) newOwner() {
	o := &simOwner{w: w, incarnation: w.nextIndex(), deadlines: map[uint64]time.Time{}, ownedJobs: map[uint64]bool{}}
	o.Owner = New(Config{Incarnation: o.incarnation, ResolveGrace: 3 * time.Second, ForgetDelay: time.Second}, o)
	w.owners = append(w.owners, o)
	w.links[o] = map[uint64]*link{}
	w.epochs[o.incarnation] = 1
	w.groupOwner[o.incarnation] = o
	w.currentOwner = o
}

func (w *world) newAgent() {
	a := &simAgent{
		incarnation: w.nextIndex(), alive: true, seen: map[taskKey]*seenTask{},
		fences: maps.Clone(w.epochs), floor: map[uint64]uint64{},
	}
	w.agents[a.incarnation] = a
	w.configEvents = append(w.configEvents, func(o *simOwner) { o.AgentListed(a.incarnation) })
}

func (w *world) liveAgents() []*simAgent {
	var live []*simAgent
	for _, n := range slices.Sorted(maps.Keys(w.agents)) {
		if w.agents[n].alive {
			live = append(live, w.agents[n])
		}
	}
	return live
}

func (w *world) pickOwner() *simOwner {
	return w.owners[rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")]
}

func (w *world) pickAgent() *simAgent {
	live := w.liveAgents()
	if len(live) == 0 {
		w.t.Skip("no agent")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(w.t, "agent")]
}

// The methods below implement Effects.

func (o *simOwner) Send(agent uint64, e *wirepb.Envelope) {
	l := o.w.links[o][agent]
	if l == nil || !l.connected {
		o.w.t.Fatalf("message to agent %d without a session", agent)
	}
	if s := e.GetStartTask(); s != nil {
		k := taskKey{s.Job, s.Task}
		if s.Attempt > 1 && o.w.refusedAttempt[k] < s.Attempt-1 && !o.w.lastPlacement[k].clean {
			o.w.t.Fatalf("task %d/%d placed again, attempt %d, although no agent reported it as not run", s.Job, s.Task, s.Attempt)
		}
		o.w.lastPlacement[k] = o.w.agents[agent]
	}
	l.toAgent = append(l.toAgent, e)
}

func (o *simOwner) Place(p PlacementRequest) {
	if p.Tasks == nil {
		for i := range p.Spec.Tasks {
			o.waiting = append(o.waiting, taskKey{p.Job, uint32(i)})
		}
	}
	for _, i := range p.Tasks {
		o.waiting = append(o.waiting, taskKey{p.Job, i})
	}
}

func (o *simOwner) PlaceAgain(job uint64, task uint32) {
	o.waiting = append(o.waiting, taskKey{job, task})
}

func (o *simOwner) TaskEnded(TaskEnd) {}

func (o *simOwner) Withdraw(job uint64) {
	o.waiting = slices.DeleteFunc(o.waiting, func(k taskKey) bool { return k.job == job })
}

func (o *simOwner) Answer(job uint64, a *wirepb.JobAnswer) {
	if !a.Complete {
		return
	}
	o.w.checkComplete(job, a)
	o.w.completeAnswers[job] = a
}

func (o *simOwner) RecordCompletions(group, epoch uint64, batch []*wirepb.JobCompletion) {
	o.records = append(o.records, completionBatch{group, epoch, batch})
}

func (o *simOwner) JobLost(uint64) {}

// expectedResult returns the result that a task must have.
func expectedResult(k taskKey) []byte { return fmt.Appendf(nil, "%d/%d", k.job, k.task) }

func (w *world) checkComplete(job uint64, a *wirepb.JobAnswer) {
	if len(a.Results) != len(w.jobs[job].Spec.Tasks) {
		w.t.Fatalf("job %d has the wrong number of results: %d", job, len(a.Results))
	}
	for i, r := range a.Results {
		if string(r) != string(expectedResult(taskKey{job, uint32(i)})) {
			w.t.Fatalf("job %d task %d has the wrong result %q", job, i, r)
		}
	}
}

// The methods below simulate control.

// commit makes the oldest waiting completions of an owner durable if their
// epoch is the group's.
func (w *world) commit(o *simOwner) {
	if len(o.records) == 0 {
		return
	}
	r := o.records[0]
	o.records = o.records[1:]
	if w.epochs[r.group] != r.epoch || w.groupOwner[r.group] != o {
		o.DropGroup(r.group)
		return
	}
	w.nextIndex()
	var jobs []uint64
	for _, c := range r.batch {
		if c.Answer.Complete {
			w.checkComplete(c.Job, c.Answer)
		}
		w.durableAnswers[c.Job] = c.Answer
		jobs = append(jobs, c.Job)
	}
	o.CompletionsRecorded(jobs)
}

func (w *world) accept(o *simOwner, tasks int, timeout time.Duration) {
	if w.groupOwner[o.incarnation] != o {
		return
	}
	spec := &wirepb.JobSpec{Service: "s", Tasks: make([]*wirepb.Task, tasks)}
	for i := range spec.Tasks {
		spec.Tasks[i] = &wirepb.Task{}
	}
	rec := &wirepb.JobRecord{Spec: spec, Group: o.incarnation}
	o.AcceptSent(w.index)
	token := w.index
	rec.Job = w.nextIndex()
	w.jobs[rec.Job] = rec
	w.jobGroup[rec.Job] = rec.Group
	deadline := w.now.Add(timeout)
	for _, each := range w.owners {
		each.deadlines[rec.Job] = deadline
	}
	// The reply of control arrives later.
	o.pendingReplies = append(o.pendingReplies, func() {
		o.ownedJobs[rec.Job] = true
		o.Accept(rec, deadline)
		o.AcceptResolved(token)
	})
}

// takeover gives all groups of the current owner to a new one. The old one goes
// on until it receives the change of the configuration.
func (w *world) takeover() {
	old := w.currentOwner
	w.newOwner()
	successor := w.currentOwner
	successor.deadlines = maps.Clone(old.deadlines)
	for _, group := range slices.Sorted(maps.Keys(w.groupOwner)) {
		if w.groupOwner[group] != old {
			continue
		}
		w.nextIndex()
		w.epochs[group]++
		epoch := w.epochs[group]
		w.groupOwner[group] = successor
		w.configEvents = append(w.configEvents, func(o *simOwner) {
			if o == successor {
				o.startClaim(group, epoch)
			} else {
				o.DropGroup(group)
			}
		})
	}
}

// startClaim claims a group and requests its open jobs in two pages.
func (o *simOwner) startClaim(group, epoch uint64) {
	o.ClaimGroup(group, epoch)
	o.pendingReplies = append(o.pendingReplies, func() {
		var open []InheritedJob
		for _, n := range slices.Sorted(maps.Keys(o.w.jobs)) {
			if o.w.jobGroup[n] == group && o.w.durableAnswers[n] == nil {
				o.ownedJobs[n] = true
				open = append(open, InheritedJob{Record: o.w.jobs[n], Deadline: o.deadlines[n]})
			}
		}
		half := len(open) / 2
		o.AddInheritedJobs(group, epoch, open[:half], false, o.w.now)
		o.pendingReplies = append(o.pendingReplies, func() { o.AddInheritedJobs(group, epoch, open[half:], true, o.w.now) })
	})
}

// applyConfigEvent applies the next event of the configuration at an owner.
func (w *world) applyConfigEvent(o *simOwner) bool {
	if o.appliedEvents == len(w.configEvents) {
		return false
	}
	event := w.configEvents[o.appliedEvents]
	o.appliedEvents++
	event(o)
	return true
}

func (w *world) endAgent(a *simAgent, clean bool) {
	a.alive = false
	a.clean = clean
	index := w.nextIndex()
	for _, o := range w.owners {
		w.disconnect(o, a)
	}
	w.configEvents = append(w.configEvents, func(o *simOwner) { o.AgentEnded(a.incarnation, clean, index, w.now) })
}

// The methods below simulate sessions.

func (w *world) connect(o *simOwner, a *simAgent) {
	if l := w.links[o][a.incarnation]; l != nil && l.connected || o.agents[a.incarnation] == nil {
		return
	}
	w.links[o][a.incarnation] = &link{connected: true}
	o.AgentConnected(a.incarnation)
}

// disconnect ends a session. Messages in flight are lost.
func (w *world) disconnect(o *simOwner, a *simAgent) {
	l := w.links[o][a.incarnation]
	if l == nil || !l.connected {
		return
	}
	l.connected = false
	l.toAgent, l.toOwner = nil, nil
	o.AgentDisconnected(a.incarnation)
}

// assign sends the waiting task at a position to an agent.
func (w *world) assign(o *simOwner, at int, a *simAgent) {
	if l := w.links[o][a.incarnation]; len(o.waiting) == 0 || l == nil || !l.connected {
		return
	}
	at %= len(o.waiting)
	k := o.waiting[at]
	if o.AssignTask(k.job, k.task, a.incarnation, 0, w.now) {
		o.waiting = slices.Delete(o.waiting, at, at+1)
	}
}
