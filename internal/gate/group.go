package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// group is the set of jobs that one entry incarnation accepted. Its owner and
// epoch fence off messages from former owners.
type group struct {
	// number identifies the group. It is the entry incarnation that accepted the
	// jobs.
	number uint64
	// epoch is the newest epoch that the gate knows; messages with an older one
	// are refused.
	epoch uint64
	// owner is the incarnation of the entry that owns the group in this epoch; 0
	// means that it isn't known yet.
	owner uint64
	// openFrom is a lower bound of the open jobs: all jobs with smaller numbers
	// have ended.
	openFrom uint64
	// listed is set once a configuration has named the group.
	listed bool
	// jobs is the number of jobs of the group in Gate.jobs.
	jobs int
	// fencedReportedTo is the last session to which the gate reported that its
	// entry is fenced.
	fencedReportedTo SessionID
}

// Configure applies a configuration that a quorum has confirmed: its revision
// and all groups that it lists. A group that is older than the revision and not
// listed has ended: all its jobs have ended, and no task of it starts any more.
// A revision that isn't larger than the present one is ignored.
func (g *Gate) Configure(now time.Duration, revision uint64, groups map[uint64]*wirepb.Group) {
	if revision <= g.revision {
		return
	}
	g.revision = revision
	for number, m := range groups {
		g.applyGroup(number, m.Epoch, m.Owner)
	}
	for number, gr := range g.groups {
		if groups[number] == nil && number <= revision {
			g.dropGroup(now, gr)
		}
	}
}

func (g *Gate) applyGroup(number, epoch, owner uint64) {
	gr := g.findOrAddGroup(number)
	if epoch > gr.epoch {
		gr.setEpoch(epoch, owner)
	}
	if epoch == gr.epoch && owner != 0 {
		gr.owner = owner
	}
	gr.listed = true
}

// dropGroup forgets a group that has ended. Its running tasks continue.
func (g *Gate) dropGroup(now time.Duration, gr *group) {
	for _, j := range g.jobs {
		if j.group == gr {
			g.forget(now, j)
		}
	}
	delete(g.groups, gr.number)
}

// findOrAddGroup returns the group with the given number and adds it if it is
// missing.
// The first owner of a group is the entry that accepted its jobs.
func (g *Gate) findOrAddGroup(number uint64) *group {
	gr := g.groups[number]
	if gr == nil {
		gr = &group{number: number, owner: number, epoch: firstEpoch}
		g.groups[number] = gr
	}
	return gr
}

// groupEnded reports whether a group has ended according to the configuration.
func (g *Gate) groupEnded(number uint64) bool {
	gr := g.groups[number]
	return number <= g.revision && (gr == nil || !gr.listed)
}

const firstEpoch = 1

func (gr *group) setEpoch(epoch, owner uint64) {
	gr.epoch = epoch
	gr.owner = owner
	gr.fencedReportedTo = 0
}

// checkOwner returns the group if a message comes from the group's owner and
// carries its newest epoch. Otherwise it returns nil and the message must be
// ignored; a fenced sender gets a report.
func (g *Gate) checkOwner(from SessionID, number, epoch uint64) *group {
	s := g.sessions[from]
	if s == nil || number == 0 {
		g.stats.Dropped++
		return nil
	}
	if g.groupEnded(number) {
		g.stats.Fenced++
		g.send(s.id, claimEnvelope(&wirepb.ClaimReport{Group: number, Fenced: true}))
		return nil
	}
	gr := g.findOrAddGroup(number)
	if epoch > gr.epoch {
		gr.setEpoch(epoch, s.entry)
	}
	if epoch == gr.epoch && gr.owner == 0 {
		gr.owner = s.entry
	}
	if epoch == gr.epoch && gr.owner == s.entry {
		return gr
	}
	g.stats.Fenced++
	if gr.fencedReportedTo != s.id {
		gr.fencedReportedTo = s.id
		g.send(s.id, claimEnvelope(&wirepb.ClaimReport{Group: number, Epoch: gr.epoch, Fenced: true}))
	}
	return nil
}

// maxTombstones is the maximum number of tombstones of a gate. Tombstones are
// needed for jobs that ended before an older job of their group, because
// openFrom doesn't cover these.
const maxTombstones = 4096

// tombstones holds the numbers of the most recently forgotten jobs.
type tombstones struct {
	known map[uint64]struct{}
	ring  []uint64
	next  int
}

func (t *tombstones) add(number uint64) {
	if t.known == nil {
		t.known = map[uint64]struct{}{}
	}
	if _, ok := t.known[number]; ok {
		return
	}
	t.known[number] = struct{}{}
	if len(t.ring) < maxTombstones {
		t.ring = append(t.ring, number)
		return
	}
	delete(t.known, t.ring[t.next])
	t.ring[t.next] = number
	t.next = (t.next + 1) % maxTombstones
}

func (t *tombstones) has(number uint64) bool {
	_, ok := t.known[number]
	return ok
}

// findOrAddJob returns the job with the given number and adds it if it is missing.
// It returns nil if the job is forgotten or belongs to another group.
func (g *Gate) findOrAddJob(gr *group, number uint64) *job {
	if number < gr.openFrom || g.tombstones.has(number) {
		g.stats.Dropped++
		return nil
	}
	j := g.jobs[number]
	if j == nil {
		j = &job{number: number, group: gr}
		g.jobs[number] = j
		gr.jobs++
	}
	if j.group != gr || j.forgotten {
		g.stats.Dropped++
		return nil
	}
	return j
}
