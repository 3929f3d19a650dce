package ledger

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
)

// processTable holds the registered processes and the groups. Its messages are
// immutable; a change puts a new one.
type processTable struct {
	instances map[uint64]*wirepb.Instance
	byToken   map[string]uint64
	ended     int
	groups    map[uint64]*wirepb.Group
}

func (t *processTable) init() {
	t.instances = map[uint64]*wirepb.Instance{}
	t.byToken = map[string]uint64{}
	t.groups = map[uint64]*wirepb.Group{}
}

// live tells that an incarnation is registered and has not ended.
func (t *processTable) live(incarnation uint64) bool {
	i := t.instances[incarnation]
	return i != nil && !i.Ended
}

// liveEntry tells that an incarnation is that of an entry and has not ended.
func (t *processTable) liveEntry(incarnation uint64) bool {
	return t.live(incarnation) && t.instances[incarnation].Kind == wirepb.InstanceKind_INSTANCE_KIND_ENTRY
}

// putInstance makes an instance the current one and a resource.
func (l *Ledger) putInstance(index uint64, i *wirepb.Instance) {
	if l.procs.live(i.Incarnation) && i.Ended {
		l.procs.ended++
	}
	l.procs.instances[i.Incarnation] = i
	l.procs.byToken[i.Token] = i.Incarnation
	l.config.putMessage(kindOf(i), formatNumber(i.Incarnation), index, i)
}

// kindOf is the kind of resource that an instance is.
func kindOf(i *wirepb.Instance) string {
	if i.Kind == wirepb.InstanceKind_INSTANCE_KIND_AGENT {
		return KindAgent
	}
	return KindInstance
}

func (l *Ledger) putGroup(index uint64, g *wirepb.Group) {
	l.procs.groups[g.Group] = g
	l.config.putMessage(KindGroup, formatNumber(g.Group), index, g)
}

// register makes a process known. A process at the address of another of its
// name and kind has taken its place, so that one is ended at once.
func (l *Ledger) register(index uint64, asked *wirepb.Instance) Result {
	if reason := checkRegister(asked); reason != "" {
		return invalid(reason)
	}
	if known, ok := l.procs.byToken[asked.Token]; ok {
		return Result{Register: &wirepb.RegisterResponse{Incarnation: known}}
	}
	l.endPredecessors(index, asked)
	i := proto.CloneOf(asked)
	i.Incarnation = index
	i.Ended = false
	i.Clean = false
	i.EndIndex = 0
	l.putInstance(index, i)
	if i.Kind == wirepb.InstanceKind_INSTANCE_KIND_ENTRY {
		l.putGroup(index, &wirepb.Group{Group: index, Owner: index, Epoch: 1})
	}
	l.handOver(index, 0, "")
	l.prune(index)
	return Result{Register: &wirepb.RegisterResponse{Incarnation: index}}
}

func checkRegister(i *wirepb.Instance) string {
	switch {
	case i.GetKind() == wirepb.InstanceKind_INSTANCE_KIND_UNSPECIFIED:
		return reasonInstanceKindWanted
	case i.Name == "":
		return reasonNameMissing
	case i.Token == "":
		return reasonTokenMissing
	}
	return ""
}

func (l *Ledger) endPredecessors(index uint64, asked *wirepb.Instance) {
	if asked.Address == "" {
		return
	}
	var gone []uint64
	for _, i := range l.procs.instances {
		same := i.Kind == asked.Kind && i.Name == asked.Name && i.Address == asked.Address
		if same && !i.Ended {
			gone = append(gone, i.Incarnation)
		}
	}
	l.end(index, gone, false)
}

// endInstances ends incarnations and hands their groups over.
func (l *Ledger) endInstances(index uint64, r *wirepb.EndInstances) Result {
	l.end(index, r.Incarnations, r.Clean)
	l.prune(index)
	return Result{}
}

func (l *Ledger) end(index uint64, incarnations []uint64, clean bool) {
	incarnations = slices.Sorted(slices.Values(incarnations))
	var gone []*wirepb.Instance
	for _, incarnation := range incarnations {
		if !l.procs.live(incarnation) {
			continue
		}
		i := proto.CloneOf(l.procs.instances[incarnation])
		i.Ended = true
		i.Clean = clean
		i.EndIndex = index
		l.putInstance(index, i)
		gone = append(gone, i)
	}
	l.pruneGroups(index)
	for _, i := range gone {
		l.handOver(index, i.Incarnation, i.Zone)
	}
}

// handOver gives the groups of an ended owner to live entries, each with a
// larger epoch. Owner 0 stands for groups that no entry could take so far.
func (l *Ledger) handOver(index, owner uint64, zone string) {
	for _, group := range slices.Sorted(maps.Keys(l.procs.groups)) {
		g := l.procs.groups[group]
		if g.Owner != owner {
			continue
		}
		successor := l.successor(zone)
		if successor == owner {
			continue
		}
		l.putGroup(index, &wirepb.Group{Group: group, Owner: successor, Epoch: g.Epoch + 1})
	}
}

// successor chooses the entry that takes a group: in the zone if there is one,
// with the fewest open jobs and then the smallest number. 0 when every live
// entry drains or none is left.
func (l *Ledger) successor(zone string) uint64 {
	var candidates []*wirepb.Instance
	for _, i := range l.procs.instances {
		if l.procs.liveEntry(i.Incarnation) && !i.Draining {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0
	}
	load := l.openByOwner()
	best := slices.MinFunc(candidates, func(a, b *wirepb.Instance) int {
		return cmp.Or(
			-cmp.Compare(boolInt(a.Zone == zone), boolInt(b.Zone == zone)),
			cmp.Compare(load[a.Incarnation], load[b.Incarnation]),
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

func (l *Ledger) openByOwner() map[uint64]int {
	load := map[uint64]int{}
	for _, g := range l.procs.groups {
		load[g.Owner] += l.jobs.openCount(g.Group)
	}
	return load
}

// setDraining marks a process as taking no new work.
func (l *Ledger) setDraining(index, incarnation uint64) Result {
	if !l.procs.live(incarnation) {
		return fenced(reasonUnknownInstance)
	}
	if l.procs.instances[incarnation].Draining {
		return Result{}
	}
	i := proto.CloneOf(l.procs.instances[incarnation])
	i.Draining = true
	l.putInstance(index, i)
	return Result{}
}

// prune removes what no open job needs any more: ended instances that ended
// before the oldest open job was accepted, and groups without open jobs whose
// entry has ended.
func (l *Ledger) prune(index uint64) {
	if l.procs.ended == 0 && len(l.procs.groups) == 0 {
		return
	}
	l.pruneGroups(index)
	if l.procs.ended == 0 {
		return
	}
	oldest, some := l.jobs.oldestOpen()
	for _, incarnation := range slices.Sorted(maps.Keys(l.procs.instances)) {
		i := l.procs.instances[incarnation]
		if !i.Ended || (some && oldest < i.EndIndex) {
			continue
		}
		delete(l.procs.instances, incarnation)
		delete(l.procs.byToken, i.Token)
		l.procs.ended--
		l.config.remove(kindOf(i), formatNumber(incarnation), index)
	}
}

func (l *Ledger) pruneGroups(index uint64) {
	for _, group := range slices.Sorted(maps.Keys(l.procs.groups)) {
		if l.jobs.openCount(group) > 0 || l.procs.live(group) {
			continue
		}
		delete(l.procs.groups, group)
		l.config.remove(KindGroup, formatNumber(group), index)
	}
}

// recordMember ties a member's ID to its disk. The first record stays, so that
// a member that lost its disk can't pass for its former self.
func (l *Ledger) recordMember(index uint64, r *wirepb.RecordMember) Result {
	name := formatNumber(r.Id)
	if l.config.get(KindMember, name) == nil {
		l.config.putMessage(KindMember, name, index, &wirepb.Member{Id: r.Id, Disk: r.Disk})
	}
	return Result{}
}
