package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/desired"
	"endivewing/internal/dispatch"
	"endivewing/internal/runner"
	"endivewing/internal/runtable"
	"endivewing/internal/steadytime"
	"endivewing/internal/wire"
)

// hangGuard is longer than any test.
const hangGuard = time.Hour

// testProcess is a dispatcher whose loop the test drives itself.
func testProcess(name string) *Process {
	return newProcess(Options{Name: name, Zone: "a", Cluster: "c", Log: logr.Discard()}, hangGuard)
}

// TestJobsAreGivenUpAfterStandingStill: a process that was suspended may not go
// on with its jobs. Runners have stopped them, and callers went elsewhere.
func TestJobsAreGivenUpAfterStandingStill(t *testing.T) {
	l := testProcess("d").loop
	now := time.Now()
	room := runtable.Need{CPU: 4000, Memory: 100}
	l.core.Report(now, 1, dispatch.Room{Service: "s", Endpoint: "i", Capacity: room, Free: room, Ready: true})
	answer := make(chan dispatch.Answer, 1)
	submitted{&dispatch.Job{
		ID: "j", Service: "s", Arrived: now, Objective: now.Add(time.Minute), Limit: now.Add(time.Minute),
		Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
	}, answer}.handle(l, now)
	l.flush()
	l.checkStall()
	l.flush()
	assert.Equal(t, len(answer), 0)
	l.lastTick = steadytime.Now() - 2*stallAfter
	l.checkStall()
	l.flush()
	assert.Equal(t, len(answer), 1)
	assert.Equal(t, (<-answer).Reason, dispatch.ReasonStalled)
	assert.Equal(t, l.core.Jobs(), 0)
}

// announcements are runners of a large fleet, without those named in gone.
func announcements(n int, gone ...int) []*wirepb.Announce {
	var all []*wirepb.Announce
	for i := range 31 {
		all = append(all, &wirepb.Announce{Role: Role, Name: fmt.Sprint("d", i)})
	}
	missing := map[int]bool{}
	for _, i := range gone {
		missing[i] = true
	}
	for i := range n {
		if !missing[i] {
			all = append(all, &wirepb.Announce{Role: runner.Role, Name: fmt.Sprint("r", i), Address: fmt.Sprint("127.0.0.1:", i+1)})
		}
	}
	return all
}

// pendingConnects holds a connection attempt to each runner open until the links
// are closed: a link without an attempt under way is dropped once it is surplus.
type pendingConnects struct{ began chan struct{} }

func (c pendingConnects) connect(ctx context.Context, _ string, _ wire.Options) (*wire.Session, error) {
	c.began <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// await returns once n more attempts are under way.
func (c pendingConnects) await(n int) {
	for range n {
		<-c.began
	}
}

// count tells how many links there are, and how many of them are surplus.
func (l *links) count(now time.Time) (known, surplus int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.known {
		known++
		if !k.unwanted.IsZero() && now.Sub(k.unwanted) >= retireAfter {
			surplus++
		}
	}
	return known, surplus
}

// TestLinksFollowThePartOfALargeFleet: a dispatcher dials a part of the runners.
// Substitutes of runners that were lost are given up once those are back for a
// while; runners that are lost for a moment stay.
func TestLinksFollowThePartOfALargeFleet(t *testing.T) {
	p := testProcess("d1")
	connects := pendingConnects{make(chan struct{}, 160)}
	p.links.connect = connects.connect
	t.Cleanup(p.links.close)
	p.links.update(announcements(160))
	part, _ := p.links.count(time.Now())
	assert.Assert(t, part >= 32 && part <= 40, "%d", part)
	connects.await(part)

	var lost []int
	for i := range 40 {
		lost = append(lost, 4*i)
	}
	p.links.update(announcements(160, lost...))
	more, surplus := p.links.count(time.Now().Add(2 * retireAfter))
	assert.Assert(t, more > part, "%d of %d", more, part)
	connects.await(more - part)
	assert.Equal(t, surplus, 0)

	p.links.update(announcements(160))
	_, surplus = p.links.count(time.Now())
	assert.Equal(t, surplus, 0)
	_, surplus = p.links.count(time.Now().Add(2 * retireAfter))
	assert.Equal(t, surplus, more-part)
}

// TestCallersWaitForTheStart: a request that comes before the configuration and
// the first runner waits for both, and no longer than the window.
func TestCallersWaitForTheStart(t *testing.T) {
	p := testProcess("d")
	served := make(chan struct{})
	go func() {
		p.AwaitStart(t.Context())
		close(served)
	}()
	p.table.Store(desired.NewTable(&desired.Document{Version: 1}))
	p.loop.flush()
	select {
	case <-served:
		t.Fatal("served without a runner")
	default:
	}
	room := runtable.Need{CPU: 4000, Memory: 100}
	p.loop.core.Report(time.Now(), 1, dispatch.Room{Service: "s", Endpoint: "i", Capacity: room, Free: room, Ready: true})
	p.loop.flush()
	<-served

	late := testProcess("d")
	late.start = newStartGate(0)
	late.AwaitStart(t.Context())
}
