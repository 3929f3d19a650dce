package owner

import (
	"cmp"
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// group is the jobs that one entry incarnation accepted, in this owner's
// hands under one epoch.
type group struct {
	id, epoch uint64
	// settled: no agent can have seen more of the group than this owner knows.
	settled bool
	// loaded: every open job of the group is known here.
	loaded bool
	// answered are the incarnations that have told all they saw.
	answered map[uint64]bool
	// early are updates of jobs that were not loaded when they came.
	early []earlyUpdate
	// numbers are the jobs that are not closed, ascending, with closed ones
	// left in until they come to the front.
	numbers []uint64
	gone    map[uint64]bool
}

type earlyUpdate struct {
	agent  uint64
	update *wirepb.TaskUpdate
}

// open notes a job that is not closed.
func (g *group) open(job uint64) {
	at, found := slices.BinarySearch(g.numbers, job)
	if !found {
		g.numbers = slices.Insert(g.numbers, at, job)
	}
}

// closed notes that the job is durable and forgotten.
func (g *group) closed(job uint64) {
	if g.gone == nil {
		g.gone = map[uint64]bool{}
	}
	g.gone[job] = true
	for len(g.numbers) > 0 && g.gone[g.numbers[0]] {
		delete(g.gone, g.numbers[0])
		g.numbers = g.numbers[1:]
	}
}

func (g *group) firstOpen() (job uint64, ok bool) {
	if len(g.numbers) == 0 {
		return 0, false
	}
	return g.numbers[0], true
}

// Claim takes over a group under a new epoch. Every agent is told, and
// answers with all it has seen. The caller fetches the group's open jobs and
// hands them to Inherit.
func (o *Owner) Claim(id, epoch uint64) {
	if g := o.groups[id]; g != nil {
		if g.epoch >= epoch {
			return
		}
		// Another entry may have owned the group in between.
		o.Fenced(id)
	}
	g := &group{id: id, epoch: epoch, answered: map[uint64]bool{}}
	o.groups[id] = g
	for _, a := range o.sortedAgents() {
		if a.up {
			o.sendClaim(g, a.incarnation)
		}
	}
}

func (o *Owner) sendClaim(g *group, agent uint64) {
	m := &wirepb.ClaimGroup{Group: g.id, Epoch: g.epoch}
	o.fx.Send(agent, &wirepb.Envelope{Body: &wirepb.Envelope_ClaimGroup{ClaimGroup: m}})
}

// Inherited is an open job of a claimed group.
type Inherited struct {
	Record   *wirepb.JobRecord
	Deadline time.Time
}

// Inherit adds open jobs of a claimed group; last tells that there are no
// more. Jobs of another epoch's claim are left out.
func (o *Owner) Inherit(id, epoch uint64, jobs []Inherited, last bool, now time.Time) {
	g := o.groups[id]
	if g == nil || g.epoch != epoch || g.loaded {
		return
	}
	for _, in := range jobs {
		if o.jobs[in.Record.Job] == nil {
			o.inherit(g, in)
		}
	}
	if !last {
		return
	}
	g.loaded = true
	early := g.early
	g.early = nil
	for _, e := range early {
		o.claimUpdate(g, e, now)
	}
	o.endEarly(g, now)
	o.settleGroup(g, now)
}

// endEarly resolves what was reported by agents that ended before the jobs
// were loaded.
func (o *Owner) endEarly(g *group, now time.Time) {
	for _, j := range o.sortedJobs() {
		if j.group != g {
			continue
		}
		for _, incarnation := range j.agents {
			if a := o.agents[incarnation]; a != nil && a.ended {
				o.endAt(j, incarnation, a.clean, now)
			}
		}
	}
}

func (o *Owner) inherit(g *group, in Inherited) {
	j := o.add(g, in.Record, in.Deadline)
	j.on(eventInherit)
	for i := range j.tasks {
		j.step(&j.tasks[i], eventTaskInherit)
	}
	o.stats.Inherited++
}

// ClaimReport takes what an agent has seen of a claimed group. It reports
// false when the agent knows a newer epoch: the group has another owner.
func (o *Owner) ClaimReport(agent uint64, r *wirepb.ClaimReport, now time.Time) bool {
	g := o.groups[r.Group]
	if r.Fenced {
		return g == nil || g.epoch > r.Epoch
	}
	if g == nil || g.epoch != r.Epoch || g.answered == nil {
		return true
	}
	for _, u := range r.Tasks {
		o.claimUpdate(g, earlyUpdate{agent: agent, update: u}, now)
	}
	if !r.More {
		g.answered[agent] = true
		o.settleGroup(g, now)
	}
	return true
}

// claimUpdate takes one task of a claim report. An agent that still remembers
// a job which has ended is told to stop it and to forget it.
func (o *Owner) claimUpdate(g *group, e earlyUpdate, now time.Time) {
	switch {
	case o.jobs[e.update.Job] != nil:
		o.Update(e.agent, e.update, now)
	case !g.loaded:
		g.early = append(g.early, e)
	case o.up(e.agent):
		o.batches.stopEnded(e.agent, g, e.update)
	}
}

// settleGroups looks again at every group that is being claimed.
func (o *Owner) settleGroups(now time.Time) {
	for _, g := range o.sortedGroups() {
		o.settleGroup(g, now)
	}
}

// settleGroup ends a claim once every incarnation that can have seen a task of
// the group has answered or ended. What none has seen was never run and is
// placed, unless one that was alive since the job's acceptance ended without
// an answer: then nobody will know.
func (o *Owner) settleGroup(g *group, now time.Time) {
	if g.settled || !g.loaded {
		return
	}
	var lostIndex uint64
	for _, a := range o.agents {
		if g.answered[a.incarnation] || a.ended && a.clean {
			continue
		}
		if !a.ended {
			return
		}
		lostIndex = max(lostIndex, a.endIndex)
	}
	g.settled = true
	for _, j := range o.sortedJobs() {
		if j.group == g {
			o.settleClaim(j, j.id < lostIndex, now)
		}
	}
}

// settleClaim resolves the tasks that no agent has reported.
func (o *Owner) settleClaim(j *job, lost bool, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskUnseen {
			continue
		}
		if lost {
			o.taskLost(j, t, uint32(i), now)
			continue
		}
		j.step(t, eventAbsent)
	}
	o.resume(j)
}

// resume places the waiting tasks of a claimed job, or drops them when it
// fails.
func (o *Owner) resume(j *job) {
	var waiting []uint32
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			waiting = append(waiting, uint32(i))
		}
	}
	if j.on(eventClaimed) {
		if len(waiting) > 0 {
			o.fx.Place(Placeable{Job: j.id, Spec: j.spec, Deadline: j.deadline, Tasks: waiting})
		}
		return
	}
	for _, i := range waiting {
		j.step(&j.tasks[i], eventDrop)
	}
	o.settle(j)
}

func (o *Owner) sortedGroups() []*group {
	groups := make([]*group, 0, len(o.groups))
	for _, g := range o.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	return groups
}

func (o *Owner) sortedAgents() []*agent {
	agents := make([]*agent, 0, len(o.agents))
	for _, a := range o.agents {
		agents = append(agents, a)
	}
	slices.SortFunc(agents, func(a, b *agent) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return agents
}
