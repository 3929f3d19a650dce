package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// casInput is the input of a compare-and-set operation for the linearizability
// checker. casOutput is its output.
type casInput struct {
	name     string
	expected uint64
}

type casOutput struct {
	conflict bool
	revision uint64
}

// casModel models one register per name. Its value is a revision.
var casModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(casInput).name
			byName[name] = append(byName[name], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(uint64), input.(casInput), output.(casOutput)
		if out.conflict {
			return in.expected != now && out.revision == now, now
		}
		return in.expected == now && out.revision > now, out.revision
	},
}

// chaos runs clients against a cluster whose members are killed and restarted.
type chaos struct {
	t       *rapid.T
	cluster *cluster
	start   time.Time

	// stopped is closed after the last member was restarted.
	stopped chan struct{}

	mu      sync.Mutex
	history []porcupine.Operation
	jobs    map[string]uint64
}

// waitNext pauses between two requests. It reports whether the run goes on.
func (x *chaos) waitNext() bool {
	select {
	case <-x.stopped:
		return false
	case <-time.After(3 * time.Millisecond):
		return true
	}
}

// compareAndSet runs compare-and-set operations that conflict with those of
// other clients, and records them in the history.
func (x *chaos) compareAndSet(client controlclient.Control, number int, names []string) {
	known := map[string]uint64{}
	for i := 0; x.waitNext(); i++ {
		name := names[i%len(names)]
		in := casInput{name, known[name]}
		began := time.Since(x.start)
		r, err := client.Apply(context.Background(), &wirepb.ApplyRequest{
			RequestId: fmt.Sprint(number, "-", i), ExpectedRevision: in.expected,
			Resource: &wirepb.Resource{Kind: "team", Name: name},
		})
		if !assert.Check(x.t, err) {
			return
		}
		known[name] = r.Resource.Revision
		x.mu.Lock()
		x.history = append(x.history, porcupine.Operation{
			ClientId: number, Input: in, Call: int64(began),
			Output: casOutput{r.Conflict, r.Resource.Revision}, Return: int64(time.Since(x.start)),
		})
		x.mu.Unlock()
	}
}

// submit accepts jobs for submissions that other clients send too. Each
// submission must get the same job every time.
func (x *chaos) submit(client controlclient.Control, owner uint64) {
	for i := 0; x.waitNext(); i++ {
		submission := fmt.Sprint("s", i)
		r, err := client.Accept(context.Background(), acceptRequest(owner, submission))
		if !assert.Check(x.t, err) {
			return
		}
		x.mu.Lock()
		if known := x.jobs[submission]; known != 0 {
			assert.Check(x.t, known == r.Job.Job, "%s has jobs %d and %d", submission, known, r.Job.Job)
		}
		x.jobs[submission] = r.Job.Job
		x.mu.Unlock()
	}
}

// follow starts a follower. It checks that the revision increases with each
// change and that the epochs of groups never decrease.
func (x *chaos) follow(client controlclient.Control, name string) *controlclient.Follower {
	var revision uint64
	epochs := map[uint64]uint64{}
	return controlclient.Follow(context.Background(), client, controlclient.FollowOptions{
		Instance: entryInstance(name), Log: logr.Discard(), Hold: 20 * time.Millisecond,
		OnChange: func(v *controlclient.View) {
			assert.Check(x.t, v.Revision > revision, "revision went from %d to %d", revision, v.Revision)
			revision = v.Revision
			for group, g := range v.Groups {
				assert.Check(x.t, g.Epoch >= epochs[group], "epoch of %d fell", group)
				epochs[group] = g.Epoch
			}
		},
	})
}

// killMembers kills and restarts members one after the other. Victim 0 is the
// leader; pauses are in milliseconds.
func (x *chaos) killMembers(victims []int, pauses []int) {
	for i, victim := range victims {
		id := uint64(victim)
		if victim == 0 {
			id = x.cluster.leader()
		}
		x.cluster.kill(id)
		time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
		x.cluster.start(id, false)
		x.cluster.leader()
	}
}

// TestPromisesHoldWhileMembersAreKilled checks that operations stay
// linearizable, submissions keep their jobs and followers never see older state
// while members are killed and restarted.
func TestPromisesHoldWhileMembersAreKilled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 25, 25)
		plans := rapid.SliceOfN(names, 3, 3).Draw(rt, "operations")
		victims := rapid.SliceOfN(rapid.IntRange(0, 3), 3, 3).Draw(rt, "victims")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 200), 3, 3).Draw(rt, "pauses")
		snapshots := rapid.Uint64Range(5, 40).Draw(rt, "snapshot entries")
		c := startCluster(t, 3, func(o *Options) {
			o.SnapshotEntries = snapshots
			o.RetainEntries = snapshots / 4
			o.Lease = time.Second
		})
		defer c.stop()
		x := &chaos{t: rt, cluster: c, start: time.Now(), stopped: make(chan struct{}), jobs: map[string]uint64{}}
		var wg sync.WaitGroup
		for i, plan := range plans {
			client := c.client()
			defer client.Close()
			f := x.follow(client, fmt.Sprint("f", i))
			defer f.Close()
			waitUntil(t, "lease", func() bool { return f.LeaseValid(time.Now()) })
			wg.Go(func() { x.compareAndSet(client, i, plan) })
			wg.Go(func() { x.submit(client, f.Incarnation()) })
		}
		x.killMembers(victims, pauses)
		close(x.stopped)
		wg.Wait()
		assert.Assert(rt, len(x.history) > 0)
		assert.Assert(rt, porcupine.CheckOperations(casModel, x.history))
	})
}
