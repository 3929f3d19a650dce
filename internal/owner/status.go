package owner

// Status is the state of an Owner for the debug dump.
type Status struct {
	Stats  Stats         `json:"stats"`
	Agents []AgentStatus `json:"agents"`
	Groups []GroupStatus `json:"groups"`
	// Jobs are the jobs with the smallest numbers, limited to maxStatusJobs.
	// Held is the number of all jobs.
	Jobs []JobStatus `json:"jobs"`
	Held int         `json:"held"`
}

// AgentStatus is the state of one agent incarnation.
type AgentStatus struct {
	Incarnation uint64 `json:"incarnation"`
	Connected   bool   `json:"up"`
	Ended       bool   `json:"ended"`
	Clean       bool   `json:"clean"`
}

// GroupStatus is the state of one group that the Owner owns.
type GroupStatus struct {
	Group   uint64 `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Loaded  bool   `json:"loaded"`
	Settled bool   `json:"settled"`
	// Answered is the number of agents that have answered the claim.
	Answered int    `json:"answered"`
	Floor    uint64 `json:"floor"`
}

// JobStatus is the state of one job.
type JobStatus struct {
	Job        uint64 `json:"job"`
	Group      uint64 `json:"group"`
	State      string `json:"state"`
	Held       int    `json:"tasksHeld"`
	Unresolved int    `json:"tasksDoubtful"`
	Done       int    `json:"tasksDone"`
	Recorded   bool   `json:"recorded"`
	// Tasks is the number of tasks by the name of their state.
	Tasks map[string]int `json:"tasks"`
}

// maxStatusJobs limits the jobs in a dump.
const maxStatusJobs = 100

// Status returns a copy of the current state.
func (o *Owner) Status() Status {
	s := Status{Stats: o.stats, Held: len(o.jobs)}
	for _, a := range o.sortedAgents() {
		s.Agents = append(s.Agents, AgentStatus{Incarnation: a.incarnation, Connected: a.connected, Ended: a.ended, Clean: a.clean})
	}
	for _, g := range o.sortedGroups() {
		s.Groups = append(s.Groups, GroupStatus{
			Group: g.id, Epoch: g.epoch, Loaded: g.loaded, Settled: g.settled,
			Answered: len(g.answered), Floor: o.floor(g.id),
		})
	}
	for i, j := range o.sortedJobs() {
		if i == maxStatusJobs {
			break
		}
		s.Jobs = append(s.Jobs, j.status())
	}
	return s
}

func (j *job) status() JobStatus {
	s := JobStatus{
		Job: j.id, Group: j.group.id, State: jobChart.StateName(j.state),
		Held: j.heldTasks, Unresolved: j.unresolvedTasks, Done: j.doneTasks, Recorded: j.recorded,
		Tasks: map[string]int{},
	}
	for i := range j.tasks {
		s.Tasks[taskChart.StateName(j.tasks[i].state)]++
	}
	return s
}
