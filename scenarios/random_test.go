package scenarios

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	randomSeeds = flag.Int("random.seeds", 2, "number of seeds of the randomized run")
	randomFirst = flag.Uint64("random.first", 1, "first seed of the randomized run")
	randomSteps = flag.Int("random.steps", 12, "faults that each seed draws")
)

// fault is one thing that can happen to a process, and how it ends.
type fault struct {
	name  string
	begin func(f *fleet, process string) error
	end   func(f *fleet, process string) error
}

var faults = []fault{
	{"kill", func(f *fleet, p string) error { return f.nodes[p].Kill() }, (*fleet).start},
	{"stop", func(f *fleet, p string) error { return f.nodes[p].Stop() }, (*fleet).start},
	{"freeze", (*fleet).freeze, (*fleet).thaw},
	{"cut", func(f *fleet, p string) error { f.setCut(p, true); return nil },
		func(f *fleet, p string) error { f.setCut(p, false); return nil }},
}

// step is one fault of a schedule: at most two processes suffer at a time.
type step struct {
	fault   fault
	process string
	lasts   time.Duration
	pause   time.Duration
}

// drawSchedule makes the schedule of a seed.
func drawSchedule(seed uint64, processes []string, steps int) []step {
	random := rand.New(rand.NewPCG(seed, 2))
	schedule := make([]step, steps)
	for i := range schedule {
		schedule[i] = step{
			fault:   faults[random.IntN(len(faults))],
			process: processes[random.IntN(len(processes))],
			lasts:   time.Duration(200+random.IntN(5000)) * time.Millisecond,
			pause:   time.Duration(random.IntN(1500)) * time.Millisecond,
		}
	}
	return schedule
}

// run carries the schedule out, two lanes at once, and undoes every fault.
func runSchedule(t *testing.T, f *fleet, schedule []step) {
	busy := map[string]chan struct{}{}
	lanes := make(chan struct{}, 2)
	for _, s := range schedule {
		lanes <- struct{}{}
		if former := busy[s.process]; former != nil {
			<-former
		}
		done := make(chan struct{})
		busy[s.process] = done
		t.Logf("%s %s for %s", s.fault.name, s.process, s.lasts)
		go func() {
			defer close(done)
			defer func() { <-lanes }()
			if err := s.fault.begin(f, s.process); err != nil {
				t.Errorf("%s %s: %v", s.fault.name, s.process, err)
			}
			time.Sleep(s.lasts)
			if err := s.fault.end(f, s.process); err != nil {
				t.Errorf("end of %s %s: %v", s.fault.name, s.process, err)
			}
		}()
		time.Sleep(s.pause)
	}
	for _, done := range busy {
		<-done
	}
}

// TestRandomFaults draws faults from a seed, together and twice, under load,
// and judges every promise at the end. A seed that fails is added to a script
// of its own. More seeds: go test ./scenarios -run RandomFaults -random.seeds 50.
func TestRandomFaults(t *testing.T) {
	for i := range uint64(*randomSeeds) {
		seed := *randomFirst + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { randomRun(t, seed) })
	}
}

func randomRun(t *testing.T, seed uint64) {
	f := newFleet(t.TempDir())
	t.Cleanup(f.close)
	if err := f.launch(size{control: 3, entry: 3, agent: 4, slots: 8}); err != nil {
		t.Fatal(err)
	}
	var processes []string
	for _, name := range f.names() {
		if f.nodes[name].Args[0] == "serve" {
			processes = append(processes, name)
		}
	}
	schedule := drawSchedule(seed, processes, *randomSteps)
	answered := make(chan []*caller, 1)
	l := callerLoad{jobs: 30 * *randomSteps, tasks: 5, sleepMS: 60, every: 70 * time.Millisecond, seed: seed}
	go func() { answered <- l.run(fmt.Sprint("seed-", seed), f.entries()) }()
	runSchedule(t, f, schedule)
	callers := <-answered
	breaches, err := judge(f.minions, callers)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range breaches {
		t.Error(b)
	}
	t.Logf("seed %d: %s", seed, summary(callers))
}
