package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"endivewing/internal/sleep"
)

const (
	progressInterval = time.Second
	// settleTime is the pause after the last answer in which the processes publish
	// their last counts.
	settleTime = time.Second
)

// Run submits the workload and returns the report. It returns when every job has
// an answer or has timed out, or when the context is done.
func Run(ctx context.Context, o Options) (Report, error) {
	o, err := o.Check()
	if err != nil {
		return Report{}, err
	}
	jobs := workload(o)
	before, err := measureUsage(ctx, o)
	if err != nil {
		return Report{}, err
	}
	results := submitAll(ctx, o, jobs)
	if len(o.Metrics) > 0 {
		sleep.For(ctx, settleTime)
	}
	after, err := measureUsage(ctx, o)
	if err != nil {
		return Report{}, err
	}
	return newReport(o, jobs, results, before, after), ctx.Err()
}

// usage holds the totals of the processes at one time, since their start.
type usage struct {
	sent map[string]float64 // messages sent, by kind
	cpu  map[string]float64 // processor seconds, by role
}

func measureUsage(ctx context.Context, o Options) (usage, error) {
	sent, err := sentByKind(ctx, o.Metrics)
	if err != nil {
		return usage{}, err
	}
	cpu, err := cpuByRole(o.Processes)
	return usage{sent: sent, cpu: cpu}, err
}

// jobCounts counts the jobs so far, for the progress lines.
type jobCounts struct {
	submitted, complete, refused, failed atomic.Int64
}

func (c *jobCounts) add(r result) {
	switch {
	case r.complete:
		c.complete.Add(1)
	case r.refused:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// submitAll submits each job at its arrival time, whatever the outcome of earlier
// ones, and returns the results in the order of jobs.
func submitAll(ctx context.Context, o Options, jobs []submission) []result {
	c := newClient(o, time.Now())
	defer c.close()
	var n jobCounts
	stop := startProgress(o, c.start, &n)
	defer stop()
	results := make([]result, len(jobs))
	var wg sync.WaitGroup
	for i := range jobs {
		if !sleep.For(ctx, time.Until(c.start.Add(jobs[i].Arrival))) {
			results[i].reason = reasonNoAnswer
			continue
		}
		n.submitted.Add(1)
		wg.Go(func() {
			results[i] = c.submit(ctx, i, jobs[i])
			n.add(results[i])
		})
	}
	wg.Wait()
	return results
}

// startProgress prints the job counts once per second until the returned function
// is called.
func startProgress(o Options, start time.Time, n *jobCounts) func() {
	if o.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-tick.C:
				printProgress(o, now.Sub(start), n)
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func printProgress(o Options, elapsed time.Duration, n *jobCounts) {
	sent, complete, refused, failed := n.submitted.Load(), n.complete.Load(), n.refused.Load(), n.failed.Load()
	_, _ = fmt.Fprintf(o.Progress, "%4.0fs  submitted %d  complete %d  refused %d  failed %d  open %d\n",
		elapsed.Seconds(), sent, complete, refused, failed, sent-complete-refused-failed)
}
