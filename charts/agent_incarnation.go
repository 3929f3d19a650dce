package charts

import _ "embed"

// AgentIncarnation is the chart of one incarnation of an agent.
//
//go:embed agent_incarnation.yaml
var AgentIncarnation []byte
