package placement

import "sort"

// Status is the state of a Dispatcher for the debug dump.
type Status struct {
	Policy       string        `json:"policy"`
	Order        string        `json:"order"`
	Jobs         int           `json:"jobs"`
	WaitingTasks int           `json:"waitingTasks"`
	WaitingBytes int64         `json:"waitingBytes"`
	RunningTasks int           `json:"runningTasks"`
	Agents       []AgentStatus `json:"agents"`
	Teams        []TeamStatus  `json:"teams"`
}

// AgentStatus is the state of one agent at this entry.
type AgentStatus struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
	Outstanding int    `json:"outstanding"`
	Granted     int    `json:"granted"`
	Limit       int    `json:"limit"`
	Health      string `json:"health"`
	TakesWork   bool   `json:"takesWork"`
}

// TeamStatus is the state of one team at this entry.
type TeamStatus struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Status returns a copy of the present state, with agents sorted by incarnation
// and teams by name.
func (d *Dispatcher) Status() Status {
	s := Status{
		Policy:       d.cfg.Policy,
		Order:        d.cfg.Order,
		Jobs:         len(d.jobs),
		WaitingTasks: d.waiting,
		WaitingBytes: d.waitingBytes,
		RunningTasks: d.running,
	}
	for _, a := range d.agents {
		s.Agents = append(s.Agents, d.agentStatus(a))
	}
	for _, t := range d.teams {
		s.Teams = append(s.Teams, TeamStatus{Name: t.quota.Name, Waiting: t.waiting, Running: t.running})
	}
	sort.Slice(s.Agents, func(i, k int) bool { return s.Agents[i].Incarnation < s.Agents[k].Incarnation })
	sort.Slice(s.Teams, func(i, k int) bool { return s.Teams[i].Name < s.Teams[k].Name })
	return s
}

func (d *Dispatcher) agentStatus(a *agent) AgentStatus {
	return AgentStatus{
		Incarnation: a.info.Incarnation,
		Name:        a.info.Name,
		Outstanding: a.outstanding,
		Granted:     a.granted,
		Limit:       d.limit(a),
		Health:      outlierChart.StateName(a.health.state),
		TakesWork:   a.takesWork(),
	}
}
