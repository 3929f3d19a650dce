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
	"endivewing/internal/fakeminion"
)

// callerLoad configures callers that submit jobs while a script injects faults.
// Each caller submits one job.
type callerLoad struct {
	jobs       int
	maxTasks   int           // each job has 1 to maxTasks tasks
	maxSleepMS int           // longest run time of a task, in milliseconds
	interval   time.Duration // between the first submissions of two callers
	seed       uint64
	// failPercent is the share of tasks whose payload makes them fail, in percent.
	failPercent int
	// cancelPercent is the share of jobs that their callers cancel, in percent.
	cancelPercent int
	// crashPercent is the share of tasks that make their minion crash, in percent.
	// The minion is back after crashMS milliseconds.
	crashPercent, crashMS int
}

// caller is one submission and the final outcome that its caller received: exactly
// one of answer, refused and err is set.
type caller struct {
	submission *job.Submission
	// cancels reports whether the caller cancels the job.
	cancels bool
	// answer is the complete or failed job.
	answer *job.Job
	// refused is set if the last attempt was refused.
	refused *job.Error
	// err is set if the caller gave up without an answer or refusal.
	err error
	// earliestStartNS is the time when the first attempt that may have run was
	// sent, in Unix nanoseconds. All attempts before it were refused as not run,
	// so no task may start earlier. If every attempt was refused as not run, it
	// is the time of the last attempt.
	earliestStartNS int64
	// mayHaveRun reports whether any attempt may have run, that is, was not
	// refused as not run.
	mayHaveRun bool
	// notRunRefusals counts the attempts that were refused as not run.
	notRunRefusals int
}

// maxTries bounds how often a caller sends its submission.
const maxTries = 40

// run submits all jobs and waits until each caller has its final outcome.
func (l callerLoad) run(name string, entries []*apiclient.Client) []*caller {
	random := rand.New(rand.NewPCG(l.seed, 1))
	callers := make([]*caller, l.jobs)
	var wg sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{
			submission: l.submission(random, fmt.Sprintf("%s-%d", name, i)),
			cancels:    random.IntN(100) < l.cancelPercent,
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			callers[i].submitUntilFinal(entries, i)
		}()
		time.Sleep(l.interval)
	}
	wg.Wait()
	return callers
}

// submission returns a random job with the given submission ID. The payload of each
// task is unique.
func (l callerLoad) submission(random *rand.Rand, id string) *job.Submission {
	s := &job.Submission{SubmissionID: id, Team: "school", Service: "default", TimeoutMs: 60000}
	s.Unrepeatable = random.IntN(2) == 0
	for t := range 1 + random.IntN(l.maxTasks) {
		p := fakeminion.Payload{
			SleepMS: float64(random.IntN(l.maxSleepMS + 1)),
			Echo:    fmt.Sprintf("%s/%d:%d", id, t, random.Uint64()),
			Fail:    random.IntN(100) < l.failPercent,
		}
		if l.crashPercent > 0 && random.IntN(100) < l.crashPercent {
			p.CrashMS = float64(l.crashMS)
		}
		data, err := json.Marshal(p)
		if err != nil {
			panic(err)
		}
		s.Tasks = append(s.Tasks, job.Task{Data: data})
	}
	return s
}

// submitUntilFinal repeats the submission with the same ID at one entry after
// another until the job is complete or has failed. After maxTries attempts the
// last refusal or error is the final outcome.
func (c *caller) submitUntilFinal(entries []*apiclient.Client, first int) {
	if c.cancels {
		c.submitAndCancel(entries, first)
	}
	for try := range maxTries {
		entry := entries[(first+try)%len(entries)]
		j, err := c.submitOnce(entry, 5*time.Second)
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
		c.err = errors.New("the job is still open after all attempts")
	}
}

// submitOnce sends the submission once and records whether it may have run.
func (c *caller) submitOnce(entry *apiclient.Client, wait time.Duration) (*job.Job, error) {
	if !c.mayHaveRun {
		c.earliestStartNS = time.Now().UnixNano()
	}
	j, err := entry.Submit(context.Background(), c.submission, wait)
	var refused *job.Error
	if errors.As(err, &refused) && refused.NotRun {
		c.notRunRefusals++
	} else {
		c.mayHaveRun = true
	}
	return j, err
}

// submitAndCancel submits without waiting for the result and cancels the job through
// another entry. Both requests may fail; submitUntilFinal then determines the
// outcome of the job.
func (c *caller) submitAndCancel(entries []*apiclient.Client, first int) {
	j, err := c.submitOnce(entries[first%len(entries)], 0)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(first%5) * 10 * time.Millisecond)
	_, _ = entries[(first+1)%len(entries)].Cancel(context.Background(), j.ID)
}
