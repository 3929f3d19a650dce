package scenarios

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	randomSeeds = flag.Int("random.seeds", 2, "number of seeds of TestRandomFaults")
	randomFirst = flag.Uint64("random.first", 1, "first seed of TestRandomFaults")
	randomSteps = flag.Int("random.steps", 12, "number of faults in the schedule of each seed")
)

// fault is a kind of fault of a process: how to inject it and how to undo it.
type fault struct {
	name   string
	inject func(f *fleet, process string) error
	undo   func(f *fleet, process string) error
}

var faults = []fault{
	{"kill", func(f *fleet, p string) error { return f.processes[p].Kill() }, (*fleet).start},
	{"stop", func(f *fleet, p string) error { return f.processes[p].Stop() }, (*fleet).start},
	{"freeze", (*fleet).freeze, (*fleet).thaw},
	{"cut", func(f *fleet, p string) error { f.setCut(p, true); return nil },
		func(f *fleet, p string) error { f.setCut(p, false); return nil }},
}

// faultStep is one fault of a schedule.
type faultStep struct {
	fault      fault
	process    string
	duration   time.Duration
	pauseAfter time.Duration
}

// randomSchedule returns the schedule that a seed determines.
func randomSchedule(seed uint64, processes []string, steps int) []faultStep {
	random := rand.New(rand.NewPCG(seed, 2))
	schedule := make([]faultStep, steps)
	for i := range schedule {
		schedule[i] = faultStep{
			fault:      faults[random.IntN(len(faults))],
			process:    processes[random.IntN(len(processes))],
			duration:   time.Duration(200+random.IntN(5000)) * time.Millisecond,
			pauseAfter: time.Duration(random.IntN(1500)) * time.Millisecond,
		}
	}
	return schedule
}

// runSchedule injects the faults of a schedule and undoes each after its duration. At
// most two faults are active at the same time, on different processes.
func runSchedule(t *testing.T, f *fleet, schedule []faultStep) {
	busy := map[string]chan struct{}{}
	semaphore := make(chan struct{}, 2)
	for _, s := range schedule {
		semaphore <- struct{}{}
		if previous := busy[s.process]; previous != nil {
			<-previous
		}
		done := make(chan struct{})
		busy[s.process] = done
		t.Logf("%s %s for %s", s.fault.name, s.process, s.duration)
		go func() {
			defer close(done)
			defer func() { <-semaphore }()
			if err := s.fault.inject(f, s.process); err != nil {
				t.Errorf("%s %s: %v", s.fault.name, s.process, err)
			}
			time.Sleep(s.duration)
			if err := s.fault.undo(f, s.process); err != nil {
				t.Errorf("undo %s %s: %v", s.fault.name, s.process, err)
			}
		}()
		time.Sleep(s.pauseAfter)
	}
	for _, done := range busy {
		<-done
	}
}

// TestRandomFaults injects random faults under load, for each seed, and checks all
// guarantees at the end. Faults overlap, and a process can fail twice. If a seed
// fails, write a script that reproduces the failure. To run more seeds:
// go test ./scenarios -run RandomFaults -random.seeds 50.
func TestRandomFaults(t *testing.T) {
	for i := range uint64(*randomSeeds) {
		seed := *randomFirst + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	f := newFleet(t.TempDir())
	t.Cleanup(f.close)
	if err := f.launch(fleetSize{control: 3, entry: 3, agent: 4, slots: 8}); err != nil {
		t.Fatal(err)
	}
	var processes []string
	for _, name := range f.processNames() {
		if f.processes[name].Args[0] == "serve" {
			processes = append(processes, name)
		}
	}
	schedule := randomSchedule(seed, processes, *randomSteps)
	answered := make(chan []*caller, 1)
	l := callerLoad{jobs: 30 * *randomSteps, maxTasks: 5, maxSleepMS: 60, interval: 70 * time.Millisecond, seed: seed}
	go func() { answered <- l.run(fmt.Sprint("seed-", seed), f.entryClients()) }()
	runSchedule(t, f, schedule)
	callers := <-answered
	violations, err := findViolations(f.minionRecords, callers)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("seed %d: %s", seed, outcomeSummary(callers))
}
