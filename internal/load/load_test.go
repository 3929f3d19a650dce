package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/api/job"
)

// fakeEntry completes every submission at once, but refuses the third one and
// closes the connection on the fifth one without a response.
type fakeEntry struct{ posts atomic.Int64 }

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		_, _ = fmt.Fprintf(w, "# TYPE endivewing_wire_sent counter\n"+
			"endivewing_wire_sent{kind=\"StartTask\"} %d\nendivewing_wire_sent{kind=\"Demand\"} 7\n", f.posts.Load())
		return
	}
	var s job.Submission
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch f.posts.Add(1) {
	case 3:
		w.WriteHeader(http.StatusTooManyRequests)
		_ = json.NewEncoder(w).Encode(job.Error{Code: job.CodeRefused, NotRun: true})
	case 5:
		panic(http.ErrAbortHandler)
	default:
		_ = json.NewEncoder(w).Encode(job.Job{State: job.Complete, Tasks: len(s.Tasks), Results: make([]job.Result, len(s.Tasks))})
	}
}

func TestRunCountsEveryJobOnce(t *testing.T) {
	server := httptest.NewServer(&fakeEntry{})
	defer server.Close()
	rep, err := Run(context.Background(), Options{
		Entries: []string{server.URL}, Metrics: []string{server.URL}, Seed: 1, Slots: 8,
		Duration: 200 * time.Millisecond, JobsPerSecond: 200, MeanRunTime: time.Millisecond, MaxDeclaredFactor: 10,
	})
	assert.NilError(t, err)
	assert.Equal(t, rep.Refused, 1)
	assert.Equal(t, rep.RefusedMaybeRun, 0)
	assert.Equal(t, rep.Resubmissions, 1)
	assert.Equal(t, rep.Complete, rep.Jobs-1)
	assert.Equal(t, rep.Lag.Count, int64(rep.Complete))
	var table bytes.Buffer
	assert.NilError(t, rep.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "StartTask"), table.String())
}

func TestWorkloadIsRepeatableAndHasItsMeans(t *testing.T) {
	for _, sizes := range []string{SizesGeometric, SizesMixed} {
		o, err := Options{
			Entries: []string{"x"}, Seed: 7, Slots: 80, Duration: 1000 * time.Second, MeanRunTime: 200 * time.Millisecond,
			Sizes: sizes, Bursts: []Burst{{At: 500 * time.Second, Length: 10 * time.Second, Factor: 10}},
		}.Check()
		assert.NilError(t, err)
		jobs := workload(o)
		assert.DeepEqual(t, jobs[5].RunTimes, workload(o)[5].RunTimes)
		tasks, inBurst := 0, 0
		for _, s := range jobs {
			tasks += len(s.RunTimes)
			if s.Arrival >= 500*time.Second && s.Arrival < 510*time.Second {
				inBurst++
			}
		}
		mean := float64(tasks) / float64(len(jobs))
		assert.Assert(t, mean > 18 && mean < 22, "%s: mean %f", sizes, mean)
		assert.Assert(t, inBurst > 1200 && inBurst < 1600, "%d", inBurst)
	}
}

func TestCheckReportsEveryFinding(t *testing.T) {
	_, err := Options{Sizes: "odd", MaxDeclaredFactor: 0.5}.Check()
	for _, finding := range []string{"entries", "slots", "duration", "sizes", "declared off"} {
		assert.ErrorContains(t, err, finding)
	}
}
