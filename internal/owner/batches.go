package owner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	// maxRecordBytes bounds one batch of completions.
	maxRecordBytes = 1 << 20
	// maxAnswerBytes bounds one answer; control takes records of 16 MiB.
	maxAnswerBytes = 15 << 20
	// maxRecordJobs bounds the jobs of one batch of completions.
	maxRecordJobs = 512
)

// target is an agent and a group: messages are batched for each.
type target struct {
	agent, group uint64
}

// batches holds what is sent together at the next Flush.
type batches struct {
	cancels     map[target][]*wirepb.TaskRef
	recalls     map[target][]*wirepb.TaskRef
	forgets     map[target][]uint64
	completions map[uint64][]*wirepb.JobCompletion
	// floors are those of the groups since the last Flush; a floor only grows.
	floors map[uint64]uint64
	// forgetAt is when the forgets are sent; zero while there are none.
	forgetAt time.Time
}

func newBatches() batches {
	return batches{
		cancels:     map[target][]*wirepb.TaskRef{},
		recalls:     map[target][]*wirepb.TaskRef{},
		forgets:     map[target][]uint64{},
		floors:      map[uint64]uint64{},
		completions: map[uint64][]*wirepb.JobCompletion{},
	}
}

func (b *batches) cancel(agent uint64, j *job, index uint32) {
	to := target{agent, j.group.id}
	b.cancels[to] = append(b.cancels[to], j.ref(index))
}

func (b *batches) recall(agent uint64, j *job, index uint32) {
	to := target{agent, j.group.id}
	b.recalls[to] = append(b.recalls[to], j.ref(index))
}

func (b *batches) forget(agent uint64, g *group, jobs ...uint64) {
	to := target{agent, g.id}
	b.forgets[to] = append(b.forgets[to], jobs...)
}

// stopEnded drops a task of a job that has ended. The job is named once for
// all its tasks.
func (b *batches) stopEnded(agent uint64, g *group, u *wirepb.TaskUpdate) {
	to := target{agent, g.id}
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_QUEUED, wirepb.TaskOutcome_TASK_OUTCOME_STARTED:
		b.cancels[to] = append(b.cancels[to], &wirepb.TaskRef{Job: u.Job, Task: u.Task, Attempt: u.Attempt})
	}
	if n := len(b.forgets[to]); n == 0 || b.forgets[to][n-1] != u.Job {
		b.forget(agent, g, u.Job)
	}
}

func (b *batches) complete(j *job, a *wirepb.JobAnswer) {
	c := &wirepb.JobCompletion{Job: j.id, Answer: a}
	b.completions[j.group.id] = append(b.completions[j.group.id], c)
}

// dropAgent forgets what waits for an agent whose session ended. Cancels and
// recalls are asked anew by the query that follows the next session; what an
// agent is not told to forget falls under the floor of a later message.
func (b *batches) dropAgent(agent uint64) {
	b.drop(func(to target) bool { return to.agent == agent })
}

func (b *batches) dropGroup(group uint64) {
	b.drop(func(to target) bool { return to.group == group })
	delete(b.completions, group)
}

func (b *batches) drop(match func(target) bool) {
	maps.DeleteFunc(b.cancels, func(to target, _ []*wirepb.TaskRef) bool { return match(to) })
	maps.DeleteFunc(b.recalls, func(to target, _ []*wirepb.TaskRef) bool { return match(to) })
	maps.DeleteFunc(b.forgets, func(to target, _ []uint64) bool { return match(to) })
}

func (j *job) ref(index uint32) *wirepb.TaskRef {
	return &wirepb.TaskRef{Job: j.id, Task: index, Attempt: j.tasks[index].attempt}
}

// Flush sends what was batched since the last one. Forgets may wait for more
// of their kind.
func (o *Owner) Flush(now time.Time) {
	b := &o.batches
	for _, to := range sortedTargets(b.recalls) {
		m := &wirepb.RecallTasks{Group: to.group, Epoch: o.epoch(to.group), Tasks: b.recalls[to]}
		o.fx.Send(to.agent, &wirepb.Envelope{Body: &wirepb.Envelope_RecallTasks{RecallTasks: m}})
	}
	for _, to := range sortedTargets(b.cancels) {
		m := &wirepb.CancelTasks{Group: to.group, Epoch: o.epoch(to.group), Tasks: b.cancels[to]}
		o.fx.Send(to.agent, &wirepb.Envelope{Body: &wirepb.Envelope_CancelTasks{CancelTasks: m}})
	}
	clear(b.recalls)
	clear(b.cancels)
	clear(b.floors)
	o.flushForgets(now)
	o.flushCompletions()
}

// flushForgets sends the forgets once the oldest has waited for the delay.
func (o *Owner) flushForgets(now time.Time) {
	b := &o.batches
	if len(b.forgets) == 0 {
		return
	}
	if b.forgetAt.IsZero() {
		b.forgetAt = now.Add(o.cfg.ForgetDelay)
	}
	due := !now.Before(b.forgetAt)
	for _, to := range sortedTargets(b.forgets) {
		if due || o.draining(to.agent) {
			o.sendForget(to)
		}
	}
	if due {
		b.forgetAt = time.Time{}
	}
}

func (o *Owner) sendForget(to target) {
	m := &wirepb.ForgetJobs{Group: to.group, Epoch: o.epoch(to.group), Jobs: o.batches.forgets[to], OpenFrom: o.floor(to.group)}
	delete(o.batches.forgets, to)
	o.fx.Send(to.agent, &wirepb.Envelope{Body: &wirepb.Envelope_ForgetJobs{ForgetJobs: m}})
}

// carryFloor returns the group's floor for a task to the agent. What the floor
// says need not be said by a message of its own.
func (o *Owner) carryFloor(to target) uint64 {
	floor, known := o.batches.floors[to.group]
	if !known {
		floor = o.floor(to.group)
		o.batches.floors[to.group] = floor
	}
	waiting, ok := o.batches.forgets[to]
	if !ok {
		return floor
	}
	waiting = slices.DeleteFunc(waiting, func(job uint64) bool { return job < floor })
	if len(waiting) == 0 {
		delete(o.batches.forgets, to)
	} else {
		o.batches.forgets[to] = waiting
	}
	return floor
}

func (o *Owner) flushCompletions() {
	for _, group := range slices.Sorted(maps.Keys(o.batches.completions)) {
		rest := o.batches.completions[group]
		for len(rest) > 0 {
			n := recordBatch(rest)
			o.fx.Record(group, o.epoch(group), rest[:n:n])
			rest = rest[n:]
		}
	}
	clear(o.batches.completions)
}

// recordBatch is how many of the completions go into the next batch.
func recordBatch(rest []*wirepb.JobCompletion) int {
	size := 0
	for i, c := range rest {
		size += proto.Size(c)
		if i > 0 && size > maxRecordBytes || i == maxRecordJobs {
			return i
		}
	}
	return len(rest)
}

func (o *Owner) epoch(group uint64) uint64 {
	if g := o.groups[group]; g != nil {
		return g.epoch
	}
	return 0
}

// floor is the number below which every job of the group has ended and is
// durable.
func (o *Owner) floor(id uint64) uint64 {
	g := o.groups[id]
	if g == nil || !g.loaded {
		return 0
	}
	floor := uint64(math.MaxUint64)
	if id == o.cfg.Incarnation {
		floor = o.known + 1
		for _, known := range o.accepts {
			floor = min(floor, known+1)
		}
	}
	if first, ok := g.firstOpen(); ok {
		floor = min(floor, first)
	}
	return floor
}

func sortedTargets[T any](m map[target]T) []target {
	keys := make([]target, 0, len(m))
	for to := range m {
		keys = append(keys, to)
	}
	slices.SortFunc(keys, func(a, b target) int {
		return cmp.Or(cmp.Compare(a.agent, b.agent), cmp.Compare(a.group, b.group))
	})
	return keys
}
