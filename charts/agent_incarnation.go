package charts

import _ "embed"

// AgentIncarnation is the state chart of one incarnation of an agent.
//
//go:embed agent_incarnation.yaml
var AgentIncarnation []byte
