// Package charts holds the embedded state charts of the system's machines.
package charts

import _ "embed"

// Task is the chart of a task at its entry.
//
//go:embed task.yaml
var Task []byte

// Job is the chart of a job at its entry.
//
//go:embed job.yaml
var Job []byte

// Member is the chart of a quorum member's role.
//
//go:embed member.yaml
var Member []byte

// LedgerJob is the chart of a job in the ledger.
//
//go:embed ledger_job.yaml
var LedgerJob []byte

// Outlier is the chart of an agent as an entry judges it.
//
//go:embed outlier.yaml
var Outlier []byte
