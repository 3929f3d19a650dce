package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["other-kind"] = otherKind }

const (
	// crashDown is how long a minion that has crashed is down.
	crashDown = 80 * time.Millisecond
	// betweenCrashes is the time from one crash to the next, of another minion.
	betweenCrashes = time.Second
	crashes        = 33
)

// otherKind: minions crash and start again under their id, as another kind.
func otherKind(rec *record, trouble bool) (finding, error) {
	c, err := newCluster(rec, 3, 11)
	if err != nil {
		return finding{}, err
	}
	defer c.stop(keepLogs())
	// Eight of the eleven minions are of kind a. Each crash turns one into the other kind.
	labels := func(i, crashes int) []string {
		kind := "a"
		if (i%4 == 3) != (crashes%2 == 1) {
			kind = "b"
		}
		return []string{kind, fmt.Sprintf("r%d", i/3)}
	}
	for i, m := range c.minions {
		m.firstReport = 50 * time.Millisecond
		if err := m.start(labels(i, 0)); err != nil {
			return finding{}, err
		}
	}
	if err := c.start(document(1)); err != nil {
		return finding{}, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	body := job([]step{{Count: 4, CPU: 3100, MemMb: 64, EstRuntimeMs: 60, Constraints: "a"}}, 60)
	var mu sync.Mutex
	served, asked := 0, 0
	for i := range 3 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				a := c.request("POST", c.front((i+n)%3), "/print/"+jobID(), body, 1500*time.Millisecond)
				mu.Lock()
				asked++
				if a.status == 200 && strings.Contains(a.body, "completed") {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	crashed := make([]int, len(c.minions))
	for n := range crashes {
		i := n * 4 % len(c.minions)
		crashed[i]++
		if trouble {
			c.minions[i].crash()
			time.Sleep(crashDown)
			if err := c.minions[i].start(labels(i, crashed[i])); err != nil {
				return finding{}, err
			}
		}
		time.Sleep(betweenCrashes)
	}
	close(stop)
	callers.Wait()
	var wrong []run
	for _, r := range c.runs() {
		if r.Labels[0] != "a" {
			wrong = append(wrong, r)
		}
	}
	if len(wrong) > 0 {
		return finding{true, fmt.Sprintf("ROUTE: %d starts at minions without the label of the step, such as %v; %d of %d jobs served", len(wrong), wrong[0], served, asked)}, nil
	}
	if served == 0 {
		return finding{}, fmt.Errorf("no job was served")
	}
	return finding{false, fmt.Sprintf("all starts at minions with the label; %d of %d jobs served", served, asked)}, nil
}
