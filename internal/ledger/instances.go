package ledger

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// processTable holds the registered processes and the groups. Its messages are
// immutable: a change stores a new one.
type processTable struct {
	instances  map[uint64]*wirepb.Instance // by incarnation
	byToken    map[string]uint64           // incarnations by registration token
	endedCount int
	groups     map[uint64]*wirepb.Group
}

func (t *processTable) init() {
	t.instances = map[uint64]*wirepb.Instance{}
	t.byToken = map[string]uint64{}
	t.groups = map[uint64]*wirepb.Group{}
}

// isLive reports whether an incarnation is registered and has not ended.
func (t *processTable) isLive(incarnation uint64) bool {
	i := t.instances[incarnation]
	return i != nil && !i.Ended
}

// isLiveEntry reports whether an incarnation is an entry that has not ended.
func (t *processTable) isLiveEntry(incarnation uint64) bool {
	return t.isLive(incarnation) && t.instances[incarnation].Kind == wirepb.InstanceKind_INSTANCE_KIND_ENTRY
}

// putInstance stores an instance in the process table and as a resource.
func (l *Ledger) putInstance(index uint64, i *wirepb.Instance) {
	if l.processes.isLive(i.Incarnation) && i.Ended {
		l.processes.endedCount++
	}
	l.processes.instances[i.Incarnation] = i
	l.processes.byToken[i.Token] = i.Incarnation
	l.config.putMessage(resourceKind(i), formatNumber(i.Incarnation), index, i)
}

// resourceKind returns the resource kind of an instance.
func resourceKind(i *wirepb.Instance) string {
	if i.Kind == wirepb.InstanceKind_INSTANCE_KIND_AGENT {
		return KindAgent
	}
	return KindEntry
}

func (l *Ledger) putGroup(index uint64, g *wirepb.Group) {
	l.processes.groups[g.Group] = g
	l.config.putMessage(KindGroup, formatNumber(g.Group), index, g)
}

// register adds a process. A live process of the same kind, name and address is
// ended at once, because the new one has replaced it. A repeated request with
// the same token gets the same incarnation.
func (l *Ledger) register(index uint64, requested *wirepb.Instance) Result {
	if reason := checkRegister(requested); reason != "" {
		return invalid(reason)
	}
	if known, ok := l.processes.byToken[requested.Token]; ok {
		return Result{Register: &wirepb.RegisterResponse{Incarnation: known}}
	}
	l.endPredecessors(index, requested)
	i := proto.CloneOf(requested)
	i.Incarnation = index
	i.Ended = false
	i.Clean = false
	i.EndIndex = 0
	l.putInstance(index, i)
	if i.Kind == wirepb.InstanceKind_INSTANCE_KIND_ENTRY {
		l.putGroup(index, &wirepb.Group{Group: index, Owner: index, Epoch: 1})
	}
	l.reassignGroups(index, 0, "")
	l.prune(index)
	return Result{Register: &wirepb.RegisterResponse{Incarnation: index}}
}

func checkRegister(i *wirepb.Instance) string {
	switch {
	case i.GetKind() == wirepb.InstanceKind_INSTANCE_KIND_UNSPECIFIED:
		return reasonInstanceKindMissing
	case i.Name == "":
		return reasonNameMissing
	case i.Token == "":
		return reasonTokenMissing
	}
	return ""
}

func (l *Ledger) endPredecessors(index uint64, requested *wirepb.Instance) {
	if requested.Address == "" {
		return
	}
	var predecessors []uint64
	for _, i := range l.processes.instances {
		same := i.Kind == requested.Kind && i.Name == requested.Name && i.Address == requested.Address
		if same && !i.Ended {
			predecessors = append(predecessors, i.Incarnation)
		}
	}
	l.endIncarnations(index, predecessors, false)
}

// endInstances ends incarnations and reassigns their groups.
func (l *Ledger) endInstances(index uint64, r *wirepb.EndInstances) Result {
	l.endIncarnations(index, r.Incarnations, r.Clean)
	l.prune(index)
	return Result{}
}

func (l *Ledger) endIncarnations(index uint64, incarnations []uint64, clean bool) {
	incarnations = slices.Sorted(slices.Values(incarnations))
	var ended []*wirepb.Instance
	for _, incarnation := range incarnations {
		if !l.processes.isLive(incarnation) {
			continue
		}
		i := proto.CloneOf(l.processes.instances[incarnation])
		i.Ended = true
		i.Clean = clean
		i.EndIndex = index
		l.putInstance(index, i)
		ended = append(ended, i)
	}
	l.pruneGroups(index)
	for _, i := range ended {
		l.reassignGroups(index, i.Incarnation, i.Zone)
	}
}

// reassignGroups assigns the groups of an ended owner to live entries. Each
// group gets a larger epoch. Owner 0 means that no entry could take the group
// so far.
func (l *Ledger) reassignGroups(index, owner uint64, zone string) {
	for _, group := range slices.Sorted(maps.Keys(l.processes.groups)) {
		g := l.processes.groups[group]
		if g.Owner != owner {
			continue
		}
		successor := l.chooseSuccessor(zone)
		if successor == owner {
			continue
		}
		l.putGroup(index, &wirepb.Group{Group: group, Owner: successor, Epoch: g.Epoch + 1})
	}
}

// chooseSuccessor returns the entry that takes over a group. It prefers an
// entry in the zone, then the one with the fewest open jobs, then the smallest
// incarnation. It returns 0 if every live entry drains or none is left.
func (l *Ledger) chooseSuccessor(zone string) uint64 {
	var candidates []*wirepb.Instance
	for _, i := range l.processes.instances {
		if l.processes.isLiveEntry(i.Incarnation) && !i.Draining {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0
	}
	openCounts := l.openJobsByOwner()
	best := slices.MinFunc(candidates, func(a, b *wirepb.Instance) int {
		return cmp.Or(
			-cmp.Compare(boolInt(a.Zone == zone), boolInt(b.Zone == zone)),
			cmp.Compare(openCounts[a.Incarnation], openCounts[b.Incarnation]),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return best.Incarnation
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (l *Ledger) openJobsByOwner() map[uint64]int {
	openCounts := map[uint64]int{}
	for _, g := range l.processes.groups {
		openCounts[g.Owner] += l.jobs.openCount(g.Group)
	}
	return openCounts
}

// setDraining marks a process as draining, so that it gets no new work.
func (l *Ledger) setDraining(index, incarnation uint64) Result {
	if !l.processes.isLive(incarnation) {
		return fenced(reasonUnknownInstance)
	}
	if l.processes.instances[incarnation].Draining {
		return Result{}
	}
	i := proto.CloneOf(l.processes.instances[incarnation])
	i.Draining = true
	l.putInstance(index, i)
	return Result{}
}

// prune removes what no open job needs any more. These are instances that ended
// before the oldest open job was accepted, and groups without open jobs whose
// entry has ended.
func (l *Ledger) prune(index uint64) {
	if l.processes.endedCount == 0 && len(l.processes.groups) == 0 {
		return
	}
	l.pruneGroups(index)
	if l.processes.endedCount == 0 {
		return
	}
	oldest, anyOpen := l.jobs.oldestOpen()
	for _, incarnation := range slices.Sorted(maps.Keys(l.processes.instances)) {
		i := l.processes.instances[incarnation]
		if !i.Ended || (anyOpen && oldest < i.EndIndex) {
			continue
		}
		delete(l.processes.instances, incarnation)
		delete(l.processes.byToken, i.Token)
		l.processes.endedCount--
		l.config.remove(resourceKind(i), formatNumber(incarnation), index)
	}
}

func (l *Ledger) pruneGroups(index uint64) {
	for _, group := range slices.Sorted(maps.Keys(l.processes.groups)) {
		if l.jobs.openCount(group) > 0 || l.processes.isLive(group) {
			continue
		}
		delete(l.processes.groups, group)
		l.config.remove(KindGroup, formatNumber(group), index)
	}
}

// recordMember ties a member's ID to its disk. The first record stays, so that
// a member that lost its disk is recognised when it comes back under the same
// ID.
func (l *Ledger) recordMember(index uint64, r *wirepb.RecordMember) Result {
	name := formatNumber(r.Id)
	if l.config.get(KindMember, name) == nil {
		l.config.putMessage(KindMember, name, index, &wirepb.Member{Id: r.Id, Disk: r.Disk})
	}
	return Result{}
}
