package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/resubmission"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// sharingLoop is the loop of a dispatcher that shares jobs with one other. The test
// carries the messages.
type sharingLoop struct {
	*loop
	t      *testing.T
	name   string
	member *wire.Session
	sent   uint64
}

func newSharingLoop(t *testing.T, name string, now time.Time) *sharingLoop {
	l := &sharingLoop{loop: testProcess(name).loop, t: t, name: name, member: new(wire.Session)}
	capacity := runtable.Need{CPU: 4000, Memory: 100}
	l.core.UpdateRunner(now, 1, dispatch.RunnerStatus{Service: "s", Endpoint: "i", Capacity: capacity, Free: capacity, Ready: true})
	return l
}

func (l *sharingLoop) submit(now time.Time) chan dispatch.Answer {
	answer := make(chan dispatch.Answer, 1)
	jobSubmitted{&dispatch.Job{
		ID: "j", Service: "s", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
		Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
	}, answer}.handle(l.loop, now)
	return answer
}

// shareWith passes the shared jobs on, if they have changed.
func (l *sharingLoop) shareWith(other *sharingLoop, now time.Time) {
	l.shareJobs(now)
	if l.shared.sequence == l.sent {
		return
	}
	l.sent = l.shared.sequence
	jobs := l.shared.sharer.Shared()
	message := &wirepb.SharedJobs{Old: jobs.Old, Wanted: jobs.Wanted, Sequence: l.sent}
	jobsShared{other.member, &wirepb.SharedJobsUpdate{Dispatchers: map[string]*wirepb.SharedJobs{l.name: message}}}.handle(other.loop, now)
}

// TestJobSentToASecondDispatcherRanBesideItsEarlierRuns: the connection of a caller
// broke, and its dispatcher was not told. The second dispatcher starts the job once the
// first one has given it up and its runs have ended.
func TestJobSentToASecondDispatcherRanBesideItsEarlierRuns(t *testing.T) {
	begin := time.Now()
	first, second := newSharingLoop(t, "d1", begin), newSharingLoop(t, "d2", begin)
	answer := first.submit(begin)
	placed := first.core.TakeOutput().Placements
	assert.Equal(t, len(placed), 1)

	old := begin.Add(resubmission.MinAge)
	first.shareWith(second, old)
	again := begin.Add(1300 * time.Millisecond)
	second.submit(again)
	assert.Equal(t, len(second.core.TakeOutput().Placements), 0)

	second.shareWith(first, again)
	first.flush()
	assert.Equal(t, len(answer), 1)
	assert.Equal(t, (<-answer).Reason, dispatch.ReasonElsewhere)
	first.shareWith(second, again)
	assert.Equal(t, len(second.core.TakeOutput().Placements), 0)

	ended := again.Add(20 * time.Millisecond)
	first.core.RunEnded(ended, 1, dispatch.TaskEnd{RunID: placed[0].Runs[0], Outcome: runtable.Stopped})
	first.shareWith(second, ended)
	assert.Equal(t, len(second.core.TakeOutput().Placements), 1)
}

// TestJobDoesNotWaitForADispatcherThatHasGone: it has left the last member that
// reported it, or the session with that member has ended.
func TestJobDoesNotWaitForADispatcherThatHasGone(t *testing.T) {
	now := time.Now()
	gone := map[string]func(l *sharingLoop){
		"dispatcher": func(l *sharingLoop) {
			jobsShared{l.member, &wirepb.SharedJobsUpdate{Left: []string{"d1"}}}.handle(l.loop, now)
		},
		"member": func(l *sharingLoop) { memberLost{l.member}.handle(l.loop, now) },
	}
	for name, handle := range gone {
		l := newSharingLoop(t, "d2", now)
		jobs := map[string]*wirepb.SharedJobs{"d1": {Old: []string{"j"}, Sequence: 1}}
		jobsShared{l.member, &wirepb.SharedJobsUpdate{Dispatchers: jobs}}.handle(l.loop, now)
		l.submit(now)
		assert.Equal(t, len(l.core.TakeOutput().Placements), 0, name)
		handle(l)
		assert.Equal(t, len(l.core.TakeOutput().Placements), 1, name)
	}
}

// TestOwnSharedJobsAreIgnored: a job that comes back to its own dispatcher does not wait
// for itself.
func TestOwnSharedJobsAreIgnored(t *testing.T) {
	now := time.Now()
	l := newSharingLoop(t, "d1", now)
	jobs := map[string]*wirepb.SharedJobs{"d1": {Old: []string{"j"}, Wanted: []string{"j"}, Sequence: 1}}
	jobsShared{l.member, &wirepb.SharedJobsUpdate{Dispatchers: jobs}}.handle(l.loop, now)
	l.submit(now)
	assert.Equal(t, len(l.core.TakeOutput().Placements), 1)
}
