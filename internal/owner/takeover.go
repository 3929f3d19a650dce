package owner

import (
	"cmp"
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// group is the set of jobs that one entry incarnation accepted, as owned here
// under one epoch.
type group struct {
	id, epoch uint64
	// settled is set when no agent can have seen a task of the group that this
	// Owner does not know of.
	settled bool
	// loaded is set when every open job of the group is known here.
	loaded bool
	// answered are the incarnations that have reported all tasks they have
	// seen.
	answered map[uint64]bool
	// earlyUpdates are the updates of unknown jobs that arrived before the open
	// jobs were loaded.
	earlyUpdates []earlyUpdate
	// openJobs are the numbers of the jobs that are not closed, ascending.
	// Numbers of closed jobs stay until they reach the front. closedJobs holds
	// these numbers.
	openJobs   []uint64
	closedJobs map[uint64]bool
}

type earlyUpdate struct {
	agent  uint64
	update *wirepb.TaskUpdate
}

// addOpen adds a job that is not closed.
func (g *group) addOpen(job uint64) {
	at, found := slices.BinarySearch(g.openJobs, job)
	if !found {
		g.openJobs = slices.Insert(g.openJobs, at, job)
	}
}

// markClosed records that the job is durable and need not be kept any more.
func (g *group) markClosed(job uint64) {
	if g.closedJobs == nil {
		g.closedJobs = map[uint64]bool{}
	}
	g.closedJobs[job] = true
	for len(g.openJobs) > 0 && g.closedJobs[g.openJobs[0]] {
		delete(g.closedJobs, g.openJobs[0])
		g.openJobs = g.openJobs[1:]
	}
}

func (g *group) firstOpen() (job uint64, ok bool) {
	if len(g.openJobs) == 0 {
		return 0, false
	}
	return g.openJobs[0], true
}

// ClaimGroup takes over a group under a new epoch. Every agent is sent the claim and
// answers with all tasks of the group that it has seen. The caller fetches the
// group's open jobs and passes them to AddInheritedJobs.
func (o *Owner) ClaimGroup(id, epoch uint64) {
	if g := o.groups[id]; g != nil {
		if g.epoch >= epoch {
			return
		}
		// Another entry may have owned the group in the meantime.
		o.DropGroup(id)
	}
	g := &group{id: id, epoch: epoch, answered: map[uint64]bool{}}
	o.groups[id] = g
	for _, a := range o.sortedAgents() {
		if a.connected {
			o.sendClaim(g, a.incarnation)
		}
	}
}

func (o *Owner) sendClaim(g *group, agent uint64) {
	m := &wirepb.ClaimGroup{Group: g.id, Epoch: g.epoch}
	o.effects.Send(agent, &wirepb.Envelope{Body: &wirepb.Envelope_ClaimGroup{ClaimGroup: m}})
}

// InheritedJob is an open job of a claimed group.
type InheritedJob struct {
	Record   *wirepb.JobRecord
	Deadline time.Time
}

// AddInheritedJobs adds a page of the open jobs of a group that was claimed under
// epoch; last marks the final page. The call is ignored if the group now has
// another epoch, or if its final page was added before.
func (o *Owner) AddInheritedJobs(id, epoch uint64, jobs []InheritedJob, last bool, now time.Time) {
	g := o.groups[id]
	if g == nil || g.epoch != epoch || g.loaded {
		return
	}
	for _, in := range jobs {
		if o.jobs[in.Record.Job] == nil {
			o.addInherited(g, in)
		}
	}
	if !last {
		return
	}
	g.loaded = true
	early := g.earlyUpdates
	g.earlyUpdates = nil
	for _, e := range early {
		o.handleClaimUpdate(g, e, now)
	}
	o.resolveTasksAtEndedAgents(g, now)
	o.settleClaim(g, now)
}

// resolveTasksAtEndedAgents resolves the tasks that were reported by agents
// which ended before the jobs were loaded.
func (o *Owner) resolveTasksAtEndedAgents(g *group, now time.Time) {
	for _, j := range o.sortedJobs() {
		if j.group != g {
			continue
		}
		for _, incarnation := range j.agents {
			if a := o.agents[incarnation]; a != nil && a.ended {
				o.resolveTasksAt(j, incarnation, a.clean, now)
			}
		}
	}
}

func (o *Owner) addInherited(g *group, in InheritedJob) {
	j := o.addJob(g, in.Record, in.Deadline)
	j.transition(eventInherit)
	for i := range j.tasks {
		j.transitionTask(&j.tasks[i], eventTaskInherit)
	}
	o.stats.Inherited++
}

// HandleClaimReport handles an agent's report of the tasks that it has seen of a
// claimed group. It returns false if the agent knows a newer epoch, which means
// that another entry owns the group.
func (o *Owner) HandleClaimReport(agent uint64, r *wirepb.ClaimReport, now time.Time) bool {
	g := o.groups[r.Group]
	if r.Fenced {
		return g == nil || g.epoch > r.Epoch
	}
	if g == nil || g.epoch != r.Epoch || g.answered == nil {
		return true
	}
	for _, u := range r.Tasks {
		o.handleClaimUpdate(g, earlyUpdate{agent: agent, update: u}, now)
	}
	if !r.More {
		g.answered[agent] = true
		o.settleClaim(g, now)
	}
	return true
}

// handleClaimUpdate handles one task of a claim report. An agent that still
// remembers a job which has ended is sent a message to cancel the task and one to
// forget the job.
func (o *Owner) handleClaimUpdate(g *group, e earlyUpdate, now time.Time) {
	switch {
	case o.jobs[e.update.Job] != nil:
		o.HandleTaskUpdate(e.agent, e.update, now)
	case !g.loaded:
		g.earlyUpdates = append(g.earlyUpdates, e)
	case o.connected(e.agent):
		o.batches.addCancelAndForget(e.agent, g, e.update)
	}
}

// settleClaims tries to settle the claim of every group.
func (o *Owner) settleClaims(now time.Time) {
	for _, g := range o.sortedGroups() {
		o.settleClaim(g, now)
	}
}

// settleClaim settles the claim of a group once every agent incarnation that may
// have seen a task of the group has answered or ended. Tasks that none of them has
// seen never ran and are placed. If an incarnation ended uncleanly without an
// answer, the unseen tasks of jobs accepted before its end may have run there. It
// can't be found out whether they did, so these tasks are lost.
func (o *Owner) settleClaim(g *group, now time.Time) {
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
			o.resolveUnseenTasks(j, j.id < lostIndex, now)
		}
	}
}

// resolveUnseenTasks resolves the tasks that no agent has reported. lost means
// that an agent which may have seen them ended without an answer.
func (o *Owner) resolveUnseenTasks(j *job, lost bool, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskUnseen {
			continue
		}
		if lost {
			o.taskLost(j, t, uint32(i), now)
			continue
		}
		j.transitionTask(t, eventAbsent)
	}
	o.resumeJob(j)
}

// resumeJob places the waiting tasks of a claimed job, or drops them if the job
// fails.
func (o *Owner) resumeJob(j *job) {
	var waiting []uint32
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			waiting = append(waiting, uint32(i))
		}
	}
	if j.transition(eventClaimed) {
		if len(waiting) > 0 {
			o.effects.Place(PlacementRequest{Job: j.id, Spec: j.spec, Deadline: j.deadline, Tasks: waiting})
		}
		return
	}
	for _, i := range waiting {
		j.transitionTask(&j.tasks[i], eventDrop)
	}
	o.answerIfFinal(j)
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
