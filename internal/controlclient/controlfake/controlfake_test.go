package controlfake_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/controlclient/controlfake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func entry(name string) *wirepb.Instance {
	return &wirepb.Instance{Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: name}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond))
}

func TestFollowerRegistersAgainWhenFenced(t *testing.T) {
	fake := controlfake.New()
	fenced := make(chan uint64, 1)
	f := controlclient.Follow(context.Background(), fake, controlclient.FollowOptions{
		Instance: entry("a"), Log: logr.Discard(), Hold: 20 * time.Millisecond,
		OnFenced: func(incarnation uint64) { fenced <- incarnation },
	})
	defer f.Close()
	waitFor(t, "lease", func() bool { return f.LeaseValid(time.Now()) })
	first := f.Incarnation()
	assert.Assert(t, f.View().Live(first))
	fake.EndIncarnation(first)
	assert.Equal(t, <-fenced, first)
	waitFor(t, "new lease", func() bool { return f.LeaseValid(time.Now()) })
	assert.Assert(t, f.Incarnation() > first)
	assert.Assert(t, f.View().GroupEnded(first))
	assert.Assert(t, !f.View().GroupEnded(f.Incarnation()))
}

func TestDrainAndLeaveReachOtherFollowers(t *testing.T) {
	fake := controlfake.New()
	opts := controlclient.FollowOptions{Instance: entry("a"), Log: logr.Discard(), Hold: time.Minute}
	a := controlclient.Follow(context.Background(), fake, opts)
	opts.Instance = entry("b")
	b := controlclient.Follow(context.Background(), fake, opts)
	defer b.Close()
	waitFor(t, "b sees a", func() bool { return b.View().Live(a.Incarnation()) && a.LeaseValid(time.Now()) })
	a.Drain()
	waitFor(t, "b sees a draining", func() bool { return b.View().Instances[a.Incarnation()].GetDraining() })
	assert.NilError(t, a.Leave(context.Background(), true))
	assert.Assert(t, !a.LeaseValid(time.Now()))
	waitFor(t, "b sees the end of a", func() bool { return !b.View().Live(a.Incarnation()) })
}
