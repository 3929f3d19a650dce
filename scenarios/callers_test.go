package scenarios

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"endivewing/api/job"
	"endivewing/internal/apiclient"
	"endivewing/internal/standin"
)

// callerLoad is a set of callers that submit jobs while a script goes on.
type callerLoad struct {
	jobs    int
	tasks   int // tasks of each job, at most; at least one
	sleepMS int // longest run time of a task
	every   time.Duration
	seed    uint64
	// fail is the share of tasks that end without a result, in percent.
	fail int
	// cancel is the share of jobs that their callers cancel, in percent.
	cancel int
}

// caller is one submission and what its caller was told in the end.
type caller struct {
	submission *job.Submission
	cancels    bool
	answer     *job.Job
	// refused is set when the last word was a refusal.
	refused *job.Error
	// err is set when the caller gave up without any word.
	err error
	// notRunUntil is when the first try was sent of which the caller doesn't
	// know that it did not run, in Unix nanoseconds: all before it, if any, were
	// refused as not run. Nothing may start earlier.
	notRunUntil int64
	// doubtful: there was such a try.
	doubtful bool
	// refusals counts the tries that were refused as not run.
	refusals int
}

// triesOfACaller bounds how often a caller comes back with the same ID.
const triesOfACaller = 40

// run submits all jobs and waits until each caller has its last word.
func (l callerLoad) run(name string, entries []*apiclient.Client) []*caller {
	random := rand.New(rand.NewPCG(l.seed, 1))
	callers := make([]*caller, l.jobs)
	var wg sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{
			submission: l.submission(random, fmt.Sprintf("%s-%d", name, i)),
			cancels:    random.IntN(100) < l.cancel,
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			callers[i].insist(entries, i)
		}()
		time.Sleep(l.every)
	}
	wg.Wait()
	return callers
}

func (l callerLoad) submission(random *rand.Rand, id string) *job.Submission {
	s := &job.Submission{SubmissionID: id, Team: "school", Service: "default", TimeoutMs: 60000}
	s.Unrepeatable = random.IntN(2) == 0
	for t := range 1 + random.IntN(l.tasks) {
		p := standin.Payload{
			SleepMS: float64(random.IntN(l.sleepMS + 1)),
			Echo:    fmt.Sprintf("%s/%d:%d", id, t, random.Uint64()),
			Fail:    random.IntN(100) < l.fail,
		}
		data, err := json.Marshal(p)
		if err != nil {
			panic(err)
		}
		s.Tasks = append(s.Tasks, job.Task{Data: data})
	}
	return s
}

// insist submits at one entry after another until there is a last word: a
// whole answer, a failure, or a refusal after all tries.
func (c *caller) insist(entries []*apiclient.Client, first int) {
	if c.cancels {
		c.submitAndCancel(entries, first)
	}
	for try := range triesOfACaller {
		entry := entries[(first+try)%len(entries)]
		j, err := c.submit(entry, 5*time.Second)
		c.refused, c.err = nil, nil
		if err == nil && j.State != job.Open {
			c.answer = j
			return
		}
		if err != nil && !errors.As(err, &c.refused) {
			c.err = err
		}
		if err != nil {
			time.Sleep(time.Duration(100+try*20) * time.Millisecond)
		}
	}
	if c.err == nil && c.refused == nil {
		c.err = errors.New("the job is still open after all tries")
	}
}

// submit tries once and notes whether the try is known not to have run.
func (c *caller) submit(entry *apiclient.Client, wait time.Duration) (*job.Job, error) {
	if !c.doubtful {
		c.notRunUntil = time.Now().UnixNano()
	}
	j, err := entry.Submit(context.Background(), c.submission, wait)
	var refused *job.Error
	if errors.As(err, &refused) && refused.NotRun {
		c.refusals++
	} else {
		c.doubtful = true
	}
	return j, err
}

// submitAndCancel submits without waiting and cancels through another entry.
// Both may fail; insist then learns what became of the job.
func (c *caller) submitAndCancel(entries []*apiclient.Client, first int) {
	j, err := c.submit(entries[first%len(entries)], 0)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(first%5) * 10 * time.Millisecond)
	_, _ = entries[(first+1)%len(entries)].Cancel(context.Background(), j.ID)
}
