package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runner"
	"endivewing/internal/wire"
)

// TestLastReportComesBeforeTheLossOfItsRunner: ends in the last report of a
// session were dropped, since the loss of the runner was handled first.
func TestLastReportComesBeforeTheLossOfItsRunner(t *testing.T) {
	report := &wirepb.Envelope{Body: &wirepb.Envelope_RunnerReport{RunnerReport: &wirepb.RunnerReport{}}}
	listener, err := wire.Listen("127.0.0.1:0", wire.Options{
		Hello:   func() *wirepb.Hello { return &wirepb.Hello{Role: "runner", Name: "r", Cluster: "c"} },
		Handler: func(s *wire.Session, _ *wirepb.Envelope) { assert.Check(t, s.Send(wire.LaneTraffic, report)) },
		Log:     logr.Discard(),
	})
	assert.NilError(t, err)
	go listener.Serve()
	t.Cleanup(listener.Close)

	p := testProcess("d")
	sessions := make(chan *wire.Session, 1)
	arrived, release := make(chan struct{}), make(chan struct{})
	p.links.connect = func(ctx context.Context, address string, opts wire.Options) (*wire.Session, error) {
		handle := opts.Handler
		opts.Handler = func(s *wire.Session, e *wirepb.Envelope) {
			close(arrived)
			<-release
			handle(s, e)
		}
		s, err := wire.Dial(ctx, address, opts)
		sessions <- s
		return s, err
	}
	go p.links.runSession(&link{address: listener.Address(), name: "r"})
	session := <-sessions
	<-p.events // runnerConnected
	assert.NilError(t, session.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: &wirepb.Announce{}}}))
	<-arrived
	session.Close()
	select {
	case e := <-p.events:
		t.Fatalf("%T came before the report", e)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	_, reported := (<-p.events).(runnerReported)
	assert.Assert(t, reported)
	_, lost := (<-p.events).(runnerLost)
	assert.Assert(t, lost)
}

// TestRunnerWithANewAddressHasOneLink: a runner that was listed under a new
// address while the earlier one still led to it had two sessions with one
// dispatcher, which ended each other in turn.
func TestRunnerWithANewAddressHasOneLink(t *testing.T) {
	p := testProcess("d")
	connects := pendingConnects{make(chan struct{}, 4)}
	p.links.connect = connects.connect
	t.Cleanup(p.links.close)
	listed := func(address string) []*wirepb.Announce {
		return []*wirepb.Announce{{Role: Role, Name: "d"}, {Role: runner.Role, Name: "r", Address: address}}
	}
	p.links.update(listed("127.0.0.1:1"))
	connects.await(1)
	p.links.mu.Lock()
	earlier := p.links.byAddress["127.0.0.1:1"]
	p.links.mu.Unlock()
	assert.Assert(t, !p.links.dropUnneeded(earlier))
	p.links.update(listed("127.0.0.1:2"))
	connects.await(1)
	assert.Assert(t, p.links.dropUnneeded(earlier), "the earlier address is dialed again")
}

// TestAnotherRunnerAtAnAddressIsNotAskedForLostRuns: a runner that took over the
// address of another one was asked for that one's runs, and had none of them.
func TestAnotherRunnerAtAnAddressIsNotAskedForLostRuns(t *testing.T) {
	listener, err := wire.Listen("127.0.0.1:0", wire.Options{
		Hello:   func() *wirepb.Hello { return &wirepb.Hello{Role: "runner", Name: "later", Cluster: "c"} },
		Handler: func(*wire.Session, *wirepb.Envelope) {},
		Log:     logr.Discard(),
	})
	assert.NilError(t, err)
	go listener.Serve()
	t.Cleanup(listener.Close)
	s, err := wire.Dial(t.Context(), listener.Address(), wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: Role, Name: "d", Cluster: "c"} }, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	at := &session{wire: s, link: &link{name: "earlier"}}
	assert.Equal(t, at.runnerName(), "later")
}
