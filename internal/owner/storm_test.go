package owner

import (
	"testing"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

type noEffects struct{ sends int }

func (n *noEffects) Send(uint64, *wirepb.Envelope)                             { n.sends++ }
func (n *noEffects) Place(PlacementRequest)                                    {}
func (n *noEffects) PlaceAgain(uint64, uint32)                                 {}
func (n *noEffects) TaskEnded(TaskEnd)                                         {}
func (n *noEffects) Withdraw(uint64)                                           {}
func (n *noEffects) Answer(uint64, *wirepb.JobAnswer)                          {}
func (n *noEffects) RecordCompletions(uint64, uint64, []*wirepb.JobCompletion) {}
func (n *noEffects) JobLost(uint64)                                            {}

// BenchmarkReconnect measures how long an owner takes to handle the
// reconnection of one of 1,500 agents that hold the tasks of 1,000 open jobs
// with 100 tasks each.
func BenchmarkReconnect(b *testing.B) {
	const agents, jobs, tasks = 1500, 1000, 100
	o := New(Config{Incarnation: 1}, &noEffects{})
	for a := range uint64(agents) {
		o.AgentConnected(2 + a)
	}
	now := time.Unix(1000, 0)
	spec := &wirepb.JobSpec{Tasks: make([]*wirepb.Task, tasks)}
	for i := range spec.Tasks {
		spec.Tasks[i] = &wirepb.Task{}
	}
	for n := range uint64(jobs) {
		o.Accept(&wirepb.JobRecord{Job: 10_000 + n, Group: 1, Spec: spec}, time.Time{})
		for t := range uint64(tasks) {
			o.AssignTask(10_000+n, uint32(t), 2+(n*37+t)%agents, 0, now)
		}
	}
	for i := 0; b.Loop(); i++ {
		agent := 2 + uint64(i)%agents
		o.AgentDisconnected(agent)
		o.AgentConnected(agent)
		o.Flush(now)
	}
}
