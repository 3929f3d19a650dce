package quorum

import (
	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// snapshotRetryTimeouts is the number of election timeouts after which an
// unanswered snapshot offer is made again.
const snapshotRetryTimeouts = 10

// SnapshotMeta tells what a snapshot of the state at an applied index stands
// for. Errors: ErrNotApplied, ErrCompacted.
func (c *Core) SnapshotMeta(index uint64) (*wirepb.SnapshotMeta, error) {
	at, err := c.snapshotAt(index)
	if err != nil {
		return nil, err
	}
	return at.meta(), nil
}

func (c *Core) snapshotAt(index uint64) (snapshotAt, error) {
	if index > c.applied {
		return snapshotAt{}, eris.Wrapf(ErrNotApplied, "index %d, applied %d", index, c.applied)
	}
	if index == c.snap.index {
		return c.snap, nil
	}
	term, ok := c.log.term(index)
	if !ok || index < c.snap.index {
		return snapshotAt{}, eris.Wrapf(ErrCompacted, "index %d, snapshot %d", index, c.snap.index)
	}
	at := snapshotAt{index: index, term: term}
	for _, x := range c.configs {
		if x.index <= index {
			at.membership = x.membership
		}
	}
	return at, nil
}

func (s snapshotAt) meta() *wirepb.SnapshotMeta {
	return &wirepb.SnapshotMeta{Index: s.index, Term: s.term, Membership: s.membership.Proto()}
}

// Compact tells that a durable snapshot of an applied index exists. The log
// keeps the last retain entries before it, so that members a little behind
// need no snapshot. Errors: ErrNotApplied, ErrCompacted.
func (c *Core) Compact(index, retain uint64) error {
	at, err := c.snapshotAt(index)
	if err != nil {
		return err
	}
	c.snap = at
	c.log.compact(index - min(index, retain))
	n := 0
	for n+1 < len(c.configs) && c.configs[n+1].index <= index {
		n++
	}
	c.configs = append([]configAt(nil), c.configs[n:]...)
	return nil
}

func (c *Core) offerSnapshot(id uint64, p *progress) {
	p.offer()
	c.send(id, snapshotMessage(&wirepb.InstallSnapshot{Meta: c.snap.meta()}))
}

// SnapshotFailed tells that the snapshot offered to a member did not reach
// it; it is offered again.
func (c *Core) SnapshotFailed(to uint64) {
	if p := c.peer(to); p != nil && p.state == snapshotting {
		p.probe(p.match + 1)
	}
}

// onInstallSnapshot starts the log anew from a snapshot. The host calls Step
// with it only after the snapshot is durable here, and sets Meta to what that
// snapshot stands for, which may be newer than what the leader offered.
func (c *Core) onInstallSnapshot(from uint64, meta *wirepb.SnapshotMeta) {
	if meta.GetIndex() > c.commit {
		c.install(meta)
	}
	c.sendSynced(from, appendResponse(c.commit))
}

func (c *Core) install(meta *wirepb.SnapshotMeta) {
	if c.log.matches(meta.Index, meta.Term) {
		c.commitTo(meta.Index)
		return
	}
	c.snap = snapshotAt{index: meta.Index, term: meta.Term, membership: MembershipOf(meta.Membership)}
	c.log.reset(meta.Index, meta.Term)
	c.configs = []configAt{{index: meta.Index, membership: c.snap.membership}}
	c.commit = meta.Index
	c.applied = meta.Index
	c.out.installed(meta)
	c.settle()
}
