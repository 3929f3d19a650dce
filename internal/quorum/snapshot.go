package quorum

import (
	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// snapshotRetryTimeouts is the number of election timeouts (ElectionTicks) after
// which an unanswered snapshot offer is repeated.
const snapshotRetryTimeouts = 10

// SnapshotMeta returns the index, term and membership for a snapshot of the
// state at an applied index. Errors: ErrNotApplied, ErrCompacted.
func (c *Core) SnapshotMeta(index uint64) (*wirepb.SnapshotMeta, error) {
	at, err := c.snapshotInfo(index)
	if err != nil {
		return nil, err
	}
	return at.meta(), nil
}

func (c *Core) snapshotInfo(index uint64) (snapshotInfo, error) {
	if index > c.applied {
		return snapshotInfo{}, eris.Wrapf(ErrNotApplied, "index %d, applied %d", index, c.applied)
	}
	if index == c.snap.index {
		return c.snap, nil
	}
	term, ok := c.log.term(index)
	if !ok || index < c.snap.index {
		return snapshotInfo{}, eris.Wrapf(ErrCompacted, "index %d, snapshot %d", index, c.snap.index)
	}
	at := snapshotInfo{index: index, term: term}
	for _, x := range c.configs {
		if x.index <= index {
			at.membership = x.membership
		}
	}
	return at, nil
}

func (s snapshotInfo) meta() *wirepb.SnapshotMeta {
	return &wirepb.SnapshotMeta{Index: s.index, Term: s.term, Membership: s.membership.Proto()}
}

// Compact drops the log entries covered by a durable snapshot at an applied
// index. It keeps the last retain of them, so that members a little behind need
// no snapshot. Errors: ErrNotApplied, ErrCompacted.
func (c *Core) Compact(index, retain uint64) error {
	at, err := c.snapshotInfo(index)
	if err != nil {
		return err
	}
	c.snap = at
	c.log.compact(index - min(index, retain))
	n := 0
	for n+1 < len(c.configs) && c.configs[n+1].index <= index {
		n++
	}
	c.configs = append([]indexedConfig(nil), c.configs[n:]...)
	return nil
}

func (c *Core) offerSnapshot(id uint64, p *progress) {
	p.startSnapshot()
	c.send(id, snapshotMessage(&wirepb.InstallSnapshot{Meta: c.snap.meta()}))
}

// SnapshotFailed reports that the snapshot offered to a member did not reach
// it. The leader then probes the member and offers a snapshot again if needed.
func (c *Core) SnapshotFailed(to uint64) {
	if p := c.peer(to); p != nil && p.state == snapshotting {
		p.startProbing(p.match + 1)
	}
}

// onInstallSnapshot replaces the log with a snapshot that is newer than the
// commit index. The caller must call Step with this message only after the
// snapshot is durable at this member. It must set Meta to that of the durable
// snapshot, which may be newer than the one the leader offered.
func (c *Core) onInstallSnapshot(from uint64, meta *wirepb.SnapshotMeta) {
	if meta.GetIndex() > c.commit {
		c.install(meta)
	}
	c.sendAfterSync(from, appendResponse(c.commit))
}

func (c *Core) install(meta *wirepb.SnapshotMeta) {
	if c.log.matches(meta.Index, meta.Term) {
		c.commitTo(meta.Index)
		return
	}
	c.snap = snapshotInfo{index: meta.Index, term: meta.Term, membership: MembershipOf(meta.Membership)}
	c.log.reset(meta.Index, meta.Term)
	c.configs = []indexedConfig{{index: meta.Index, membership: c.snap.membership}}
	c.commit = meta.Index
	c.applied = meta.Index
	c.out.recordInstalled(meta)
	c.updateRole()
}
