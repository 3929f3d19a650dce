package charts

import _ "embed"

// AgentTask is the state chart of a task at the gate of an agent.
//
//go:embed agent_task.yaml
var AgentTask []byte
