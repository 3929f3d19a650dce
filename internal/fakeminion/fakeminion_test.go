package fakeminion

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a simulated minion with a record file and a client.
type fixture struct {
	*Minion
	recordPath string
	client     http.Client
}

func startFixture(t *testing.T, opts Options) *fixture {
	t.Helper()
	f := &fixture{recordPath: filepath.Join(t.TempDir(), "record")}
	opts.RecordPath = f.recordPath
	m, err := Start(opts)
	assert.NilError(t, err)
	f.Minion = m
	t.Cleanup(func() {
		m.Stop()
		f.client.CloseIdleConnections()
	})
	return f
}

func (f *fixture) postTask(ctx context.Context, task int, payload string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL()+"/v1/tasks/proof", strings.NewReader(payload))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set(headerJob, "7")
	r.Header.Set(headerTask, strconv.Itoa(task))
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (f *fixture) recordedEvents(t *testing.T) []Event {
	t.Helper()
	lines, err := ReadRecord(f.recordPath)
	assert.NilError(t, err)
	var events []Event
	for i, line := range lines {
		assert.Equal(t, line.Sequence, uint64(i+1))
		events = append(events, line.Event)
	}
	return events
}

func TestPayloadDecidesResult(t *testing.T) {
	cases := []struct {
		name, payload string
		status        int
		event         Event
	}{
		{"hash", "anything", 200, EventEnd},
		{"echo", `{"echo":"abc"}`, 200, EventEnd},
		{"padded", `{"echo":"abc","result_bytes":9}`, 200, EventEnd},
		{"fails", `{"fail":true}`, 500, EventFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startFixture(t, Options{})
			status, body, err := f.postTask(context.Background(), 1, c.payload)
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			if status == 200 {
				assert.Equal(t, body, string(Result([]byte(c.payload))))
			}
			assert.DeepEqual(t, f.recordedEvents(t), []Event{EventStart, c.event})
		})
	}
}

func waitForEvents(t *testing.T, f *fixture, want ...Event) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.recordedEvents(t)) < len(want) {
			return poll.Continue("waiting for %v", want)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
	assert.DeepEqual(t, f.recordedEvents(t), want)
}

func TestCancelledRequestIsRecordedAsStopped(t *testing.T) {
	f := startFixture(t, Options{})
	f.Freeze()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = f.postTask(ctx, 1, "x")
	}()
	waitForEvents(t, f, EventStart)
	cancel()
	<-done
	waitForEvents(t, f, EventStart, EventStopped)
	f.Thaw()
}

func TestTaskAboveSlotLimitIsRefused(t *testing.T) {
	f := startFixture(t, Options{Slots: 1})
	f.Freeze()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = f.postTask(context.Background(), 1, "x")
	}()
	waitForEvents(t, f, EventStart)
	status, _, err := f.postTask(context.Background(), 2, "x")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusTooManyRequests)
	f.Thaw()
	<-done
	assert.DeepEqual(t, f.recordedEvents(t), []Event{EventStart, EventRefused, EventEnd})
}

func TestFailuresDependOnSeedAndTaskAlone(t *testing.T) {
	countFailures := func(seed uint64) int {
		m := &Minion{opts: Options{FailRatio: 0.25, FailSeed: seed}}
		n := 0
		for task := range uint32(10000) {
			if m.shouldFail(taskID{job: 3, task: task}) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, countFailures(1), countFailures(1))
	assert.Assert(t, countFailures(1) != countFailures(2))
	assert.Assert(t, countFailures(1) > 2300 && countFailures(1) < 2700)
}

func TestTaskCrashesTheMinionWhichComesBackEmpty(t *testing.T) {
	f := startFixture(t, Options{Slots: 2})
	innocent := make(chan error, 1)
	go func() {
		_, _, err := f.postTask(context.Background(), 1, `{"sleep_ms":60000}`)
		innocent <- err
	}()
	waitForEvents(t, f, EventStart)
	_, _, err := f.postTask(context.Background(), 2, `{"crash_ms":1}`)
	assert.ErrorContains(t, err, "EOF")
	assert.Assert(t, <-innocent != nil)
	waitForEvents(t, f, EventStart, EventStart, EventCrash, EventStopped)
	address := f.Address()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, _, err := f.postTask(context.Background(), 3, "x")
		if err != nil || status != http.StatusOK {
			return poll.Continue("the minion is not back: %v, %d", err, status)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
	assert.Equal(t, f.Address(), address)
	assert.Equal(t, f.RunningTasks(), 0)
}

func TestMinionIsStoppedWhileItIsDown(t *testing.T) {
	f := startFixture(t, Options{})
	_, _, err := f.postTask(context.Background(), 1, `{"crash_ms":60000}`)
	assert.ErrorContains(t, err, "EOF")
	_, _, err = f.postTask(context.Background(), 2, "x")
	assert.ErrorContains(t, err, "refused")
	assert.DeepEqual(t, f.recordedEvents(t), []Event{EventStart, EventCrash})
}
