// Package charts holds the embedded state charts of the system's machines.
package charts

import _ "embed"

// Member is the chart of a quorum member's role.
//
//go:embed member.yaml
var Member []byte
