package gate

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	worldGroups = 2 // entry incarnations 1 and 2 accept jobs; 3 takes over
	worldJobs   = 2 // of each group
	worldTasks  = 3 // of each job
	worldEpochs = 3
	worldSlots  = 2
	worldQueue  = 1
	worldHeld   = 40 // bytes
)

// placement is one StartTask's identity.
type placement struct {
	key     Key
	epoch   uint64
	attempt uint32
}

// world drives a gate with arbitrary messages and judges its actions without
// looking at its decisions.
type world struct {
	t    *rapid.T
	g    *Gate
	now  time.Duration
	last SessionID
	up   []SessionID
	// entries are the entries of all sessions that ever were.
	entries map[SessionID]uint64
	open    bool // lease, configuration, minion and no drain
	// started holds tasks that may have run; running those at the minion.
	started map[Key]bool
	running map[Key]bool
	refused map[placement]bool
	// fence and epoch are the newest epochs of the groups: those that a report
	// was given to, and those configured.
	fence, epoch map[uint64]uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, started: map[Key]bool{}, running: map[Key]bool{}, refused: map[placement]bool{},
		entries: map[SessionID]uint64{},
		fence:   map[uint64]uint64{}, epoch: map[uint64]uint64{1: 1, 2: 1, 3: 1}}
	limits := Limits{Slots: worldSlots, Connections: 64, QueueTasks: worldQueue, QueueBytes: 1 << 10,
		ResultBytes: worldHeld, MaxRun: time.Second}
	w.g = New(Config{Incarnation: 9, Services: []string{"proof"}, Limits: limits})
	w.g.SetLease(true)
	w.configure()
	w.open = true
	for range 3 {
		w.sessionUp()
	}
	w.settle()
	return w
}

func (w *world) pick(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, label)
}

func (w *world) chance(label string, percent int) bool { return w.pick(label, 1, 100) <= percent }

// session is mostly the newest one of the group's owner.
func (w *world) session(group uint64) SessionID {
	if w.chance("any session", 20) {
		return SessionID(w.pick("session", 1, int(w.last)+1))
	}
	owner := w.owner(group)
	for id := w.last; id > 0; id-- {
		if w.entries[id] == owner {
			return id
		}
	}
	return w.last
}

func (w *world) owner(group uint64) uint64 {
	if epoch := w.epoch[group]; epoch > 1 {
		return 1 + (group+epoch)%3
	}
	return group
}

// ids draws a group, one of its jobs, and mostly its newest epoch.
func (w *world) ids() (group, job, epoch uint64) {
	group = uint64(w.pick("group", 1, worldGroups))
	job = 10*group + uint64(w.pick("job", 0, worldJobs-1))
	epoch = w.epoch[group]
	if w.chance("any epoch", 20) {
		epoch = uint64(w.pick("epoch", 1, worldEpochs))
	}
	return group, job, epoch
}

func (w *world) refs() (group, epoch uint64, refs []*wirepb.TaskRef) {
	group, job, epoch := w.ids()
	for range w.pick("refs", 1, worldTasks) {
		ref := &wirepb.TaskRef{Job: job, Task: uint32(w.pick("task", 0, worldTasks-1)), Attempt: uint32(w.pick("attempt", 0, 2))}
		refs = append(refs, ref)
	}
	return group, epoch, refs
}

func (w *world) start() {
	group, job, epoch := w.ids()
	m := &wirepb.StartTask{
		Job: job, Task: uint32(w.pick("task", 0, worldTasks-1)), Group: group, Epoch: epoch,
		Incarnation: 9, Service: "proof", Payload: []byte("x"),
		Attempt:  uint32(w.pick("attempt", 0, 2)),
		BudgetMs: uint32(w.pick("budget", 0, 300)),
	}
	if w.chance("wrong incarnation", 5) {
		m.Incarnation = 8
	}
	if w.chance("wrong service", 5) {
		m.Service = "crop"
	}
	held := len(w.g.running) + w.g.queue.tasks
	w.g.StartTask(w.now, w.session(group), m)
	taken := len(w.g.running)+w.g.queue.tasks > held
	assert.Assert(w.t, !taken || epoch >= max(w.fence[group], w.epoch[group]), "took epoch %d of group %d", epoch, group)
}

func (w *world) sessionUp() {
	w.last++
	w.entries[w.last] = uint64(w.pick("entry", 1, 3))
	w.g.SessionUp(w.now, w.last, w.entries[w.last])
	w.up = append(w.up, w.last)
}

func (w *world) sessionDown() {
	if len(w.up) > 0 {
		i := w.pick("down", 0, len(w.up)-1)
		w.g.SessionDown(w.up[i])
		w.up = append(w.up[:i], w.up[i+1:]...)
	}
}

func (w *world) configure() {
	groups := map[uint64]*wirepb.Group{}
	for number, epoch := range w.epoch {
		groups[number] = &wirepb.Group{Group: number, Epoch: epoch, Owner: w.owner(number)}
	}
	w.g.Configure(w.now, w.g.revision+10, groups)
}

func (w *world) takeover() {
	number := uint64(w.pick("group", 1, worldGroups))
	w.epoch[number] = min(w.epoch[number]+1, worldEpochs)
	w.configure()
}

func (w *world) conditions() {
	drain, lease, down := w.chance("drain", 10), w.chance("lease", 90), w.chance("down", 10)
	w.g.SetDraining(drain)
	w.g.SetLease(lease)
	w.g.SetMinionDown(down)
	w.open = !drain && lease && !down
	w.settle()
}

func (w *world) end() {
	keys := slices.SortedFunc(maps.Keys(w.running), compareKeys)
	if len(keys) == 0 {
		return
	}
	kind := EndKind(w.pick("kind", 0, 2))
	delete(w.running, keys[0])
	if kind == EndUnsent {
		delete(w.started, keys[0])
	}
	w.g.Ended(w.now, Ending{Key: keys[0], Kind: kind, Result: make([]byte, w.pick("result", 0, 20))})
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

func (w *world) forget() {
	group, job, epoch := w.ids()
	w.g.Forget(w.now, w.session(group), &wirepb.ForgetJobs{Group: group, Epoch: epoch, Jobs: []uint64{job}})
}

func (w *world) settle() {
	actions := w.g.Settle(w.now)
	for _, s := range actions.Starts {
		w.judgeStart(s)
	}
	for _, s := range actions.Sends {
		w.judgeSend(s.Envelope)
	}
	w.g.Acted()
}

func (w *world) judgeStart(s Start) {
	p := placement{s.Key, s.Request.Epoch, s.Request.Attempt}
	assert.Assert(w.t, !w.started[s.Key], "%v started twice", s.Key)
	assert.Assert(w.t, !w.refused[p], "%v was not run and started later", p)
	assert.Assert(w.t, w.open, "started while closed")
	assert.Equal(w.t, s.Request.Incarnation, uint64(9))
	w.started[s.Key], w.running[s.Key] = true, true
	assert.Assert(w.t, len(w.running) <= worldSlots)
}

func (w *world) judgeSend(e *wirepb.Envelope) {
	if r := e.GetClaimReport(); r != nil && !r.Fenced {
		w.fence[r.Group] = max(w.fence[r.Group], r.Epoch)
	}
	if r := e.GetQueryReport(); r != nil {
		w.fence[r.Group] = max(w.fence[r.Group], r.Epoch)
	}
	updates := append(e.GetClaimReport().GetTasks(), e.GetQueryReport().GetTasks()...)
	if u := e.GetTaskUpdate(); u != nil {
		updates = append(updates, u)
	}
	for _, u := range updates {
		key := Key{u.Job, u.Task}
		if u.Outcome != wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN {
			continue
		}
		j := w.g.jobs[u.Job]
		if j == nil || j.find(u.Task).state != stateNotRun {
			continue // placed again, or forgotten, later in this round
		}
		assert.Assert(w.t, !w.started[key], "%v is said not run and was started", key)
		for attempt := range u.Attempt + 1 {
			for epoch := range j.find(u.Task).epoch + 1 {
				w.refused[placement{key, epoch, attempt}] = true
			}
		}
	}
}

// check recounts what the gate keeps as sums, and its limits.
func (w *world) check(*rapid.T) {
	g := w.g
	unsafe, held, live := 0, 0, 0
	for _, j := range g.jobs {
		live += j.live
		for i := range j.tasks {
			r := &j.tasks[i]
			if r.unsafe() {
				unsafe++
			}
			if r.ending != nil {
				held += r.ending.bytes()
			}
			assert.Assert(w.t, (r.flight != nil) == (r.state == stateQueued || r.state == stateStarted || r.state == stateStopping))
		}
	}
	assert.Equal(w.t, g.unsafeTasks, unsafe)
	assert.Equal(w.t, g.heldBytes, held)
	assert.Equal(w.t, live, len(g.running)+g.queue.tasks)
	assert.Assert(w.t, len(g.running) <= worldSlots && g.queue.tasks <= worldQueue)
	assert.Assert(w.t, g.lending.lent() <= g.lending.capacity)
	for i := range g.lending.holders {
		h := &g.lending.holders[i]
		assert.Equal(w.t, h.outstanding, g.outstanding(g.sessions[h.id].entry))
	}
}

// round runs an input and its settling in the order the agent does.
func (w *world) round(input func()) func(*rapid.T) {
	return func(t *rapid.T) {
		w.t = t
		input()
		if w.chance("settle", 70) {
			w.settle()
		}
	}
}

func TestGateKeepsTheRuleForStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": w.round(w.start), "start again": w.round(w.start), "start more": w.round(w.start),
			"up": w.round(w.sessionUp), "down": w.round(w.sessionDown),
			"takeover": w.round(w.takeover), "conditions": w.round(w.conditions),
			"end": w.round(w.end), "forget": w.round(w.forget),
			"recall": w.round(func() {
				group, epoch, refs := w.refs()
				w.g.Recall(w.now, w.session(group), &wirepb.RecallTasks{Group: group, Epoch: epoch, Tasks: refs})
			}),
			"cancel": w.round(func() {
				group, epoch, refs := w.refs()
				w.g.Cancel(w.now, w.session(group), &wirepb.CancelTasks{Group: group, Epoch: epoch, Tasks: refs})
			}),
			"query": w.round(func() {
				group, epoch, refs := w.refs()
				w.g.Query(w.session(group), &wirepb.QueryTasks{Group: group, Epoch: epoch, Tasks: refs})
			}),
			"claim": w.round(func() {
				group, _, epoch := w.ids()
				w.g.Claim(w.now, w.session(group), &wirepb.ClaimGroup{Group: group, Epoch: epoch})
			}),
			"demand": w.round(func() {
				m := &wirepb.Demand{Lend: true, Waiting: uint32(w.pick("waiting", 0, 9)), Key: uint64(w.pick("key", 0, 3))}
				w.g.Demand(w.now, w.session(uint64(w.pick("group", 1, worldGroups))), m)
			}),
			"time": w.round(func() { w.now += time.Duration(w.pick("ms", 1, 60)) * time.Millisecond }),
			"":     w.check,
		})
	})
}
