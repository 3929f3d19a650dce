package placement

import (
	"fmt"
	"testing"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

func slotGrant(slots int, sequence uint64) *wirepb.SlotGrant {
	return &wirepb.SlotGrant{Slots: uint32(slots), Sequence: sequence}
}

// BenchmarkDecision measures one placement and one outcome in a busy fleet: half
// of the slots are in use and 68 teams have waiting jobs.
func BenchmarkDecision(b *testing.B) {
	for _, policy := range []string{PolicyLeastOutstanding, PolicyTwoChoices, PolicyLeases} {
		for _, agents := range []int{10, 1500} {
			b.Run(fmt.Sprintf("%s/%d", policy, agents), func(b *testing.B) { benchmarkDecision(b, policy, agents) })
		}
	}
}

func benchmarkDecision(b *testing.B, policy string, agents int) {
	d := New(Config{Policy: policy})
	d.SetAgents(agentSet(agents))
	for i := range agents {
		d.SetGrant(uint64(i+1), slotGrant(8, 1))
	}
	const perTeam = 60_000 // more than the timed loop can place
	for team := range 68 {
		d.Add(JobInfo{Job: uint64(team + 1), Team: fmt.Sprint(team), Service: "crop", Tasks: perTeam, Accepted: start}, start)
	}
	placed := make([]Assignment, 0, agents*4)
	for range agents * 4 {
		a, _ := d.Next(start)
		placed = append(placed, a)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := i % len(placed)
		now = now.Add(10 * time.Microsecond)
		d.HandleOutcome(placed[k].Incarnation, placed[k].Job, placed[k].Task, Done, 200*time.Millisecond, now)
		var ok bool
		if placed[k], ok = d.Next(now); !ok {
			b.Fatal("no task could be placed")
		}
	}
}

// BenchmarkSetAgents measures a SetAgents call in which one agent has changed.
func BenchmarkSetAgents(b *testing.B) {
	d := New(Config{})
	set := agentSet(1500)
	d.SetAgents(set)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		set[i%len(set)].Connected = !set[i%len(set)].Connected
		d.SetAgents(set)
	}
}

func agentSet(n int) []Agent {
	set := make([]Agent, n)
	for i := range set {
		set[i] = Agent{Incarnation: uint64(i + 1), Slots: 8, Services: []string{"crop"}, Connected: true}
	}
	return set
}
