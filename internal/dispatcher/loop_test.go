package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
	"endivewing/internal/dispatch"
	"endivewing/internal/fleetconfig"
	"endivewing/internal/runner"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// unlimitedWindow is a start window longer than any test.
const unlimitedWindow = time.Hour

// testProcess returns a dispatcher whose loop is driven by the test.
func testProcess(name string) *Process {
	return newProcess(Options{Name: name, Zone: "a", Cluster: "c", Log: logr.Discard()}, unlimitedWindow)
}

// TestJobsEndAfterAPauseOfTheProcess: a process that was suspended must not
// continue its jobs. Runners have stopped them, and callers have retried
// elsewhere.
func TestJobsEndAfterAPauseOfTheProcess(t *testing.T) {
	l := testProcess("d").loop
	now := time.Now()
	capacity := runtable.Need{CPU: 4000, Memory: 100}
	l.core.UpdateRunner(now, 1, dispatch.RunnerStatus{Service: "s", Endpoint: "i", Capacity: capacity, Free: capacity, Ready: true})
	answer := make(chan dispatch.Answer, 1)
	jobSubmitted{&dispatch.Job{
		ID: "j", Service: "s", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
		Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
	}, answer}.handle(l, now)
	l.flush()
	l.checkStall()
	l.flush()
	assert.Equal(t, len(answer), 0)
	l.lastTick = boottime.Now() - 2*stallTimeout
	l.checkStall()
	l.flush()
	assert.Equal(t, len(answer), 1)
	assert.Equal(t, (<-answer).Reason, dispatch.ReasonStalled)
	assert.Equal(t, l.core.Jobs(), 0)
}

// announcements returns 31 dispatchers and n runners of a large fleet, without
// the runners at the indexes in gone.
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

// pendingConnects holds a connection attempt to each runner open until the
// links are closed. A link without an attempt in progress would be dropped once
// it is surplus.
type pendingConnects struct{ began chan struct{} }

func (c pendingConnects) connect(ctx context.Context, _ string, _ wire.Options) (*wire.Session, error) {
	c.began <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// await returns once n more attempts are in progress.
func (c pendingConnects) await(n int) {
	for range n {
		<-c.began
	}
}

// count returns the number of links, and how many of them are surplus.
func (l *links) count(now time.Time) (known, surplus int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.byAddress {
		known++
		if !k.unwantedSince.IsZero() && now.Sub(k.unwantedSince) >= surplusTimeout {
			surplus++
		}
	}
	return known, surplus
}

// TestLinksFollowTheSubset: a dispatcher dials a subset of the
// runners. Substitutes of lost runners become surplus once the lost runners
// have been back for a while. Runners that are lost for a moment stay.
func TestLinksFollowTheSubset(t *testing.T) {
	p := testProcess("d1")
	connects := pendingConnects{make(chan struct{}, 160)}
	p.links.connect = connects.connect
	t.Cleanup(p.links.close)
	p.links.update(announcements(160))
	initial, _ := p.links.count(time.Now())
	assert.Assert(t, initial >= 32 && initial <= 40, "%d", initial)
	connects.await(initial)

	var lost []int
	for i := range 40 {
		lost = append(lost, 4*i)
	}
	p.links.update(announcements(160, lost...))
	withSubstitutes, surplus := p.links.count(time.Now().Add(2 * surplusTimeout))
	assert.Assert(t, withSubstitutes > initial, "%d of %d", withSubstitutes, initial)
	connects.await(withSubstitutes - initial)
	assert.Equal(t, surplus, 0)

	p.links.update(announcements(160))
	_, surplus = p.links.count(time.Now())
	assert.Equal(t, surplus, 0)
	_, surplus = p.links.count(time.Now().Add(2 * surplusTimeout))
	assert.Equal(t, surplus, withSubstitutes-initial)
}

// TestCallersWaitForTheStart: a request that comes before the configuration and
// the first runner waits for both, but no longer than the start window.
func TestCallersWaitForTheStart(t *testing.T) {
	p := testProcess("d")
	served := make(chan struct{})
	go func() {
		p.AwaitStart(t.Context())
		close(served)
	}()
	p.table.Store(fleetconfig.NewRouteTable(&fleetconfig.Document{Version: 1}))
	p.loop.flush()
	select {
	case <-served:
		t.Fatal("served without a runner")
	default:
	}
	capacity := runtable.Need{CPU: 4000, Memory: 100}
	p.loop.core.UpdateRunner(time.Now(), 1, dispatch.RunnerStatus{Service: "s", Endpoint: "i", Capacity: capacity, Free: capacity, Ready: true})
	p.loop.flush()
	<-served

	late := testProcess("d")
	late.start = newStartGate(0)
	late.AwaitStart(t.Context())
}

// TestJobReadAfterAPauseOfTheProcess: a request that had waited in its connection
// while the process was suspended was run at once. Its caller had sent the job
// to another dispatcher meanwhile.
func TestJobReadAfterAPauseOfTheProcess(t *testing.T) {
	l := testProcess("d").loop
	now := time.Now()
	capacity := runtable.Need{CPU: 4000, Memory: 100}
	l.core.UpdateRunner(now, 1, dispatch.RunnerStatus{Service: "s", Endpoint: "i", Capacity: capacity, Free: capacity, Ready: true})
	answer := make(chan dispatch.Answer, 2)
	submit := func(id string) {
		l.checkStall()
		jobSubmitted{&dispatch.Job{
			ID: id, Service: "s", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
			Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
		}, answer}.handle(l, now)
		l.flush()
	}
	l.lastTick = boottime.Now() - 2*stallTimeout
	submit("old")
	assert.Equal(t, l.core.Jobs(), 0)
	a := <-answer
	assert.Equal(t, a.Result, dispatch.GivenUp)
	assert.Equal(t, a.Reason, dispatch.ReasonStalled)
	l.resumedAt -= 2 * backlogReadTime
	submit("new")
	assert.Equal(t, l.core.Jobs(), 1)
	assert.Equal(t, len(answer), 0)
}
