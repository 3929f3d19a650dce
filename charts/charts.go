// Package charts holds the embedded state charts of the system's machines.
package charts

import _ "embed"

// LedgerJob is the chart of a job in the ledger.
//
//go:embed ledger_job.yaml
var LedgerJob []byte
