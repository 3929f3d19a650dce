package scenarios

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"endivewing/internal/load"
)

// benchCase is a fleet and a load on it.
type benchCase struct {
	name    string
	size    size
	entry   string // settings lines of the entries
	minions map[int][]string
	load    load.Options
}

var usual = size{control: 3, entry: 3, agent: 10, slots: 8}

// exponential is the usual load: 70% of the slots, jobs of 20 tasks on average
// and up to 390, run times around 200 ms.
var exponential = load.Options{Duration: 25 * time.Second, Warmup: 3 * time.Second, Load: 0.7, MeanRunTime: 200 * time.Millisecond, Seed: 1}

// oneEntry is a fleet for tasks without work.
var oneEntry = size{control: 3, entry: 1, agent: 10, slots: 8}

// noOp is a load of jobs of 100 tasks without work.
func noOp(jobsPerSecond float64) load.Options {
	return load.Options{
		Duration: 10 * time.Second, Warmup: 2 * time.Second, Seed: 1,
		JobsPerSecond: jobsPerSecond, TasksMean: 100, TasksMax: 100, Sizes: load.SizesFixed,
	}
}

var benchCases = []benchCase{
	{name: "default", size: usual, load: exponential},
	{name: "least-arrival", size: usual, entry: "  policy: least\n  order: arrival\n", load: exponential},
	{name: "random-arrival", size: usual, entry: "  policy: random\n  order: arrival\n", load: exponential},
	{name: "one-failing", size: usual, minions: map[int][]string{1: {"--fail-ratio", "1"}}, load: exponential},
	{name: "two-slow", size: usual, minions: map[int][]string{1: {"--time-factor", "10"}, 2: {"--time-factor", "10"}}, load: exponential},
	{name: "return-burst", size: usual, entry: "  order: aged\n", load: load.Options{
		Duration: 15 * time.Second, Load: 0.7, MeanRunTime: 200 * time.Millisecond, Seed: 1,
		Bursts: []load.Burst{{At: 2 * time.Second, Length: 10 * time.Second, Factor: 14.3}},
		Teams:  []load.Team{{Name: "large", Share: 39}, {Name: "small", Share: 1}},
	}},
	{name: "no-op", size: oneEntry, load: noOp(200)},
	{name: "no-op-24k", size: oneEntry, load: noOp(240)},
}

// BenchmarkFleet loads separate processes and prints a table for each case:
// go test ./scenarios -run XXX -bench Fleet/default -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, c := range benchCases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				c.run(b)
			}
		})
	}
}

func (c benchCase) run(b *testing.B) {
	f := newFleet(b.TempDir())
	f.direct = true
	f.entryLines = c.entry
	f.minionFlags = c.minions
	defer f.close()
	if err := f.launch(c.size); err != nil {
		b.Fatal(err)
	}
	options := c.load
	options.Slots = c.size.agent * c.size.slots
	options.Service = "default"
	f.observe(&options)
	report, err := load.Run(context.Background(), options)
	if err != nil {
		b.Fatal(err)
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		b.Fatal(err)
	}
}

// observe tells the load tool where the processes are.
func (f *fleet) observe(o *load.Options) {
	for _, name := range f.names() {
		role, _, _ := strings.Cut(name, "-")
		o.Processes = append(o.Processes, load.Process{Role: role, PID: f.nodes[name].PID()})
		if debug := f.serving[linkKey{anyone, name, "debug"}]; debug != "" {
			o.Metrics = append(o.Metrics, "http://"+debug)
		}
		if role == "entry" {
			o.Entries = append(o.Entries, "http://"+f.serving[linkKey{anyone, name, "entry"}])
		}
	}
}
