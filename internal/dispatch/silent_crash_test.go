package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// TestDeadlyTaskOfSilentMinions: minions that crash are silent (nobody refuses a connection) and
// back after 3.2 s, so their crashes are known only then; their leases end the runs after 0.92 s.
// The task may be started at most twice after the third crash.
func TestDeadlyTaskOfSilentMinions(t *testing.T) {
	for _, beside := range []bool{false, true} {
		d := largeFleet(12)
		d.Submit(ms(0), namedJob("deadly", 1))
		at := map[int][]func(){}
		starts, third, after := 0, -1, 0
		take := func(now int) {
			for _, p := range d.TakeOutput().Placements {
				starts++
				k, runner, run := starts, p.Runner, p.Runs[0]
				if third >= 0 && now > third {
					after++
				}
				if k == 3 {
					third = now
				}
				runs := []runtable.RunID{run}
				if beside { // another task is started just after it
					runs = append(runs, runOf(fmt.Sprint("x", k), 0, 1))
				}
				at[now+920] = append(at[now+920], func() {
					d.RunEnded(ms(now+920), runner, TaskEnd{RunID: run, Outcome: runtable.Stopped, Reason: runtable.ReasonLeaseExpired})
				})
				at[now+3200] = append(at[now+3200], func() {
					d.MinionCrashed(ms(now+3200), Crash{Endpoint: fmt.Sprint("m", runner), StartedUnixMs: int64(k), Runs: runs})
				})
			}
		}
		for now := 0; now < 9000; now++ {
			for _, do := range at[now] {
				do()
			}
			if now%10 == 0 {
				d.Tick(ms(now))
			}
			take(now)
		}
		assert.Check(t, after <= 2, "beside another: %v, %d starts, %d of them after the third crash", beside, starts, after)
	}
}

// TestCutMinionsFailedAnInnocentTask: leases that end at minions that are only cut off are no reason before the fourth
// minion, and the crash of a minion counts once, whether its lease or its crash is known first.
func TestCutMinionsFailedAnInnocentTask(t *testing.T) {
	cases := []struct {
		name    string
		events  string // l: a lease ends at the minion that follows, c: it crashes
		givenUp bool
	}{
		{"three leases", "l1 l2 l3", false},
		{"four leases", "l1 l2 l3 l4", true},
		{"leases at one minion", "l1 l1 l1 l1 l1", false},
		{"crashes after their leases", "l1 c1 l2 c2 l3 c3", false},
		{"leases after their crashes", "c1 l1 c2 l2 c3 l3", false},
		{"two crashes and two leases", "c1 c2 l3 l4", true},
	}
	for _, c := range cases {
		m := newCrashMemory()
		name := runOf("a", 0, 1).TaskID
		for event := range strings.FieldsSeq(c.events) {
			kind, endpoint := event[:1], event[1:]
			if kind == "l" {
				m.of("a").addLapse(name, endpoint)
				continue
			}
			later := runOf("x", 0, 1) // it speaks more against the one that was started last
			m.count(ms(0), &Crash{Endpoint: endpoint, StartedUnixMs: 1, Runs: []runtable.RunID{runOf("a", 0, 1), later}})
		}
		assert.Check(t, m.of("a").mustGiveUp(name) == c.givenUp, c.name)
	}
}
