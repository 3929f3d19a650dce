package controlmember

import (
	"slices"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/directory"
	"endivewing/internal/wire"
)

// sharingDispatcher is a dispatcher that is connected to one member. It keeps what the
// member reports of others.
type sharingDispatcher struct {
	*directory.Client
	mu     sync.Mutex
	member *wire.Session
	others map[string]*wirepb.SharedJobs
}

func connectSharing(t *testing.T, name, address string) *sharingDispatcher {
	d := &sharingDispatcher{others: map[string]*wirepb.SharedJobs{}}
	d.Client = directory.Start(directory.Options{
		Seeds:      []string{address},
		Wire:       wire.Options{Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Name: name, Cluster: "test"} }, Log: logr.Discard()},
		Announce:   func() *wirepb.Announce { return &wirepb.Announce{Role: "dispatcher", Name: name} },
		OnChange:   func(directory.View) {},
		SharedJobs: d,
		Log:        logr.Discard(),
	})
	t.Cleanup(d.Close)
	return d
}

func (d *sharingDispatcher) MemberConnected(s *wire.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.member = s
}

func (d *sharingDispatcher) JobsShared(_ *wire.Session, update *wirepb.SharedJobsUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range update.Left {
		delete(d.others, name)
	}
	for name, jobs := range update.Dispatchers {
		d.others[name] = jobs
	}
}

func (d *sharingDispatcher) MemberLost(*wire.Session) {}

func (d *sharingDispatcher) connected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.member != nil
}

// share sends the dispatcher's old jobs to the member.
func (d *sharingDispatcher) share(t *testing.T, sequence uint64, old ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	message := &wirepb.SharedJobs{Old: old, Sequence: sequence}
	assert.NilError(t, d.member.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_SharedJobs{SharedJobs: message}}))
}

// sees reports whether the member has reported these old jobs of another dispatcher.
func (d *sharingDispatcher) sees(name string, old ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	jobs, known := d.others[name]
	return known && slices.Equal(jobs.Old, old)
}

func (d *sharingDispatcher) knows(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.others[name] != nil
}

// TestSharedJobsReachTheOtherDispatchers: also one that connects later, and without a
// leader. A dispatcher that leaves shares no jobs.
func TestSharedJobsReachTheOtherDispatchers(t *testing.T) {
	g := newGroup(t)
	g.start(1, "disk1", true)
	first, second := connectSharing(t, "d1", g.address(1)), connectSharing(t, "d2", g.address(1))
	g.waitFor("both dispatchers are connected", func() bool { return first.connected() && second.connected() })
	first.share(t, 1, "a")
	g.waitFor("the second dispatcher knows the job", func() bool { return second.sees("d1", "a") })
	first.share(t, 2, "b", "c")
	g.waitFor("the second dispatcher knows the later jobs", func() bool { return second.sees("d1", "b", "c") })
	third := connectSharing(t, "d3", g.address(1))
	g.waitFor("a third dispatcher knows the jobs", func() bool { return third.sees("d1", "b", "c") })
	first.Close()
	g.waitFor("the first dispatcher has left", func() bool { return !second.knows("d1") && !third.knows("d1") })
}
