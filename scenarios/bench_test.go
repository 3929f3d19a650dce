package scenarios

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"endivewing/internal/load"
)

// benchCase is a fleet and the load that is run on it.
type benchCase struct {
	name          string
	size          fleetSize
	entrySettings string           // additional settings lines of each entry
	minionFlags   map[int][]string // additional command line flags, by minion number
	load          load.Options
}

var defaultSize = fleetSize{control: 3, entry: 3, agent: 10, slots: 8}

// defaultLoad keeps 70% of the slots busy. Jobs have 20 tasks on average and at most
// 390, and the mean run time is 200 ms.
var defaultLoad = load.Options{Duration: 25 * time.Second, Warmup: 3 * time.Second, Load: 0.7, MeanRunTime: 200 * time.Millisecond, Seed: 1}

// oneEntrySize is the fleet for tasks without run time.
var oneEntrySize = fleetSize{control: 3, entry: 1, agent: 10, slots: 8}

// noOpLoad returns a load of jobs that have 100 tasks without run time each.
func noOpLoad(jobsPerSecond float64) load.Options {
	return load.Options{
		Duration: 10 * time.Second, Warmup: 2 * time.Second, Seed: 1,
		JobsPerSecond: jobsPerSecond, TasksMean: 100, TasksMax: 100, Sizes: load.SizesFixed,
	}
}

var benchCases = []benchCase{
	{name: "default", size: defaultSize, load: defaultLoad},
	{name: "least-arrival", size: defaultSize, entrySettings: "  policy: least\n  order: arrival\n", load: defaultLoad},
	{name: "random-arrival", size: defaultSize, entrySettings: "  policy: random\n  order: arrival\n", load: defaultLoad},
	{name: "one-failing", size: defaultSize, minionFlags: map[int][]string{1: {"--fail-ratio", "1"}}, load: defaultLoad},
	{name: "two-slow", size: defaultSize, minionFlags: map[int][]string{1: {"--time-factor", "10"}, 2: {"--time-factor", "10"}}, load: defaultLoad},
	{name: "return-burst", size: defaultSize, entrySettings: "  order: aged\n", load: load.Options{
		Duration: 15 * time.Second, Load: 0.7, MeanRunTime: 200 * time.Millisecond, Seed: 1,
		Bursts: []load.Burst{{At: 2 * time.Second, Length: 10 * time.Second, Factor: 14.3}},
		Teams:  []load.Team{{Name: "large", Share: 39}, {Name: "small", Share: 1}},
	}},
	{name: "no-op", size: oneEntrySize, load: noOpLoad(200)},
	{name: "no-op-24k", size: oneEntrySize, load: noOpLoad(240)},
}

// BenchmarkFleet runs each case on separate processes and prints a report table:
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
	f.extraEntrySettings = c.entrySettings
	f.minionFlags = c.minionFlags
	defer f.close()
	if err := f.launch(c.size); err != nil {
		b.Fatal(err)
	}
	options := c.load
	options.Slots = c.size.agent * c.size.slots
	options.Service = "default"
	f.addLoadTargets(&options)
	report, err := load.Run(context.Background(), options)
	if err != nil {
		b.Fatal(err)
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		b.Fatal(err)
	}
}

// addLoadTargets adds the processes of the fleet to the options of the load tool:
// process IDs, metrics URLs and the URLs of the entries.
func (f *fleet) addLoadTargets(o *load.Options) {
	for _, name := range f.processNames() {
		role, _, _ := strings.Cut(name, "-")
		o.Processes = append(o.Processes, load.Process{Role: role, PID: f.processes[name].PID()})
		if debug := f.listenAddresses[linkKey{anySource, name, "debug"}]; debug != "" {
			o.Metrics = append(o.Metrics, "http://"+debug)
		}
		if role == "entry" {
			o.Entries = append(o.Entries, "http://"+f.listenAddresses[linkKey{anySource, name, "entry"}])
		}
	}
}
