package charts

import _ "embed"

// AgentTask is the chart of a task at an agent's gate.
//
//go:embed agent_task.yaml
var AgentTask []byte
