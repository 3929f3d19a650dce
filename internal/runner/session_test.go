package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/wire"
)

// TestRunsOfAnEarlierSessionAreStopped: a dispatcher that lost its session had
// connected again, and the runs of the earlier session went on until that one
// was silent for long.
func TestRunsOfAnEarlierSessionAreStopped(t *testing.T) {
	b := startFixture(t)
	b.placeTask("a", 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
	b.connect()
	b.waitForMinion(func(running, _ int) bool { return running == 0 })
	assert.DeepEqual(t, b.runner.Dump().(Dump).Dispatchers, []string{"d"})
}

// inLoop is an event that runs a function in the loop.
type inLoop func(l *loop, now time.Time)

func (e inLoop) handle(l *loop, now time.Time) { e(l, now) }

// present returns the runner's end of the session with the dispatcher.
func (b *fixture) present() *wire.Session {
	found := make(chan *wire.Session, 1)
	b.runner.enqueue(inLoop(func(l *loop, _ time.Time) {
		for s := range l.dispatchers {
			found <- s
		}
	}))
	return <-found
}

// TestAnnouncementOnASessionThatEnded: an announcement that a dispatcher had sent
// before it gave a session up brought that session back to life.
func TestAnnouncementOnASessionThatEnded(t *testing.T) {
	b := startFixture(t)
	earlier := b.present()
	b.connect()
	later := b.present()
	assert.Assert(t, later != earlier)
	b.runner.enqueue(dispatcherAnnounced{earlier, 2})
	assert.Assert(t, b.present() == later)
	b.placeTask("a", 0)
	b.waitForMinion(func(running, _ int) bool { return running == 1 })
}
