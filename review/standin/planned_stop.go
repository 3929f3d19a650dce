package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["planned-stop"] = plannedStop }

const (
	// grace is the time from SIGTERM to SIGKILL (bounds.graceS).
	grace = 6 * time.Second
	// lossSlack is bounds.lossSlackMs.
	lossSlack = 200 * time.Millisecond
)

// plannedStop: a dispatcher is stopped by SIGTERM while one of its jobs waits between two
// steps for minions that others' work fills.
func plannedStop(rec *record, trouble bool) (finding, error) {
	c, err := newCluster(rec, 3, 11)
	if err != nil {
		return finding{}, err
	}
	defer c.stop(keepLogs())
	// The last three minions are of kind b.
	for i, m := range c.minions {
		kind := "a"
		if i >= 8 {
			kind = "b"
		}
		if err := m.start([]string{kind, fmt.Sprintf("r%d", i/3)}); err != nil {
			return finding{}, err
		}
	}
	d := document(1).(fields)
	d["routes"].([]fields)[0]["timeoutMs"] = 20000
	if err := c.start(d); err != nil {
		return finding{}, err
	}
	const limit = 12 * time.Second
	stopped := time.Now()
	if trouble {
		c.signal(c.dispatchers[0], syscall.SIGTERM)
	}
	at := func(d time.Duration) { time.Sleep(time.Until(stopped.Add(d))) }

	at(300 * time.Millisecond)
	id := jobID()
	long := func(work int64, s step) step {
		s.MemMb, s.EstRuntimeMs = 64, work
		return s
	}
	// Each task works for as long as its step's estimate.
	first := long(1200, step{Count: 4, CPU: 3100, Constraints: "a"})
	second := long(1200, step{Count: 3, CPU: 20000, Constraints: "b", After: []int{0}})
	sent := time.Now()
	var ended time.Time
	got := make(chan answer, 1)
	go func() {
		a := c.request("POST", c.front(0), "/print/"+id, job([]step{first, second}, 1200), limit)
		ended = time.Now()
		got <- a
	}()

	at(1300 * time.Millisecond)
	other := long(4700, step{Count: 3, CPU: 32000, Constraints: "b", AntiAffinity: 1})
	filled := make(chan answer, 1)
	go func() { filled <- c.request("POST", c.front(1), "/print/"+jobID(), job([]step{other}, 4700), limit) }()

	a := <-got
	if f := <-filled; f.status != 200 {
		return finding{}, fmt.Errorf("the other job was not served: %v", f)
	}
	if trouble {
		<-c.dispatchers[0].ended
	}
	started, lastWork := 0, time.Time{}
	for _, r := range c.runs() {
		if strings.HasPrefix(r.Task, id) && r.Started.Before(ended) {
			started++
			if r.Ended.After(lastWork) {
				lastWork = r.Ended
			}
		}
	}
	if a.status != 0 {
		return finding{false, fmt.Sprintf("the job was answered %d %s after %v", a.status, a.body, ended.Sub(sent).Round(time.Millisecond))}, nil
	}
	if started == 0 {
		return finding{}, fmt.Errorf("the job had not been passed on: %v", a)
	}
	held, cut := ended.Sub(sent), ended.Sub(stopped)
	// Not counted: the caller's limit was reached, or a minion was still at work on the job
	// in the last sixth of the grace period.
	if !trouble || held >= limit || held <= lossSlack || cut > grace+time.Second || lastWork.After(stopped.Add(grace*5/6)) {
		return finding{}, fmt.Errorf("the job ended without an answer for a reason that does not count: %v after %v", a, held)
	}
	return finding{true, fmt.Sprintf("LOST: %v after the SIGTERM the channel ended without an answer (%s), %v after the request and after %d starts; no minion had been at work on it for %v",
		cut.Round(time.Millisecond), a.err, held.Round(time.Millisecond), started, ended.Sub(lastWork).Round(time.Millisecond))}, nil
}
