package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// ackRecorder records the acknowledgements that a start of the minion accepts.
type ackRecorder struct {
	*fakeMinion
	mu   sync.Mutex
	acks map[int64]uint64 // by start
}

func (m *ackRecorder) Poll(ctx context.Context, c PollCall) (PollAnswer, error) {
	lists, err := m.fakeMinion.Poll(ctx, c)
	if err == nil && lists.Status == Accepted {
		m.mu.Lock()
		m.acks[lists.StartedUnixMs] = max(m.acks[lists.StartedUnixMs], c.AckedEnd)
		m.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	return lists, err
}

// acked returns the highest acknowledgement that a start has accepted.
func (m *ackRecorder) acked(startedUnixMs int64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acks[startedUnixMs]
}

// TestEndsOfALaterStartAreNotAcknowledgedUnseen: a poll that is meant for an earlier start of the same name
// acknowledged ends of the later one, which counts its ends from 1 again.
func TestEndsOfALaterStartAreNotAcknowledgedUnseen(t *testing.T) {
	m := &ackRecorder{fakeMinion: newFakeMinion("i-1", 10), acks: map[int64]uint64{}}
	m.update(func(f *fakeMinion) {
		for run := range uint32(3) {
			f.addEnd(runtable.RunID{TaskID: runtable.TaskID{Job: "earlier", Index: run}, Run: 1}, runtable.Done)
		}
	})
	p, err := Start(Options{
		Cluster: "c", Name: "r", Zone: "z", ListenAddress: "127.0.0.1:0", Minion: m, StopTimeout: time.Second, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { p.Stop(context.Background()) })
	p.Report(t.Context(), reportOfMinion("i-1", 10, 1))
	waitForDump(t, p, func(Dump) bool { return m.acked(10) == 3 })
	m.update(func(f *fakeMinion) { f.silent = true }) // it crashes
	time.Sleep(50 * time.Millisecond)
	m.restart("i-1", 20)
	m.update(func(f *fakeMinion) { f.silent = false })
	waitForDump(t, p, func(Dump) bool { return p.announce().Minion.StartedUnixMs == 20 })
	assert.Equal(t, m.acked(20), uint64(0), "ends of the later start that nobody has seen are acknowledged")
}
