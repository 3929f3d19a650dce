package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/api/resource"
	"endivewing/internal/controlclient"
	"endivewing/internal/owner"
	"endivewing/internal/placement"
	"endivewing/internal/wire"
)

// viewChanged reports a new view of the configuration.
type viewChanged struct{ view *controlclient.View }

func (e viewChanged) handle(l *loop) {
	if e.view.Revision <= l.view.Revision {
		return
	}
	l.applyView(e.view)
}

// applyView updates the owner, the dispatcher and the sessions to a view. Agents
// come before groups, because a claim of a group needs the list of agents.
func (l *loop) applyView(view *controlclient.View) {
	old := l.view
	l.view = view
	if l.owner == nil {
		return
	}
	l.applyAgents(old)
	l.applyGroups()
	l.updateAgents()
	l.applyTeams()
	l.dispatcher.SetEntryCount(l.activeEntries())
}

// activeEntries returns the number of entries that accept jobs.
func (l *loop) activeEntries() int {
	n := 0
	for _, i := range l.view.Instances {
		if i.Kind == wirepb.InstanceKind_INSTANCE_KIND_ENTRY && !i.Ended && !i.Draining {
			n++
		}
	}
	return n
}

func (l *loop) applyAgents(old *controlclient.View) {
	for _, incarnation := range slices.Sorted(maps.Keys(l.view.Instances)) {
		i := l.view.Instances[incarnation]
		if i.Kind != wirepb.InstanceKind_INSTANCE_KIND_AGENT {
			continue
		}
		if i.Ended {
			l.stopDialing(incarnation)
			delete(l.drainingAgents, incarnation)
			l.owner.AgentEnded(incarnation, i.Clean, i.EndIndex, l.now)
			continue
		}
		l.owner.AgentListed(incarnation)
		l.startDialing(i)
	}
	for incarnation := range old.Instances {
		if l.view.Instances[incarnation] == nil {
			l.stopDialing(incarnation)
			// Control lists an ended incarnation as long as an open job may depend
			// on it. So it no longer matters whether this one ended cleanly.
			l.owner.AgentEnded(incarnation, false, l.view.Revision, l.now)
			l.owner.AgentRemoved(incarnation)
		}
	}
}

// applyGroups claims the groups that control has assigned to this entry and drops
// those that it has assigned to another.
func (l *loop) applyGroups() {
	for group, c := range l.claims {
		if g := l.view.Groups[group]; g == nil || g.Owner != l.incarnation || g.Epoch != c.epoch {
			l.dropGroup(group)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(l.view.Groups)) {
		g := l.view.Groups[number]
		if g.Owner != l.incarnation || g.Group == l.incarnation || l.claims[number].epoch == g.Epoch {
			continue
		}
		ctx, stop := context.WithCancel(l.ctx)
		l.claims[number] = claim{epoch: g.Epoch, stopFetch: stop}
		l.opts.Log.Info("taking over", "group", number, "epoch", g.Epoch)
		l.owner.ClaimGroup(number, g.Epoch)
		go l.fetchOpenJobs(ctx, number, g.Epoch, l.generation)
	}
}

// claim is a group of another incarnation that control has assigned to this entry.
type claim struct {
	epoch uint64
	// stopFetch ends fetchOpenJobs of the group.
	stopFetch context.CancelFunc
}

// dropGroup ends the work for a group that another entry owns now.
func (l *loop) dropGroup(group uint64) {
	if c, ok := l.claims[group]; ok {
		c.stopFetch()
	}
	delete(l.claims, group)
	delete(l.recorders, group)
	l.owner.DropGroup(group)
}

// fetchPageSize is the maximum number of jobs in one response of ListOpenJobs.
const fetchPageSize = 64

// fetchOpenJobs reads the open jobs of a claimed group from control, page by page.
func (l *loop) fetchOpenJobs(ctx context.Context, group, epoch, generation uint64) {
	request := &wirepb.ListOpenJobsRequest{Group: group, Limit: fetchPageSize}
	for attempt := 0; ctx.Err() == nil; {
		page, err := l.control.ListOpenJobs(ctx, request)
		if err != nil {
			backoff(ctx, attempt)
			attempt++
			continue
		}
		attempt = 0
		l.enqueue(openJobsFetched{group: group, epoch: epoch, generation: generation, jobs: page.Jobs, last: !page.More})
		if !page.More || len(page.Jobs) == 0 {
			return
		}
		request.AfterJob = page.Jobs[len(page.Jobs)-1].Job
	}
}

// openJobsFetched is a page of the open jobs of a claimed group.
type openJobsFetched struct {
	group, epoch, generation uint64
	jobs                     []*wirepb.JobRecord
	last                     bool
}

func (e openJobsFetched) handle(l *loop) {
	if e.generation != l.generation || l.claims[e.group].epoch != e.epoch {
		return
	}
	jobs := make([]owner.InheritedJob, 0, len(e.jobs))
	for _, rec := range e.jobs {
		l.addLocalJob(rec)
		accepted := time.UnixMilli(rec.AcceptedUnixMs)
		jobs = append(jobs, owner.InheritedJob{Record: rec, Deadline: l.deadline(rec.Spec, accepted)})
	}
	l.owner.AddInheritedJobs(e.group, e.epoch, jobs, e.last, l.now)
}

func (l *loop) handleClaimReport(agent uint64, r *wirepb.ClaimReport) {
	if !l.owner.HandleClaimReport(agent, r, l.now) {
		l.dropGroup(r.Group)
	}
}

// updateAgents passes the present agents to the dispatcher.
func (l *loop) updateAgents() {
	var agents []placement.Agent
	for _, i := range l.view.Instances {
		if i.Kind != wirepb.InstanceKind_INSTANCE_KIND_AGENT || i.Ended {
			continue
		}
		agents = append(agents, l.placementAgent(i))
	}
	slices.SortFunc(agents, func(a, b placement.Agent) int { return int(int64(a.Incarnation) - int64(b.Incarnation)) })
	l.dispatcher.SetAgents(agents)
}

// placementAgent returns what an agent announces, limited by the endpoint of the
// same name that operators declare.
func (l *loop) placementAgent(i *wirepb.Instance) placement.Agent {
	a := placement.Agent{
		Incarnation: i.Incarnation, Name: i.Name, Zone: i.Zone, Slots: i.Slots, Services: i.Services,
		Draining: i.Draining || l.drainingAgents[i.Incarnation], Connected: l.sessions[i.Incarnation] != nil,
	}
	r := l.view.Endpoints[i.Name]
	if r == nil {
		return a
	}
	spec, err := resource.ParseEndpoint(r.Spec)
	if err != nil {
		l.opts.Log.Error(err, "endpoint ignored", "name", i.Name)
		return a
	}
	a.Draining = a.Draining || spec.Drain
	if spec.Slots > 0 {
		a.Slots = min(a.Slots, spec.Slots)
	}
	if len(spec.Services) > 0 {
		a.Services = allowedServices(a.Services, spec.Services)
	}
	return a
}

// allowedServices returns the services that both the agent announces and operators
// allow. An agent that announces none can run any.
func allowedServices(announced, allowed []string) []string {
	if len(announced) == 0 {
		return allowed
	}
	kept := make([]string, 0, len(announced))
	for _, name := range announced {
		if slices.Contains(allowed, name) {
			kept = append(kept, name)
		}
	}
	return kept
}

// setDraining handles the report of an agent that it begins or ends draining. The
// report arrives before control lists the change.
func (l *loop) setDraining(agent uint64, draining bool) {
	if l.view.Instances[agent] == nil || l.drainingAgents[agent] == draining {
		return
	}
	l.owner.AgentDraining(agent, draining)
	if draining {
		l.drainingAgents[agent] = true
	} else {
		delete(l.drainingAgents, agent)
	}
	l.updateAgents()
}

func (l *loop) applyTeams() {
	teams := make([]placement.Team, 0, len(l.view.Teams))
	for _, name := range slices.Sorted(maps.Keys(l.view.Teams)) {
		spec, err := resource.ParseTeam(json.RawMessage(l.view.Teams[name].Spec))
		if err != nil {
			l.opts.Log.Error(err, "team ignored", "name", name)
			continue
		}
		teams = append(teams, placementTeam(name, spec))
	}
	l.dispatcher.SetTeams(teams)
}

func placementTeam(name string, s resource.TeamSpec) placement.Team {
	return placement.Team{
		Name: name, Weight: float64(s.Weight),
		MaxRunning: int(s.MaxRunning), MaxWaiting: int(s.MaxWaiting),
		TasksPerSecond: float64(s.TasksPerSecond), Burst: int(s.Burst),
	}
}

// sessionOpened reports an established session to an agent. The loop replies
// whether it uses the session.
type sessionOpened struct {
	agent      uint64
	generation uint64
	session    *wire.Session
	accepted   chan<- bool
}

func (s sessionOpened) handle(l *loop) {
	if s.generation != l.generation || l.dialCancels[s.agent] == nil {
		s.accepted <- false
		return
	}
	l.sessions[s.agent] = s.session
	s.accepted <- true
	// The agent's gate adds the session when its first message arrives.
	l.Send(s.agent, demandEnvelope(l.dispatcher.InitialDemand()))
	l.owner.AgentConnected(s.agent)
	l.updateAgents()
}

// sessionClosed reports the end of a session to an agent.
type sessionClosed struct {
	agent   uint64
	session *wire.Session
}

func (s sessionClosed) handle(l *loop) {
	if l.sessions[s.agent] != s.session {
		return
	}
	delete(l.sessions, s.agent)
	if l.owner != nil {
		l.owner.AgentDisconnected(s.agent)
		l.updateAgents()
	}
}

func (l *loop) startDialing(i *wirepb.Instance) {
	if l.dialCancels[i.Incarnation] != nil {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.dialCancels[i.Incarnation] = stop
	go l.dialer.maintain(ctx, i, l.generation)
}

func (l *loop) stopDialing(incarnation uint64) {
	if stop := l.dialCancels[incarnation]; stop != nil {
		stop()
		delete(l.dialCancels, incarnation)
	}
	if s := l.sessions[incarnation]; s != nil {
		sessionClosed{agent: incarnation, session: s}.handle(l)
	}
}
