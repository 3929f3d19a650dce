package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["cancelled"] = cancelled }

const (
	cancelBound = 3 * time.Second       // bounds.cancel_ms
	stopBound   = 50 * time.Millisecond // bounds.stopGraceMs
)

// cancelled: one of four callers cancels its job while it runs. The job has a step of long
// tasks and one that follows them.
func cancelled(rec *record, trouble bool) (finding, error) {
	c, err := newCluster(rec, 3, 11)
	if err != nil {
		return finding{}, err
	}
	defer c.stop(keepLogs())
	if err := c.start(document(1)); err != nil {
		return finding{}, err
	}
	// The longest tasks of the site file.
	const work = 3600
	const limit = 1500*time.Millisecond + 2*work*1600*time.Microsecond
	first := step{Count: 4, CPU: 3100, MemMb: 64, EstRuntimeMs: work}
	second := first
	second.After = []int{0}
	body := job([]step{first, second}, work)
	id := jobID()
	path := "/print/" + id
	var others sync.WaitGroup
	for range 3 {
		others.Go(func() { c.request("POST", c.front(0), "/print/"+jobID(), body, limit) })
	}
	posted := make(chan answer, 1)
	go func() { posted <- c.request("POST", c.front(0), path, body, limit) }()
	time.Sleep(100 * time.Millisecond)
	var acknowledged time.Time
	var a answer
	if trouble {
		a = c.request("DELETE", c.front(0), path, "", 5*time.Second)
		acknowledged = time.Now()
	}
	end := <-posted
	others.Wait()
	time.Sleep(200 * time.Millisecond)
	runs := slices.DeleteFunc(c.runs(), func(r run) bool { return !strings.HasPrefix(r.Task, id) })
	if len(runs) == 0 {
		return finding{}, fmt.Errorf("nothing was started: %v", end)
	}
	if !trouble {
		if end.status != 200 {
			return finding{}, fmt.Errorf("job not served: %v", end)
		}
		return finding{false, fmt.Sprintf("job answered %d %s", end.status, end.body)}, nil
	}
	if a.status/100 != 2 && a.status != 410 {
		return finding{}, fmt.Errorf("cancel not acknowledged: %v", a)
	}
	startedLate, atWorkLate := 0, 0
	var last time.Duration
	for _, r := range runs {
		if r.Started.After(acknowledged.Add(cancelBound)) {
			startedLate++
		}
		if r.Ended.IsZero() || r.Ended.After(acknowledged.Add(cancelBound+stopBound)) {
			atWorkLate++
		}
		last = max(last, r.Ended.Sub(acknowledged))
	}
	if startedLate+atWorkLate > 0 {
		return finding{true, fmt.Sprintf("UNASKED: the cancel was acknowledged with %d; %d tasks were started over %v after that, %d were at work over %v after it, the last until %v; the job was answered %d %s",
			a.status, startedLate, cancelBound, atWorkLate, cancelBound+stopBound, last.Round(time.Millisecond), end.status, end.body)}, nil
	}
	return finding{false, fmt.Sprintf("cancel answered %d, job answered %d", a.status, end.status)}, nil
}
