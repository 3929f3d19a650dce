// Package control implements the control process, a member of the replicated
// control plane. It runs the Raft core, the log on disk and the ledger, which
// is the replicated state machine, and answers the requests of the other roles.
//
// The event loop is one goroutine that owns the core and the ledger and handles
// typed events. The log writer is another goroutine that writes all queued
// records with one sync. Leases are kept only in the leader's memory.
package control

import (
	"cmp"
	"crypto/tls"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

// Defaults of Options.
const (
	DefaultLease               = 5 * time.Second
	DefaultAnswerRetention     = 24 * time.Hour
	DefaultSubmissionRetention = 30 * 24 * time.Hour
	DefaultTick                = 50 * time.Millisecond
	DefaultHeartbeatTicks      = 2
	DefaultElectionTicks       = 10
	DefaultSnapshotBytes       = 64 << 20
	DefaultRetainEntries       = 10_000
)

const (
	maxBatchBytes        = 1 << 20
	maxInflight          = 64
	eventQueueSize       = 4096
	maxOpenProposals     = 1 << 16
	maxOpenProposalBytes = 64 << 20
	// maxRetainedBytes bounds the total size of the log entries that are kept
	// although a snapshot covers them.
	maxRetainedBytes       = 16 << 20
	defaultSnapshotEntries = 100_000
)

var (
	// ErrOptions is returned for invalid options.
	ErrOptions = errors.New("control: invalid options")
	// ErrIdentity is returned when the identity file of the data folder names
	// another member or cluster, or is damaged.
	ErrIdentity = errors.New("control: data folder belongs to another member or cluster, or its identity file is damaged")
	// ErrDiskLost ends a member whose ID is recorded with another disk. The
	// member must join with a new ID.
	ErrDiskLost = errors.New("control: this member ID belongs to another disk; join with a new ID")
)

// Peer describes one control member.
type Peer struct {
	// ID is not 0. It must not be reused after the member has lost its disk.
	ID            uint64
	Name, Address string
	Zone          string
}

// Options are the settings of a control process.
type Options struct {
	Cluster, Name, Zone string
	// ListenAddress is the address for connections of other processes. With
	// port 0 the kernel chooses a free port.
	ListenAddress string
	// Members are the initial members of the cluster. Later the membership is
	// taken from the log. Addresses given here override those in the log.
	Members []Peer
	// ID is the ID of this member.
	ID uint64
	// DataDir holds the log, the snapshots and the member's identity.
	DataDir string
	// Join is set for a member that is not among the initial members. It waits
	// until it is added to the membership.
	Join bool

	// Lease is how long a process counts as alive after its last Sync request.
	Lease time.Duration
	// AnswerRetention is how long the answer of an ended job is kept.
	AnswerRetention time.Duration
	// SubmissionRetention is how long after a job's end its submission is still
	// recognized as a duplicate.
	SubmissionRetention time.Duration

	// Tick is the period of the core's ticks. HeartbeatTicks, ElectionTicks and
	// StartTicks are multiples of it.
	Tick           time.Duration
	HeartbeatTicks int
	ElectionTicks  int
	// StartTicks is the minimum election timeout after a start, until there is a
	// leader or an election; 0 means ElectionTicks.
	StartTicks int
	// SnapshotEntries is the number of entries applied since the last snapshot
	// after which another one is written. SnapshotBytes is the same limit for
	// their total size.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// RetainEntries is the number of entries before a snapshot that stay in the
	// log, for members that are a little behind. Fewer are kept if they exceed
	// maxRetainedBytes.
	RetainEntries uint64

	// Voters is the number of voters that the leader maintains by promoting
	// learners; 0 leaves the membership to operators.
	Voters int

	// SessionHeartbeatInterval is how long a session sends nothing before it sends a
	// heartbeat; 0 means the default of package wire.
	SessionHeartbeatInterval time.Duration
	// SessionIdleTimeout is how long nothing may arrive on a session before it is
	// closed; 0 means the default of package wire.
	SessionIdleTimeout time.Duration

	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope

	// wrapLog lets tests wrap the log, for example to inject disk faults.
	wrapLog func(appender) appender
}

func (o *Options) setDefaults() {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.AnswerRetention = cmp.Or(o.AnswerRetention, DefaultAnswerRetention)
	o.SubmissionRetention = cmp.Or(o.SubmissionRetention, DefaultSubmissionRetention)
	o.Tick = cmp.Or(o.Tick, DefaultTick)
	o.HeartbeatTicks = cmp.Or(o.HeartbeatTicks, DefaultHeartbeatTicks)
	o.ElectionTicks = cmp.Or(o.ElectionTicks, DefaultElectionTicks)
	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, defaultSnapshotEntries)
	o.SnapshotBytes = cmp.Or(o.SnapshotBytes, DefaultSnapshotBytes)
	o.RetainEntries = cmp.Or(o.RetainEntries, DefaultRetainEntries)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// check returns a wrapped ErrOptions that lists all invalid options, or nil.
func (o *Options) check() error {
	var findings []error
	add := func(bad bool, text string) {
		if bad {
			findings = append(findings, errors.New(text))
		}
	}
	add(o.ID == 0, "ID is 0")
	add(o.DataDir == "", "DataDir is empty")
	add(o.ListenAddress == "", "ListenAddress is empty")
	add(!o.Join && len(o.Members) == 0, "Members is empty")
	add(!o.Join && len(o.Members) > 0 && o.self() == nil, "Members lacks this member's ID")
	if len(findings) == 0 {
		return nil
	}
	return eris.Wrap(errors.Join(ErrOptions, errors.Join(findings...)), "control options")
}

// self returns this member's entry in Members, or nil.
func (o *Options) self() *Peer {
	for i := range o.Members {
		if o.Members[i].ID == o.ID {
			return &o.Members[i]
		}
	}
	return nil
}
