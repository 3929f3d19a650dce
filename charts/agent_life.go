package charts

import _ "embed"

// AgentLife is the chart of one incarnation of an agent.
//
//go:embed agent_life.yaml
var AgentLife []byte
