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

// changed is a new view of the configuration.
type changed struct{ view *controlclient.View }

func (c changed) apply(l *loop) {
	if c.view.Revision <= l.view.Revision {
		return
	}
	l.adopt(c.view)
}

// adopt brings owner, dispatcher and sessions in line with a view. Instances
// come first: a claim counts on them.
func (l *loop) adopt(view *controlclient.View) {
	old := l.view
	l.view = view
	if l.owner == nil {
		return
	}
	l.adoptAgents(old)
	l.adoptGroups()
	l.refreshAgents()
	l.adoptTeams()
	l.dispatch.SetEntryCount(l.liveEntries())
}

// liveEntries is the number of entries that take jobs.
func (l *loop) liveEntries() int {
	n := 0
	for _, i := range l.view.Instances {
		if i.Kind == wirepb.InstanceKind_INSTANCE_KIND_ENTRY && !i.Ended && !i.Draining {
			n++
		}
	}
	return n
}

func (l *loop) adoptAgents(old *controlclient.View) {
	for _, incarnation := range slices.Sorted(maps.Keys(l.view.Instances)) {
		i := l.view.Instances[incarnation]
		if i.Kind != wirepb.InstanceKind_INSTANCE_KIND_AGENT {
			continue
		}
		if i.Ended {
			l.stopDialing(incarnation)
			delete(l.draining, incarnation)
			l.owner.AgentEnded(incarnation, i.Clean, i.EndIndex, l.now)
			continue
		}
		l.owner.AgentListed(incarnation)
		l.startDialing(i)
	}
	for incarnation := range old.Instances {
		if l.view.Instances[incarnation] == nil {
			l.stopDialing(incarnation)
			// Control keeps every ended incarnation that an open job may need.
			l.owner.AgentEnded(incarnation, false, l.view.Revision, l.now)
			l.owner.AgentGone(incarnation)
		}
	}
}

// adoptGroups claims the groups that are given to this entry and drops those
// that were given away.
func (l *loop) adoptGroups() {
	for group, c := range l.claims {
		if g := l.view.Groups[group]; g == nil || g.Owner != l.incarnation || g.Epoch != c.epoch {
			l.loseGroup(group)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(l.view.Groups)) {
		g := l.view.Groups[number]
		if g.Owner != l.incarnation || g.Group == l.incarnation || l.claims[number].epoch == g.Epoch {
			continue
		}
		ctx, stop := context.WithCancel(l.ctx)
		l.claims[number] = claim{epoch: g.Epoch, stop: stop}
		l.opts.Log.Info("taking over", "group", number, "epoch", g.Epoch)
		l.owner.Claim(number, g.Epoch)
		go l.fetch(ctx, number, g.Epoch, l.term)
	}
}

// claim is a group that was given to this entry.
type claim struct {
	epoch uint64
	// stop ends the reading of its open jobs.
	stop context.CancelFunc
}

// loseGroup drops a group that another entry owns now.
func (l *loop) loseGroup(group uint64) {
	if c, ok := l.claims[group]; ok {
		c.stop()
	}
	delete(l.claims, group)
	delete(l.recorders, group)
	l.owner.Fenced(group)
}

// fetchLimit is the number of jobs in one page of a takeover.
const fetchLimit = 64

// fetch reads the open jobs of a claimed group, page by page.
func (l *loop) fetch(ctx context.Context, group, epoch, term uint64) {
	request := &wirepb.ListOpenJobsRequest{Group: group, Limit: fetchLimit}
	for attempt := 0; ctx.Err() == nil; {
		page, err := l.control.ListOpenJobs(ctx, request)
		if err != nil {
			pause(ctx, attempt)
			attempt++
			continue
		}
		attempt = 0
		l.post(inherited{group: group, epoch: epoch, term: term, jobs: page.Jobs, last: !page.More})
		if !page.More || len(page.Jobs) == 0 {
			return
		}
		request.AfterJob = page.Jobs[len(page.Jobs)-1].Job
	}
}

// inherited is a page of the open jobs of a claimed group.
type inherited struct {
	group, epoch, term uint64
	jobs               []*wirepb.JobRecord
	last               bool
}

func (i inherited) apply(l *loop) {
	if i.term != l.term || l.claims[i.group].epoch != i.epoch {
		return
	}
	jobs := make([]owner.Inherited, 0, len(i.jobs))
	for _, rec := range i.jobs {
		l.hold(rec)
		accepted := time.UnixMilli(rec.AcceptedUnixMs)
		jobs = append(jobs, owner.Inherited{Record: rec, Deadline: l.deadline(rec.Spec, accepted)})
	}
	l.owner.Inherit(i.group, i.epoch, jobs, i.last, l.now)
}

func (l *loop) claimReport(agent uint64, r *wirepb.ClaimReport) {
	if !l.owner.ClaimReport(agent, r, l.now) {
		l.loseGroup(r.Group)
	}
}

// refreshAgents hands the agents to the dispatcher.
func (l *loop) refreshAgents() {
	var agents []placement.Agent
	for _, i := range l.view.Instances {
		if i.Kind != wirepb.InstanceKind_INSTANCE_KIND_AGENT || i.Ended {
			continue
		}
		agents = append(agents, l.placementAgent(i))
	}
	slices.SortFunc(agents, func(a, b placement.Agent) int { return int(int64(a.Incarnation) - int64(b.Incarnation)) })
	l.dispatch.SetAgents(agents)
}

// placementAgent joins what an agent announces with what operators declare of
// the endpoint of its name.
func (l *loop) placementAgent(i *wirepb.Instance) placement.Agent {
	a := placement.Agent{
		Incarnation: i.Incarnation, Name: i.Name, Zone: i.Zone, Slots: i.Slots, Services: i.Services,
		Draining: i.Draining || l.draining[i.Incarnation], Connected: l.sessions[i.Incarnation] != nil,
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
		a.Services = common(a.Services, spec.Services)
	}
	return a
}

// common keeps the services that the minion can run and operators allow. An
// agent that announces none can run any.
func common(announced, allowed []string) []string {
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

// drainingAgent notes that an agent takes no new work, or does again, ahead of
// control.
func (l *loop) drainingAgent(agent uint64, draining bool) {
	if l.view.Instances[agent] == nil || l.draining[agent] == draining {
		return
	}
	l.owner.AgentDraining(agent, draining)
	if draining {
		l.draining[agent] = true
	} else {
		delete(l.draining, agent)
	}
	l.refreshAgents()
}

func (l *loop) adoptTeams() {
	teams := make([]placement.Team, 0, len(l.view.Teams))
	for _, name := range slices.Sorted(maps.Keys(l.view.Teams)) {
		spec, err := resource.ParseTeam(json.RawMessage(l.view.Teams[name].Spec))
		if err != nil {
			l.opts.Log.Error(err, "team ignored", "name", name)
			continue
		}
		teams = append(teams, placementTeam(name, spec))
	}
	l.dispatch.SetTeams(teams)
}

func placementTeam(name string, s resource.TeamSpec) placement.Team {
	return placement.Team{
		Name: name, Weight: float64(s.Weight),
		MaxRunning: int(s.MaxRunning), MaxWaiting: int(s.MaxWaiting),
		TasksPerSecond: float64(s.TasksPerSecond), Burst: int(s.Burst),
	}
}

// sessionUp is an established session to an agent.
type sessionUp struct {
	agent   uint64
	term    uint64
	session *wire.Session
	handled chan<- bool
}

func (s sessionUp) apply(l *loop) {
	if s.term != l.term || l.dialers[s.agent] == nil {
		s.handled <- false
		return
	}
	l.sessions[s.agent] = s.session
	s.handled <- true
	// The first message makes the session known to the agent's gate.
	l.Send(s.agent, demandEnvelope(l.dispatch.InitialDemand()))
	l.owner.AgentUp(s.agent)
	l.refreshAgents()
}

// sessionDown is the end of a session to an agent.
type sessionDown struct {
	agent   uint64
	session *wire.Session
}

func (s sessionDown) apply(l *loop) {
	if l.sessions[s.agent] != s.session {
		return
	}
	delete(l.sessions, s.agent)
	if l.owner != nil {
		l.owner.AgentDown(s.agent)
		l.refreshAgents()
	}
}

func (l *loop) startDialing(i *wirepb.Instance) {
	if l.dialers[i.Incarnation] != nil {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.dialers[i.Incarnation] = stop
	go l.dialer.keep(ctx, i, l.term)
}

func (l *loop) stopDialing(incarnation uint64) {
	if stop := l.dialers[incarnation]; stop != nil {
		stop()
		delete(l.dialers, incarnation)
	}
	if s := l.sessions[incarnation]; s != nil {
		sessionDown{agent: incarnation, session: s}.apply(l)
	}
}
