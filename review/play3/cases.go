package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases play a case and report whether the rule was broken.
var cases = map[int]func(w *world, trouble bool) (broken bool, err error){
	11: suspendedMachine,
	12: replacedAsPlanned,
	13: reportOfAnotherWriter,
}

func runCase(args []string) int {
	if len(args) == 0 {
		return exitNotRun
	}
	var number int
	_, _ = fmt.Sscan(args[0], &number)
	f := flag.NewFlagSet("case", flag.ExitOnError)
	folder := f.String("folder", ".", "")
	program := f.String("program", "", "")
	trouble := f.Int("trouble", 1, "")
	_ = f.Parse(args[1:])
	play := cases[number]
	if play == nil {
		return exitNotRun
	}
	w, err := newWorld(*program, *folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go w.closeEarly()
	broken, err := play(w, *trouble != 0)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	default:
		w.note("the rule held")
		return exitHeld
	}
}

// longestPlay is when a play that hangs is ended.
const longestPlay = 115 * time.Second

// closeEarly ends a play that takes too long or is told to end.
func (w *world) closeEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-told:
	case <-time.After(longestPlay):
	}
	w.note("could not run: ended early")
	w.close()
	os.Exit(exitNotRun)
}

// span is a time in which a run was at work, in nanoseconds.
type span struct {
	minion   string
	run      int
	from, to int64
}

// spans returns the runs of each task.
func spans(events []event) map[string][]span {
	type key struct {
		minion, task string
		run          int
	}
	began := map[key]int64{}
	all := map[string][]span{}
	for _, e := range events {
		k := key{e.Minion, e.Task, e.Run}
		switch e.What {
		case "start":
			began[k] = e.At
		case "end":
			all[e.Task] = append(all[e.Task], span{e.Minion, e.Run, began[k], e.At})
			delete(began, k)
		}
	}
	now := time.Now().UnixNano()
	for k, from := range began {
		all[k.task] = append(all[k.task], span{k.minion, k.run, from, now})
	}
	return all
}

// outside cuts the part of a span off that lies in a time in which its machine stood
// still: what was at work before, and what after.
func (s span) outside(from, to int64) []span {
	if to <= s.from || from >= s.to {
		return []span{s}
	}
	var parts []span
	if s.from < from {
		parts = append(parts, span{s.minion, s.run, s.from, from})
	}
	if s.to > to {
		parts = append(parts, span{s.minion, s.run, to, s.to})
	}
	return parts
}

// suspendedMachine is case 11: a side machine is suspended for some seconds, with its
// runner and its minion. The minion's steady clock doesn't count that time, so its lease
// goes on when it wakes. Meanwhile the tasks have been started elsewhere.
func suspendedMachine(w *world, trouble bool) (bool, error) {
	const suspended = 5700 * time.Millisecond
	f, err := w.startFleet(6)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(125 * time.Millisecond):
				clients.Go(func() { w.submit(f, fmt.Sprintf("%016x", rand.Uint64()), "3100 900", 4, 3100, 900, 4) })
			}
		}
	})
	time.Sleep(3 * time.Second)
	var from, to int64
	if trouble {
		w.note("machine side-0 is suspended, with its runner and its minion")
		from = time.Now().UnixNano()
		f.runners[0].signal(syscall.SIGSTOP)
		f.minions[0].signal(syscall.SIGSTOP)
		time.Sleep(suspended)
		w.note("machine side-0 goes on")
		to = time.Now().UnixNano()
		f.minions[0].signal(syscall.SIGCONT)
		f.runners[0].signal(syscall.SIGCONT)
	} else {
		time.Sleep(suspended)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	events, err := w.events(f)
	if err != nil {
		return false, err
	}
	broken := 0
	for task, runs := range spans(events) {
		var parts []span
		for _, s := range runs {
			if s.minion == "i-0" && trouble {
				parts = append(parts, s.outside(from, to)...)
			} else {
				parts = append(parts, s)
			}
		}
		for i, a := range parts {
			for _, b := range parts[i+1:] {
				if both := min(a.to, b.to) - max(a.from, b.from); both > 0 && a.minion != b.minion {
					broken++
					w.note("TWICE: task %s was at work at %s (run %d) and at %s (run %d) for %d ms at the same time", task, a.minion, a.run, b.minion, b.run, both/1e6)
				}
			}
		}
	}
	w.note("%d tasks, %d overlaps", len(spans(events)), broken)
	return broken > 0, nil
}

const (
	// catchUp is how long a machine that is new or back counts as lost (catchUpS).
	catchUp = 4 * time.Second
	// graceTime is the time from SIGTERM to SIGKILL (graceS).
	graceTime = 6 * time.Second
	// recovery is how long the system may take after all machines are back (recoveryS).
	recovery = 12 * time.Second
)

// replacedAsPlanned is case 12: two of three core machines are replaced as planned, the
// new ones first. The old ones stop one after the other when their successors have had
// their time to catch up, so none counts as lost at any time.
func replacedAsPlanned(w *world, trouble bool) (bool, error) {
	const gap = 1300 * time.Millisecond
	f, err := w.startFleet(2)
	if err != nil {
		return false, err
	}
	for version := 2; version <= 5; version++ {
		if err := w.putDocument(f, version); err != nil {
			return false, err
		}
	}
	for core := 3; core <= 4; core++ {
		w.note("core-%d starts, with an empty disk: it is to replace core-%d", core, core-3)
		successor, err := w.startMember(core, false)
		if err != nil {
			return false, err
		}
		f.members, f.operators = append(f.members, successor), append(f.operators, address(w.host(1+core), w.ports.control))
	}
	time.Sleep(catchUp + 2*time.Second)
	acked := 6
	if err := w.putDocument(f, acked); err != nil {
		return false, err
	}
	if trouble {
		for core := range 2 {
			w.note("core-%d gets SIGTERM: it leaves", core)
			f.members[core].signal(syscall.SIGTERM)
			began := time.Now()
			if !f.members[core].ended(graceTime) {
				f.members[core].signal(syscall.SIGKILL)
			}
			w.note("core-%d has ended after %d ms", core, time.Since(began).Milliseconds())
			time.Sleep(gap - time.Since(began))
		}
		f.operators = f.operators[2:]
	}
	time.Sleep(catchUp + recovery)
	return !w.readsBack(f, acked), nil
}

// readsBack has the operator request the desired state at all nodes for 10 s, longer than
// contactMs. It reports whether it came, with the version or a later one.
func (w *world) readsBack(f *fleet, version int) bool {
	answers := map[string]int{}
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, from := range f.operators {
			status, body := request(context.Background(), http.MethodGet, from, "/-/config", "", "", time.Second)
			if status != http.StatusOK {
				answers[fmt.Sprintf("%s: %d", from, status)]++
				continue
			}
			var read struct{ Version int }
			_ = json.Unmarshal([]byte(body), &read)
			w.note("%s answers the read with version %d; %d was acknowledged", from, read.Version, version)
			return read.Version >= version
		}
	}
	w.note("CONFIG: read back for 10 s, the desired state doesn't come; answers: %v", answers)
	return false
}

// drainTime is the time after the acknowledgement of a drain by which no task starts any
// more (drainMs).
const drainTime = 2 * time.Second

// reportOfAnotherWriter is case 13: a report of another writer, with fields missing, comes
// under a minion's name. Later the minion says that it leaves.
func reportOfAnotherWriter(w *world, trouble bool) (bool, error) {
	f, err := w.startFleet(4)
	if err != nil {
		return false, err
	}
	events, err := w.events(f)
	if err != nil {
		return false, err
	}
	if trouble {
		if err := w.sendOddReport(events); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				clients.Go(func() { w.submit(f, fmt.Sprintf("%016x", rand.Uint64()), "3100 200", 4, 3100, 200, 1) })
			}
		}
	})
	time.Sleep(6 * time.Second) // four reports of the minion itself
	w.note("minion i-0 begins to drain")
	f.minions[0].signal(syscall.SIGUSR1)
	time.Sleep(drainTimeLeft)
	close(stop)
	clients.Wait()
	if events, err = w.events(f); err != nil {
		return false, err
	}
	return w.startsAfterDrain(events) > 0, nil
}

// sendOddReport sends a report under the name of i-0 as another writer does: zone, version,
// slots and coldLeftMs are missing, and the number is its own.
func (w *world) sendOddReport(events []event) error {
	host := w.host(40)
	for _, e := range events {
		if e.What != "boot" || e.Minion != "i-0" {
			continue
		}
		body := fmt.Sprintf(`{"service":"svc","addr":%q,"state":"ready","capacity":{"cpu":%d,"memMb":65536,"gpus":0},"labels":["a","r1-1"],"seq":100000,"born":%d}`,
			address(host, w.ports.app), minionCPU, e.Born)
		status, answer := request(context.Background(), http.MethodPut, address(host, w.ports.control), "/-/instances/i-0", "", body, time.Second)
		w.note("another writer reports under the name of i-0: %s; answered %d %s", body, status, answer)
		return nil
	}
	return fmt.Errorf("no boot of i-0 in the record")
}

// startsAfterDrain counts the starts at i-0 later than drainTime after the
// acknowledgement of its drain.
func (w *world) startsAfterDrain(events []event) int {
	var acked int64
	for _, e := range events {
		if e.What == "draining" && e.Minion == "i-0" {
			acked = e.At
		}
	}
	late, last := 0, int64(0)
	for _, e := range events {
		if e.What == "start" && e.Minion == "i-0" && acked != 0 && e.At > acked+drainTime.Nanoseconds() {
			late, last = late+1, e.At-acked
		}
	}
	w.note("DRAIN: %d tasks start at i-0 later than %v after its drain was acknowledged, the last %d ms after it", late, drainTime, last/1e6)
	return late
}
