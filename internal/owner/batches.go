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
	// maxRecordBytes limits the size of one batch of completions.
	maxRecordBytes = 1 << 20
	// maxAnswerBytes limits the size of one answer. Control accepts records of
	// up to 16 MiB.
	maxAnswerBytes = 15 << 20
	// maxRecordJobs limits the number of jobs in one batch of completions.
	maxRecordJobs = 512
)

// target is an agent and a group. Messages are batched for each target.
type target struct {
	agent, group uint64
}

// batches holds what the next Flush sends.
type batches struct {
	cancels     map[target][]*wirepb.TaskRef
	recalls     map[target][]*wirepb.TaskRef
	forgets     map[target][]uint64
	completions map[uint64][]*wirepb.JobCompletion // by group
	// floors caches the floors of groups until the next Flush. A cached floor
	// stays valid because a floor only grows.
	floors map[uint64]uint64
	// forgetAt is the time at which the forgets are sent. It is zero while
	// there are none.
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

func (b *batches) addCancel(agent uint64, j *job, index uint32) {
	to := target{agent, j.group.id}
	b.cancels[to] = append(b.cancels[to], j.taskRef(index))
}

func (b *batches) addRecall(agent uint64, j *job, index uint32) {
	to := target{agent, j.group.id}
	b.recalls[to] = append(b.recalls[to], j.taskRef(index))
}

func (b *batches) addForget(agent uint64, g *group, jobs ...uint64) {
	to := target{agent, g.id}
	b.forgets[to] = append(b.forgets[to], jobs...)
}

// addCancelAndForget handles a task of a job that has ended: it cancels the
// task if it is queued or started and makes the agent forget the job. The
// job is listed once for successive updates of its tasks.
func (b *batches) addCancelAndForget(agent uint64, g *group, u *wirepb.TaskUpdate) {
	to := target{agent, g.id}
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_QUEUED, wirepb.TaskOutcome_TASK_OUTCOME_STARTED:
		b.cancels[to] = append(b.cancels[to], &wirepb.TaskRef{Job: u.Job, Task: u.Task, Attempt: u.Attempt})
	}
	if n := len(b.forgets[to]); n == 0 || b.forgets[to][n-1] != u.Job {
		b.addForget(agent, g, u.Job)
	}
}

func (b *batches) addCompletion(j *job, a *wirepb.JobAnswer) {
	c := &wirepb.JobCompletion{Job: j.id, Answer: a}
	b.completions[j.group.id] = append(b.completions[j.group.id], c)
}

// dropAgent drops the messages for an agent whose session ended. Cancels and
// recalls are requested again by the query after the next session. The floor of
// a later message covers the forgets.
func (b *batches) dropAgent(agent uint64) {
	b.dropMatching(func(to target) bool { return to.agent == agent })
}

func (b *batches) dropGroup(group uint64) {
	b.dropMatching(func(to target) bool { return to.group == group })
	delete(b.completions, group)
}

func (b *batches) dropMatching(match func(target) bool) {
	maps.DeleteFunc(b.cancels, func(to target, _ []*wirepb.TaskRef) bool { return match(to) })
	maps.DeleteFunc(b.recalls, func(to target, _ []*wirepb.TaskRef) bool { return match(to) })
	maps.DeleteFunc(b.forgets, func(to target, _ []uint64) bool { return match(to) })
}

func (j *job) taskRef(index uint32) *wirepb.TaskRef {
	return &wirepb.TaskRef{Job: j.id, Task: index, Attempt: j.tasks[index].attempt}
}

// Flush sends the messages that were batched since the last Flush. Forgets may
// stay for up to Config.ForgetDelay to be sent with later ones.
func (o *Owner) Flush(now time.Time) {
	b := &o.batches
	for _, to := range sortedTargets(b.recalls) {
		m := &wirepb.RecallTasks{Group: to.group, Epoch: o.epoch(to.group), Tasks: b.recalls[to]}
		o.effects.Send(to.agent, &wirepb.Envelope{Body: &wirepb.Envelope_RecallTasks{RecallTasks: m}})
	}
	for _, to := range sortedTargets(b.cancels) {
		m := &wirepb.CancelTasks{Group: to.group, Epoch: o.epoch(to.group), Tasks: b.cancels[to]}
		o.effects.Send(to.agent, &wirepb.Envelope{Body: &wirepb.Envelope_CancelTasks{CancelTasks: m}})
	}
	clear(b.recalls)
	clear(b.cancels)
	clear(b.floors)
	o.flushForgets(now)
	o.flushCompletions()
}

// flushForgets sends the forgets once the oldest has waited for the delay.
// Those for draining agents are sent at once.
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
	o.effects.Send(to.agent, &wirepb.Envelope{Body: &wirepb.Envelope_ForgetJobs{ForgetJobs: m}})
}

// floorForStartTask returns the group's floor, which a task for the agent
// carries along. Waiting forgets that this floor covers are dropped.
func (o *Owner) floorForStartTask(to target) uint64 {
	floor, cached := o.batches.floors[to.group]
	if !cached {
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
			n := nextBatchLen(rest)
			o.effects.RecordCompletions(group, o.epoch(group), rest[:n:n])
			rest = rest[n:]
		}
	}
	clear(o.batches.completions)
}

// nextBatchLen returns how many of the completions go into the next batch.
func nextBatchLen(rest []*wirepb.JobCompletion) int {
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

// floor returns the number below which every job of the group has ended and is
// durable. It is 0 while the group's open jobs are not known.
func (o *Owner) floor(id uint64) uint64 {
	g := o.groups[id]
	if g == nil || !g.loaded {
		return 0
	}
	floor := uint64(math.MaxUint64)
	if id == o.cfg.Incarnation {
		floor = o.maxJob + 1
		for _, maxJob := range o.pendingAccepts {
			floor = min(floor, maxJob+1)
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
