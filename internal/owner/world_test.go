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

func TestMain(m *testing.M) { testkit.Main(m, testkit.Rapid{Checks: 400, Steps: 150}) }

type taskKey struct {
	job  uint64
	task uint32
}

// seenTask is what a simulated gate remembers of a task.
type seenTask struct {
	group   uint64
	attempt uint32
	outcome wirepb.TaskOutcome
}

// simAgent is one agent incarnation with the rule for starts.
type simAgent struct {
	incarnation  uint64
	alive, clean bool
	seen         map[taskKey]*seenTask
	fences       map[uint64]uint64
	floor        map[uint64]uint64
}

// link is a session between an owner and an agent, with what is on its way.
type link struct {
	up               bool
	toAgent, toOwner []*wirepb.Envelope
}

// simOwner is an owner with its effects carried out by the world.
type simOwner struct {
	*Owner
	w           *world
	incarnation uint64
	config      int // events of the log that it has applied
	waiting     []taskKey
	deadlines   map[uint64]time.Time
	records     []record
	pages       []func() // answers of control on their way
	opened      map[uint64]bool
}

type record struct {
	group, epoch uint64
	batch        []*wirepb.JobCompletion
}

// world is control, the agents and the owners, stepped by random actions.
type world struct {
	t       *rapid.T
	now     time.Time
	index   uint64
	config  []func(o *simOwner)
	owners  []*simOwner
	agents  map[uint64]*simAgent
	links   map[*simOwner]map[uint64]*link
	epochs  map[uint64]uint64 // by group
	holder  map[uint64]*simOwner
	jobs    map[uint64]*wirepb.JobRecord
	group   map[uint64]uint64
	durable map[uint64]*wirepb.JobAnswer
	whole   map[uint64]*wirepb.JobAnswer
	started map[taskKey]int
	running map[uint64]bool // jobs of which a task was started
	refused map[taskKey]uint32
	placed  map[taskKey]*simAgent // the last placement
	current *simOwner
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), agents: map[uint64]*simAgent{}, links: map[*simOwner]map[uint64]*link{},
		epochs: map[uint64]uint64{}, holder: map[uint64]*simOwner{}, jobs: map[uint64]*wirepb.JobRecord{},
		group: map[uint64]uint64{}, durable: map[uint64]*wirepb.JobAnswer{}, whole: map[uint64]*wirepb.JobAnswer{},
		started: map[taskKey]int{}, running: map[uint64]bool{}, refused: map[taskKey]uint32{}, placed: map[taskKey]*simAgent{},
	}
	w.newOwner()
	w.newAgent()
	w.newAgent()
	return w
}

func (w *world) next() uint64 {
	w.index++
	return w.index
}

func (w *world) newOwner() {
	o := &simOwner{w: w, incarnation: w.next(), deadlines: map[uint64]time.Time{}, opened: map[uint64]bool{}}
	o.Owner = New(Config{Incarnation: o.incarnation, ResolveGrace: 3 * time.Second, ForgetDelay: time.Second}, o)
	w.owners = append(w.owners, o)
	w.links[o] = map[uint64]*link{}
	w.epochs[o.incarnation] = 1
	w.holder[o.incarnation] = o
	w.current = o
}

func (w *world) newAgent() {
	a := &simAgent{
		incarnation: w.next(), alive: true, seen: map[taskKey]*seenTask{},
		fences: maps.Clone(w.epochs), floor: map[uint64]uint64{},
	}
	w.agents[a.incarnation] = a
	w.config = append(w.config, func(o *simOwner) { o.AgentListed(a.incarnation) })
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

// Effects.

func (o *simOwner) Send(agent uint64, e *wirepb.Envelope) {
	l := o.w.links[o][agent]
	if l == nil || !l.up {
		o.w.t.Fatalf("message to agent %d without a session", agent)
	}
	if s := e.GetStartTask(); s != nil {
		k := taskKey{s.Job, s.Task}
		if s.Attempt > 1 && o.w.refused[k] < s.Attempt-1 && !o.w.placed[k].clean {
			o.w.t.Fatalf("task %d/%d placed again, attempt %d, though no agent said not run", s.Job, s.Task, s.Attempt)
		}
		o.w.placed[k] = o.w.agents[agent]
	}
	l.toAgent = append(l.toAgent, e)
}

func (o *simOwner) Place(p Placeable) {
	if p.Tasks == nil {
		for i := range p.Spec.Tasks {
			o.waiting = append(o.waiting, taskKey{p.Job, uint32(i)})
		}
	}
	for _, i := range p.Tasks {
		o.waiting = append(o.waiting, taskKey{p.Job, i})
	}
}

func (o *simOwner) Replace(job uint64, task uint32) {
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
	o.w.checkWhole(job, a)
	o.w.whole[job] = a
}

func (o *simOwner) Record(group, epoch uint64, batch []*wirepb.JobCompletion) {
	o.records = append(o.records, record{group, epoch, batch})
}

func (o *simOwner) Lost(uint64) {}

// result is what a task must answer.
func result(k taskKey) []byte { return fmt.Appendf(nil, "%d/%d", k.job, k.task) }

func (w *world) checkWhole(job uint64, a *wirepb.JobAnswer) {
	if len(a.Results) != len(w.jobs[job].Spec.Tasks) {
		w.t.Fatalf("job %d: %d results", job, len(a.Results))
	}
	for i, r := range a.Results {
		if string(r) != string(result(taskKey{job, uint32(i)})) {
			w.t.Fatalf("job %d task %d has the result %q", job, i, r)
		}
	}
}

// Control.

// commit makes the oldest waiting record of an owner durable, if its epoch is
// the group's.
func (w *world) commit(o *simOwner) {
	if len(o.records) == 0 {
		return
	}
	r := o.records[0]
	o.records = o.records[1:]
	if w.epochs[r.group] != r.epoch || w.holder[r.group] != o {
		o.Fenced(r.group)
		return
	}
	w.next()
	var jobs []uint64
	for _, c := range r.batch {
		if c.Answer.Complete {
			w.checkWhole(c.Job, c.Answer)
		}
		w.durable[c.Job] = c.Answer
		jobs = append(jobs, c.Job)
	}
	o.Recorded(jobs)
}

func (w *world) accept(o *simOwner, tasks int, timeout time.Duration) {
	if w.holder[o.incarnation] != o {
		return
	}
	spec := &wirepb.JobSpec{Service: "s", Tasks: make([]*wirepb.Task, tasks)}
	for i := range spec.Tasks {
		spec.Tasks[i] = &wirepb.Task{}
	}
	rec := &wirepb.JobRecord{Spec: spec, Group: o.incarnation}
	o.AcceptSent(w.index)
	token := w.index
	rec.Job = w.next()
	w.jobs[rec.Job] = rec
	w.group[rec.Job] = rec.Group
	deadline := w.now.Add(timeout)
	for _, each := range w.owners {
		each.deadlines[rec.Job] = deadline
	}
	// The answer of control comes later.
	o.pages = append(o.pages, func() {
		o.opened[rec.Job] = true
		o.Accept(rec, deadline)
		o.AcceptResolved(token)
	})
}

// takeover gives all groups of the current owner to a new one. The old one
// goes on until it learns it.
func (w *world) takeover() {
	old := w.current
	w.newOwner()
	heir := w.current
	heir.deadlines = maps.Clone(old.deadlines)
	for _, group := range slices.Sorted(maps.Keys(w.holder)) {
		if w.holder[group] != old {
			continue
		}
		w.next()
		w.epochs[group]++
		epoch := w.epochs[group]
		w.holder[group] = heir
		w.config = append(w.config, func(o *simOwner) {
			if o == heir {
				o.claim(group, epoch)
			} else {
				o.Fenced(group)
			}
		})
	}
}

// claim starts a takeover and reads the open jobs in two pages.
func (o *simOwner) claim(group, epoch uint64) {
	o.Claim(group, epoch)
	o.pages = append(o.pages, func() {
		var open []Inherited
		for _, n := range slices.Sorted(maps.Keys(o.w.jobs)) {
			if o.w.group[n] == group && o.w.durable[n] == nil {
				o.opened[n] = true
				open = append(open, Inherited{Record: o.w.jobs[n], Deadline: o.deadlines[n]})
			}
		}
		half := len(open) / 2
		o.Inherit(group, epoch, open[:half], false, o.w.now)
		o.pages = append(o.pages, func() { o.Inherit(group, epoch, open[half:], true, o.w.now) })
	})
}

// learn applies the next event of the configuration at an owner.
func (w *world) learn(o *simOwner) bool {
	if o.config == len(w.config) {
		return false
	}
	event := w.config[o.config]
	o.config++
	event(o)
	return true
}

func (w *world) endAgent(a *simAgent, clean bool) {
	a.alive = false
	a.clean = clean
	index := w.next()
	for _, o := range w.owners {
		w.cut(o, a)
	}
	w.config = append(w.config, func(o *simOwner) { o.AgentEnded(a.incarnation, clean, index, w.now) })
}

// Sessions.

func (w *world) connect(o *simOwner, a *simAgent) {
	if l := w.links[o][a.incarnation]; l != nil && l.up || o.agents[a.incarnation] == nil {
		return
	}
	w.links[o][a.incarnation] = &link{up: true}
	o.AgentUp(a.incarnation)
}

// cut ends a session; what is on its way is lost.
func (w *world) cut(o *simOwner, a *simAgent) {
	l := w.links[o][a.incarnation]
	if l == nil || !l.up {
		return
	}
	l.up = false
	l.toAgent, l.toOwner = nil, nil
	o.AgentDown(a.incarnation)
}

// assign sends the waiting task at a position to an agent.
func (w *world) assign(o *simOwner, at int, a *simAgent) {
	if l := w.links[o][a.incarnation]; len(o.waiting) == 0 || l == nil || !l.up {
		return
	}
	at %= len(o.waiting)
	k := o.waiting[at]
	if o.Assign(k.job, k.task, a.incarnation, 0, w.now) {
		o.waiting = slices.Delete(o.waiting, at, at+1)
	}
}
