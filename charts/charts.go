// Package charts embeds the state charts of the system.
package charts

import _ "embed"

// Task is the state chart of a task at the entry that owns its job.
//
//go:embed task.yaml
var Task []byte

// Job is the state chart of a job at the entry that owns it.
//
//go:embed job.yaml
var Job []byte

// Member is the state chart of the role of a quorum member.
//
//go:embed member.yaml
var Member []byte

// LedgerJob is the state chart of a job in the ledger.
//
//go:embed ledger_job.yaml
var LedgerJob []byte

// Outlier is the state chart of the health of an agent as rated by an entry.
//
//go:embed outlier.yaml
var Outlier []byte
