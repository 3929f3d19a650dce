package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// group is the fence of the jobs that one entry incarnation accepted.
type group struct {
	number uint64
	// epoch is the newest that the gate knows; older ones are refused.
	epoch uint64
	// owner is the entry incarnation of that epoch; 0 while it isn't known.
	owner uint64
	// openFrom: all jobs with smaller numbers have ended.
	openFrom uint64
	// listed: the configuration names the group.
	listed bool
	// jobs is the number of jobs that the gate remembers.
	jobs int
	// toldFenced is the last session that was told it is fenced.
	toldFenced SessionID
}

// Configure makes a quorum-confirmed configuration known: a revision and all
// groups that it lists. A group that a revision leaves out, though it is older
// than that revision, is over: all its jobs have ended, and nothing more of it
// starts. Only larger revisions count.
func (g *Gate) Configure(now time.Duration, revision uint64, groups map[uint64]*wirepb.Group) {
	if revision <= g.revision {
		return
	}
	g.revision = revision
	for number, m := range groups {
		g.fence(number, m.Epoch, m.Owner)
	}
	for number, gr := range g.groups {
		if groups[number] == nil && number <= revision {
			g.dropGroup(now, gr)
		}
	}
}

func (g *Gate) fence(number, epoch, owner uint64) {
	gr := g.group(number)
	if epoch > gr.epoch {
		gr.raise(epoch, owner)
	}
	if epoch == gr.epoch && owner != 0 {
		gr.owner = owner
	}
	gr.listed = true
}

// dropGroup forgets a group that is over. Tasks that still run go on.
func (g *Gate) dropGroup(now time.Duration, gr *group) {
	for _, j := range g.jobs {
		if j.group == gr {
			g.forget(now, j)
		}
	}
	delete(g.groups, gr.number)
}

// group returns the fence of a group and makes one if there is none. The
// first owner is the entry that accepted the jobs.
func (g *Gate) group(number uint64) *group {
	gr := g.groups[number]
	if gr == nil {
		gr = &group{number: number, owner: number, epoch: firstEpoch}
		g.groups[number] = gr
	}
	return gr
}

// over tells whether the configuration shows that a group has ended.
func (g *Gate) over(number uint64) bool {
	gr := g.groups[number]
	return number <= g.revision && (gr == nil || !gr.listed)
}

const firstEpoch = 1

func (gr *group) raise(epoch, owner uint64) {
	gr.epoch = epoch
	gr.owner = owner
	gr.toldFenced = 0
}

// enter checks that a message comes from the owner of the group with its
// newest epoch, and returns the group; nil when the message doesn't count.
func (g *Gate) enter(from SessionID, number, epoch uint64) *group {
	s := g.sessions[from]
	if s == nil || number == 0 {
		g.stats.Dropped++
		return nil
	}
	if g.over(number) {
		g.stats.Fenced++
		g.send(s.id, claimEnvelope(&wirepb.ClaimReport{Group: number, Fenced: true}))
		return nil
	}
	gr := g.group(number)
	if epoch > gr.epoch {
		gr.raise(epoch, s.entry)
	}
	if epoch == gr.epoch && gr.owner == 0 {
		gr.owner = s.entry
	}
	if epoch == gr.epoch && gr.owner == s.entry {
		return gr
	}
	g.stats.Fenced++
	if gr.toldFenced != s.id {
		gr.toldFenced = s.id
		g.send(s.id, claimEnvelope(&wirepb.ClaimReport{Group: number, Epoch: gr.epoch, Fenced: true}))
	}
	return nil
}

// tombstoneLimit bounds the tombstones of a gate. They cover the jobs that
// ended before older ones of their group, which openFrom can't name.
const tombstoneLimit = 4096

// tombstones are the numbers of the jobs forgotten last.
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
	if len(t.ring) < tombstoneLimit {
		t.ring = append(t.ring, number)
		return
	}
	delete(t.known, t.ring[t.next])
	t.ring[t.next] = number
	t.next = (t.next + 1) % tombstoneLimit
}

func (t *tombstones) has(number uint64) bool {
	_, ok := t.known[number]
	return ok
}

// job returns the record of a job; it makes one if there is none. It is nil
// when the job is forgotten or belongs to another group.
func (g *Gate) job(gr *group, number uint64) *job {
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
