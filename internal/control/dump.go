package control

import (
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
)

// Dump is the state of a control member, for operators and debugging.
type Dump struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	// Role is the member's state in the state chart of package quorum.
	Role         string        `json:"role"`
	Leader       uint64        `json:"leader"`
	Quorum       quorum.Status `json:"quorum"`
	Ledger       ledger.Counts `json:"ledger"`
	Members      []Peer        `json:"members"`
	DiskFull     bool          `json:"disk_full"`
	Stopping     bool          `json:"stopping"`
	Proposals    int           `json:"proposals"`
	Leases       int           `json:"leases"`
	HeldSyncs    int           `json:"held_syncs"`
	WaitingJobs  int           `json:"waiting_jobs"`
	InForce      uint64        `json:"in_force"`
	LastSnapshot uint64        `json:"last_snapshot"`
}

func (d dumpRequest) handle(l *loop) {
	status := l.core.Status()
	d.answer <- Dump{
		Name:         l.opts.Name,
		ID:           l.opts.ID,
		Role:         status.Role,
		Leader:       status.Leader,
		Quorum:       status,
		Ledger:       l.state.Counts(),
		Members:      l.members,
		DiskFull:     l.diskFull,
		Stopping:     !l.stoppingSince.IsZero(),
		Proposals:    len(l.proposals.open),
		Leases:       len(l.processSyncs.leases),
		HeldSyncs:    len(l.processSyncs.held) + len(l.processSyncs.due),
		WaitingJobs:  len(l.waits.byJob),
		InForce:      l.processSyncs.inForce,
		LastSnapshot: l.snapshots.lastIndex,
	}
}
