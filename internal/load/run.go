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
	// settleTime lets the processes report their last counts.
	settleTime = time.Second
)

// Run submits the workload and returns the report. It ends when every job has
// an answer or has run into its timeout, or with the context.
func Run(ctx context.Context, o Options) (Report, error) {
	o, err := o.Check()
	if err != nil {
		return Report{}, err
	}
	jobs := workload(o)
	before, err := observe(ctx, o)
	if err != nil {
		return Report{}, err
	}
	results := submitAll(ctx, o, jobs)
	if len(o.Metrics) > 0 {
		sleep.For(ctx, settleTime)
	}
	after, err := observe(ctx, o)
	if err != nil {
		return Report{}, err
	}
	return report(o, jobs, results, before, after), ctx.Err()
}

// usage is what the processes had spent at one time.
type usage struct {
	sent map[string]float64
	cpu  map[string]float64
}

func observe(ctx context.Context, o Options) (usage, error) {
	sent, err := sentByKind(ctx, o.Metrics)
	if err != nil {
		return usage{}, err
	}
	cpu, err := cpuByRole(o.Processes)
	return usage{sent: sent, cpu: cpu}, err
}

// counts are the jobs so far.
type counts struct {
	sent, complete, refused, failed atomic.Int64
}

func (c *counts) add(r result) {
	switch {
	case r.complete:
		c.complete.Add(1)
	case r.refused:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// submitAll starts each job at its time, whatever became of the earlier ones.
func submitAll(ctx context.Context, o Options, jobs []submission) []result {
	c := newClient(o, time.Now())
	defer c.close()
	var n counts
	stop := startProgress(o, c.start, &n)
	defer stop()
	results := make([]result, len(jobs))
	var wg sync.WaitGroup
	for i := range jobs {
		if !sleep.For(ctx, time.Until(c.start.Add(jobs[i].Arrival))) {
			results[i].reason = reasonLost
			continue
		}
		n.sent.Add(1)
		wg.Go(func() {
			results[i] = c.do(ctx, i, jobs[i])
			n.add(results[i])
		})
	}
	wg.Wait()
	return results
}

// startProgress prints one line a second until the returned function is called.
func startProgress(o Options, start time.Time, n *counts) func() {
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

func printProgress(o Options, elapsed time.Duration, n *counts) {
	sent, complete, refused, failed := n.sent.Load(), n.complete.Load(), n.refused.Load(), n.failed.Load()
	_, _ = fmt.Fprintf(o.Progress, "%4.0fs  submitted %d  complete %d  refused %d  failed %d  open %d\n",
		elapsed.Seconds(), sent, complete, refused, failed, sent-complete-refused-failed)
}
