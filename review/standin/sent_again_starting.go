package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["sent-again-while-starting"] = sentAgainWhileStarting }

const (
	// rounds is how often the dispatcher is killed.
	rounds = 10
	// startsAt is when in a round the dispatcher starts again, downFor after it was killed:
	// too short for two missed readiness checks, so that it stays in rotation.
	startsAt, downFor = 2500 * time.Millisecond, 800 * time.Millisecond
	// betweenBreaks is the time from one broken channel to the next one.
	betweenBreaks = 3 * time.Millisecond
	// jobsARound jobs come in a round; the channels of every second one break. Their tasks
	// fill half of the minions.
	jobsARound = 200
)

// sentAgainWhileStarting: half of the channels of a dispatcher's callers break at the
// infrastructure, one after the other; each of these callers sends its job again after resend, to another dispatcher. With the
// disruption that dispatcher is killed, and starts again while the jobs come.
func sentAgainWhileStarting(rec *record, trouble bool) (finding, error) {
	c, err := newCluster(rec, 3, 11)
	if err != nil {
		return finding{}, err
	}
	defer c.stop(keepLogs())
	if err := c.start(document(1)); err != nil {
		return finding{}, err
	}
	served := 0
	var longest overlap
	for range rounds {
		n, err := c.restartRound(trouble)
		if err != nil {
			return finding{}, err
		}
		served += n
		worst := longestOverlap(c.runs())
		if worst.time > longest.time {
			longest = worst
		}
	}
	if longest.time > 0 {
		return finding{true, fmt.Sprintf("TWICE: two runs of one task at work at once for %v: %v, %v; %d of %d jobs answered 200",
			longest.time.Round(time.Millisecond), longest.a, longest.b, served, rounds*jobsARound)}, nil
	}
	if served == 0 {
		return finding{}, fmt.Errorf("no job was served")
	}
	return finding{false, fmt.Sprintf("no two runs of one task at once; %d of %d jobs answered 200", served, rounds*jobsARound)}, nil
}

// restartRound plays one kill and start of the second dispatcher. It returns how many jobs
// were answered 200.
func (c *cluster) restartRound(trouble bool) (served int, err error) {
	vip, err := newRelay(c.at(11, c.ports.relay), c.front(0))
	if err != nil {
		return 0, err
	}
	defer vip.close()
	second := c.dispatchers[1]
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	const work, sending = 3000, 2 * time.Millisecond
	const limit = 6 * time.Second
	// The first job comes again at firstAgain, the last one jobsARound/2*betweenBreaks later.
	const firstAgain = startsAt - jobsARound/2*betweenBreaks/4
	const firstBreak = firstAgain - resend
	at(firstBreak - jobsARound*sending - 100*time.Millisecond)
	body := job([]step{{Count: 1, CPU: 900, MemMb: 64, EstRuntimeMs: work}}, work)
	var callers sync.WaitGroup
	var mu sync.Mutex
	for range jobsARound {
		path := "/print/" + jobID()
		callers.Go(func() {
			a := c.request("POST", vip.listener.Addr().String(), path, body, limit)
			for range 2 {
				if a.status != 0 && a.status != 504 {
					break
				}
				time.Sleep(resend)
				a = c.request("POST", c.front(1), path, body, limit)
			}
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
			}
		})
		time.Sleep(sending)
	}
	at(firstBreak)
	c.rec.add("channels of callers break one by one", nil)
	var breaks sync.WaitGroup
	breaks.Go(func() {
		for i := range jobsARound / 2 {
			at(firstBreak + time.Duration(i)*betweenBreaks)
			vip.breakCaller(2 * i)
		}
	})
	if trouble {
		at(startsAt - downFor)
		c.kill(second)
		at(startsAt)
		if err := c.startProcess(second, false); err != nil {
			return served, err
		}
	}
	breaks.Wait()
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	return served, nil
}
