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
	workloadGroups      = 2 // accepted by entry incarnations 1 and 2; entry 3 only takes over
	workloadJobs        = 2 // per group
	workloadTasks       = 3 // per job
	workloadEpochs      = 3
	workloadSlots       = 2
	workloadQueueTasks  = 1
	workloadResultBytes = 40 // bytes
)

// placement identifies a StartTask message.
type placement struct {
	key     Key
	epoch   uint64
	attempt uint32
}

// workload sends random messages to a gate. It checks the gate's actions against
// its own records, not against the decisions of the gate.
type workload struct {
	t           *rapid.T
	g           *Gate
	now         time.Duration
	lastSession SessionID
	connected   []SessionID
	// entries holds the entry of each session, including closed ones.
	entries map[SessionID]uint64
	open    bool // the gate may start tasks: lease valid, minion reachable, no drain
	slots   int  // at most workloadSlots
	// started holds the tasks that may have run.
	started map[Key]bool
	// running holds the tasks that run at the minion.
	running map[Key]bool
	// notRun holds the placements that the gate has answered as not run.
	notRun map[placement]bool
	// checked holds the messages of this pass that checkSend has seen.
	checked map[*wirepb.Envelope]bool
	// reportedEpoch is the newest epoch per group for which the gate sent a report.
	// configuredEpoch is the newest configured epoch per group.
	reportedEpoch, configuredEpoch map[uint64]uint64
}

func newWorkload(t *rapid.T) *workload {
	w := &workload{t: t, started: map[Key]bool{}, running: map[Key]bool{}, notRun: map[placement]bool{},
		entries: map[SessionID]uint64{}, checked: map[*wirepb.Envelope]bool{},
		reportedEpoch: map[uint64]uint64{}, configuredEpoch: map[uint64]uint64{1: 1, 2: 1, 3: 1}}
	w.slots = workloadSlots
	w.g = New(Config{Incarnation: 9, Services: []string{"proof"}, Limits: w.limits()})
	w.g.SetLease(true)
	w.configure()
	w.open = true
	for range 3 {
		w.sessionUp()
	}
	w.settle()
	return w
}

func (w *workload) pick(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, label)
}

func (w *workload) chance(label string, percent int) bool { return w.pick(label, 1, 100) <= percent }

// session draws a session, in most cases the newest one of the group's owner.
func (w *workload) session(group uint64) SessionID {
	if w.chance("any session", 20) {
		return SessionID(w.pick("session", 1, int(w.lastSession)+1))
	}
	owner := w.owner(group)
	for id := w.lastSession; id > 0; id-- {
		if w.entries[id] == owner {
			return id
		}
	}
	return w.lastSession
}

func (w *workload) owner(group uint64) uint64 {
	if epoch := w.configuredEpoch[group]; epoch > 1 {
		return 1 + (group+epoch)%3
	}
	return group
}

// ids draws a group, one of its jobs, and an epoch, in most cases the newest.
func (w *workload) ids() (group, job, epoch uint64) {
	group = uint64(w.pick("group", 1, workloadGroups))
	job = 10*group + uint64(w.pick("job", 0, workloadJobs-1))
	epoch = w.configuredEpoch[group]
	if w.chance("any epoch", 20) {
		epoch = uint64(w.pick("epoch", 1, workloadEpochs))
	}
	return group, job, epoch
}

func (w *workload) refs() (group, epoch uint64, refs []*wirepb.TaskRef) {
	group, job, epoch := w.ids()
	for range w.pick("refs", 1, workloadTasks) {
		ref := &wirepb.TaskRef{Job: job, Task: uint32(w.pick("task", 0, workloadTasks-1)), Attempt: uint32(w.pick("attempt", 0, 2))}
		refs = append(refs, ref)
	}
	return group, epoch, refs
}

func (w *workload) start() {
	group, job, epoch := w.ids()
	m := &wirepb.StartTask{
		Job: job, Task: uint32(w.pick("task", 0, workloadTasks-1)), Group: group, Epoch: epoch,
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
	before := len(w.g.running) + w.g.queue.tasks
	w.g.StartTask(w.now, w.session(group), m)
	accepted := len(w.g.running)+w.g.queue.tasks > before
	assert.Assert(w.t, !accepted || epoch >= max(w.reportedEpoch[group], w.configuredEpoch[group]), "accepted old epoch %d of group %d", epoch, group)
}

func (w *workload) sessionUp() {
	w.lastSession++
	w.entries[w.lastSession] = uint64(w.pick("entry", 1, 3))
	w.g.AddSession(w.now, w.lastSession, w.entries[w.lastSession])
	w.connected = append(w.connected, w.lastSession)
}

func (w *workload) sessionDown() {
	if len(w.connected) > 0 {
		i := w.pick("down", 0, len(w.connected)-1)
		w.g.RemoveSession(w.connected[i])
		w.connected = append(w.connected[:i], w.connected[i+1:]...)
	}
}

func (w *workload) configure() {
	groups := map[uint64]*wirepb.Group{}
	for number, epoch := range w.configuredEpoch {
		groups[number] = &wirepb.Group{Group: number, Epoch: epoch, Owner: w.owner(number)}
	}
	w.g.Configure(w.now, w.g.revision+10, groups)
}

func (w *workload) takeOverGroup() {
	number := uint64(w.pick("group", 1, workloadGroups))
	w.configuredEpoch[number] = min(w.configuredEpoch[number]+1, workloadEpochs)
	w.configure()
}

func (w *workload) conditions() {
	drain, lease, down := w.chance("drain", 10), w.chance("lease", 90), w.chance("down", 10)
	w.g.SetDraining(drain)
	w.g.SetLease(lease)
	w.g.SetMinionDown(down)
	w.open = !drain && lease && !down
	w.settle()
}

func (w *workload) limits() Limits {
	return Limits{Slots: w.slots, Connections: 64, QueueTasks: workloadQueueTasks, QueueBytes: 1 << 10,
		ResultBytes: workloadResultBytes, MaxRunTime: time.Second}
}

// changeSlots lets the slots shrink or grow while tasks run or are being stopped. What
// was started before goes out first.
func (w *workload) changeSlots() {
	w.settle()
	w.slots = w.pick("slots", 0, workloadSlots)
	w.g.SetLimits(w.limits())
}

func (w *workload) end() {
	keys := slices.SortedFunc(maps.Keys(w.running), compareKeys)
	if len(keys) == 0 {
		return
	}
	kind := EndKind(w.pick("kind", 0, 2))
	delete(w.running, keys[0])
	if kind == EndUnsent {
		delete(w.started, keys[0])
	}
	w.g.HandleRequestEnd(w.now, RequestEnd{Key: keys[0], Kind: kind, Result: make([]byte, w.pick("result", 0, 20))})
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

func (w *workload) forget() {
	group, job, epoch := w.ids()
	w.g.Forget(w.now, w.session(group), &wirepb.ForgetJobs{Group: group, Epoch: epoch, Jobs: []uint64{job}})
}

func (w *workload) settle() {
	actions := w.g.Settle(w.now)
	for _, s := range actions.Starts {
		w.checkStart(s)
	}
	w.checkSends()
	w.g.ClearActions()
	clear(w.checked)
}

// checkSends checks the messages since its last call. It is called after each input,
// while the records still are as they were reported.
func (w *workload) checkSends() {
	for _, s := range w.g.actions.Sends {
		if !w.checked[s.Envelope] {
			w.checked[s.Envelope] = true
			w.checkSend(s.Envelope)
		}
	}
}

func (w *workload) checkStart(s Start) {
	p := placement{s.Key, s.Request.Epoch, s.Request.Attempt}
	assert.Assert(w.t, !w.started[s.Key], "%v started twice", s.Key)
	assert.Assert(w.t, !w.notRun[p], "%v was reported as not run and started later", p)
	assert.Assert(w.t, w.open, "started while no task may start")
	assert.Equal(w.t, s.Request.Incarnation, uint64(9))
	w.started[s.Key], w.running[s.Key] = true, true
	assert.Assert(w.t, len(w.running) <= w.slots, "started over the slots")
}

func (w *workload) checkSend(e *wirepb.Envelope) {
	if r := e.GetClaimReport(); r != nil && !r.Fenced {
		w.reportedEpoch[r.Group] = max(w.reportedEpoch[r.Group], r.Epoch)
	}
	if r := e.GetQueryReport(); r != nil {
		w.reportedEpoch[r.Group] = max(w.reportedEpoch[r.Group], r.Epoch)
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
			continue // placed again or forgotten later in this round
		}
		assert.Assert(w.t, !w.started[key], "%v was started and then reported as not run", key)
		for attempt := range u.Attempt + 1 {
			for epoch := range j.find(u.Task).epoch + 1 {
				w.notRun[placement{key, epoch, attempt}] = true
			}
		}
	}
}

// check compares the counts that the gate keeps with a recount, and checks its
// limits.
func (w *workload) check(*rapid.T) {
	g := w.g
	blocking, held, inFlightTasks := 0, 0, 0
	for _, j := range g.jobs {
		inFlightTasks += j.inFlightTasks
		for i := range j.tasks {
			r := &j.tasks[i]
			if r.blocksLeave() {
				blocking++
			}
			if r.end != nil {
				held += r.end.bytes()
			}
			assert.Assert(w.t, (r.inFlight != nil) == (r.state == stateQueued || r.state == stateStarted || r.state == stateStopping))
		}
	}
	assert.Equal(w.t, g.unsafeTasks, blocking)
	assert.Equal(w.t, g.heldBytes, held)
	assert.Equal(w.t, inFlightTasks, len(g.running)+g.queue.tasks)
	assert.Assert(w.t, len(g.running) <= workloadSlots && g.queue.tasks <= workloadQueueTasks+max(w.slots-len(w.running), 0))
	assert.Assert(w.t, g.allocator.granted() <= g.allocator.capacity)
	for i := range g.allocator.holders {
		h := &g.allocator.holders[i]
		assert.Equal(w.t, h.outstanding, g.outstanding(g.sessions[h.id].entry))
	}
}

// round applies an input and then, in most cases, settles the gate, in the order
// in which the agent does.
func (w *workload) round(input func()) func(*rapid.T) {
	return func(t *rapid.T) {
		w.t = t
		input()
		w.checkSends()
		if w.chance("settle", 70) {
			w.settle()
		}
	}
}

func TestGateKeepsTheRuleForStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkload(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": w.round(w.start), "start again": w.round(w.start), "start more": w.round(w.start),
			"up": w.round(w.sessionUp), "down": w.round(w.sessionDown),
			"takeover": w.round(w.takeOverGroup), "conditions": w.round(w.conditions),
			"end": w.round(w.end), "forget": w.round(w.forget), "slots": w.round(w.changeSlots),
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
				w.g.Demand(w.now, w.session(uint64(w.pick("group", 1, workloadGroups))), m)
			}),
			"time": w.round(func() { w.now += time.Duration(w.pick("ms", 1, 60)) * time.Millisecond }),
			"":     w.check,
		})
	})
}
