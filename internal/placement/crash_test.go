package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashBed is a dispatcher with three agents of 4 slots each. Each job has one task.
type crashBed struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Time
	lastJob uint64
}

func newCrashBed(t *testing.T) *crashBed {
	d := New(Config{Seed: 1, Policy: PolicyLeastOutstanding})
	var agents []Agent
	for i := range uint64(3) {
		agents = append(agents, Agent{Incarnation: i + 1, Slots: 4, Services: []string{"crop"}, Connected: true})
	}
	d.SetAgents(agents)
	return &crashBed{t: t, d: d, now: start}
}

// place adds jobs and returns the tasks that are placed at agent 1. The tasks at the
// other agents are done.
func (b *crashBed) place(jobs int) []Assignment {
	for range jobs {
		b.lastJob++
		b.d.Add(cropJob(b.lastJob, 1), b.now)
	}
	var atFirst, elsewhere []Assignment
	for a, ok := b.d.Next(b.now); ok; a, ok = b.d.Next(b.now) {
		if a.Incarnation == 1 {
			atFirst = append(atFirst, a)
		} else {
			elsewhere = append(elsewhere, a)
		}
	}
	for _, a := range elsewhere {
		b.end(a, Done)
	}
	return atFirst
}

func (b *crashBed) end(a Assignment, o Outcome) {
	b.d.HandleOutcome(a.Incarnation, a.Job, a.Task, o, 50*time.Millisecond, b.now)
}

func (b *crashBed) endAll(all []Assignment, o Outcome) {
	b.now = b.now.Add(50 * time.Millisecond)
	for _, a := range all {
		b.end(a, o)
	}
}

// TestOneCrashPutItsEndpointOutOfUse lets one crash end all tasks that ran at a minion.
// The endpoint is used again at once, with one task and after that with all its slots.
func TestOneCrashPutItsEndpointOutOfUse(t *testing.T) {
	b := newCrashBed(t)
	b.endAll(b.place(40), Done)
	atFirst := b.place(40)
	assert.Assert(t, len(atFirst) >= 4, "%v", atFirst)
	b.endAll(atFirst, Crashed)

	next := b.place(40)
	assert.Equal(t, len(next), 1, "tasks at the endpoint after the crash")
	b.endAll(next, Done)
	assert.Assert(t, len(b.place(40)) >= 4)
}

// TestMinionThatCrashesAgainAndAgainIsOutOfUse lets one task after another crash a
// minion.
func TestMinionThatCrashesAgainAndAgainIsOutOfUse(t *testing.T) {
	b := newCrashBed(t)
	b.endAll(b.place(40), Done)
	crashes := 0
	for ; crashes < 10; crashes++ {
		atFirst := b.place(40)
		if len(atFirst) == 0 {
			break
		}
		b.endAll(atFirst, Crashed)
	}
	assert.Equal(t, crashes, streakToEject)
}
