// Package control is the control process: it runs the quorum core, its disk
// and the ledger, and answers the requests of the other roles.
//
// One goroutine owns the core and the ledger and takes typed events. A disk
// goroutine syncs what waits in one go. Leases live in the leader's memory.
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
	DefaultLease          = 5 * time.Second
	DefaultRetention      = 24 * time.Hour
	DefaultRemember       = 30 * 24 * time.Hour
	DefaultTick           = 50 * time.Millisecond
	DefaultHeartbeatTicks = 2
	DefaultElectionTicks  = 10
	DefaultSnapshotBytes  = 64 << 20
	DefaultRetainEntries  = 10_000
)

const (
	maxBatchBytes   = 1 << 20
	maxInflight     = 64
	eventQueue      = 4096
	maxPending      = 1 << 16
	maxPendingBytes = 64 << 20
	// retainBytes bounds the entries kept before a snapshot.
	retainBytes   = 16 << 20
	snapshotCount = 100_000
)

var (
	// ErrOptions is returned for options that can't work.
	ErrOptions = errors.New("control: bad options")
	// ErrIdentity is returned when the data folder belongs to another member
	// or deployment, or can't be read.
	ErrIdentity = errors.New("control: data folder has another identity")
	// ErrDiskLost is the end of a member whose ID was used with another disk:
	// it must join with a new ID.
	ErrDiskLost = errors.New("control: this member ID belongs to another disk; join with a new ID")
)

// Peer is one control member.
type Peer struct {
	// ID is never 0 and never used again after a lost disk.
	ID            uint64
	Name, Address string
	Zone          string
}

// Options are the settings of a control process.
type Options struct {
	Cluster, Name, Zone string
	// ListenAddress is where other processes connect; port 0 lets the kernel
	// choose.
	ListenAddress string
	// Members are the first members of the cluster. Later the membership is in
	// the log; addresses given here override those in it.
	Members []Peer
	// ID is this member's.
	ID uint64
	// DataDir holds the log, the snapshots and the member's identity.
	DataDir string
	// Join: this member was not among the first ones and waits to be added.
	Join bool

	// Lease is how long a process counts as alive after its last sync.
	Lease time.Duration
	// Retention is how long the answer of an ended job is kept.
	Retention time.Duration
	// Remember is how long after its end a job's submission is known.
	Remember time.Duration

	// Tick is the unit of the next two.
	Tick           time.Duration
	HeartbeatTicks int
	ElectionTicks  int
	// StartTicks is the wait for a leader after a start; 0 is ElectionTicks.
	StartTicks int
	// SnapshotEntries and SnapshotBytes are the growth of the log after which
	// a snapshot is written.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// RetainEntries are kept in the log before a snapshot, for members a
	// little behind; fewer when they exceed retainBytes.
	RetainEntries uint64

	// Voters is the number of voters that the leader keeps by itself from the
	// learners at hand; 0 leaves the membership to operators.
	Voters int

	// SessionHeartbeat is how long a session may be quiet; 0 leaves it to the
	// sessions' default.
	SessionHeartbeat time.Duration
	// SessionIdle is how long a session may be silent; 0 as above.
	SessionIdle time.Duration

	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope

	// wrapLog puts a failing disk in place of the log in tests.
	wrapLog func(appender) appender
}

func (o *Options) setDefaults() {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.Remember = cmp.Or(o.Remember, DefaultRemember)
	o.Tick = cmp.Or(o.Tick, DefaultTick)
	o.HeartbeatTicks = cmp.Or(o.HeartbeatTicks, DefaultHeartbeatTicks)
	o.ElectionTicks = cmp.Or(o.ElectionTicks, DefaultElectionTicks)
	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, snapshotCount)
	o.SnapshotBytes = cmp.Or(o.SnapshotBytes, DefaultSnapshotBytes)
	o.RetainEntries = cmp.Or(o.RetainEntries, DefaultRetainEntries)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// check returns all that is wrong with the options together.
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

func (o *Options) self() *Peer {
	for i := range o.Members {
		if o.Members[i].ID == o.ID {
			return &o.Members[i]
		}
	}
	return nil
}
