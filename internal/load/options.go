// Package load submits jobs to running entries at times that do not depend on
// the answers, and reports how far the answers lag behind the ideal.
package load

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the run-time distributions.
const (
	RunsExponential = "exponential"
	RunsFixed       = "fixed"
	RunsUniform     = "uniform"   // between 0 and twice the mean
	RunsLognormal   = "lognormal" // sigma 1
)

// Names of the job-size distributions.
const (
	// SizesGeometric are geometric with the given mean, cut at the maximum.
	SizesGeometric = "geometric"
	// SizesMixed are geometric, but one job in 50 is uniform up to the
	// maximum; the mean of all is as given.
	SizesMixed = "mixed"
	SizesFixed = "fixed"
)

// Team is one submitter of jobs.
type Team struct {
	Name string `json:"name"`
	// Share is the team's part of the arrivals relative to the others.
	Share float64 `json:"share"`
}

// Burst multiplies the arrival rate for a while.
type Burst struct {
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"`
	Factor float64       `json:"factor"`
}

// Process is a process of the system whose processor time is reported.
type Process struct {
	Role string `json:"role"`
	PID  int    `json:"pid"`
}

// Options describe one run.
type Options struct {
	// Entries are the HTTP addresses of the entries; jobs go to them in turn.
	Entries []string `json:"entries"`
	Seed    uint64   `json:"seed"`
	// Duration is how long jobs arrive; answers are awaited afterwards.
	Duration time.Duration `json:"duration"`
	// Warmup is left out of the lag figures.
	Warmup time.Duration `json:"warmup"`
	// Slots of all minions together, for the ideal and the arrival rate.
	Slots int `json:"slots"`
	// Load is the arriving work as a part of what the slots can do. It is used
	// when JobsPerSecond is 0.
	Load          float64 `json:"load"`
	JobsPerSecond float64 `json:"jobsPerSecond"`
	// TasksMean and TasksMax describe the job sizes.
	TasksMean float64 `json:"tasksMean"`
	TasksMax  int     `json:"tasksMax"`
	Sizes     string  `json:"sizes"`
	// RunMean is the mean run time of a task; 0 is a task without work.
	RunMean time.Duration `json:"runMean"`
	Runs    string        `json:"runs"`
	// DeclaredOff: declared run times are the true ones times a factor that is
	// log-uniform between 1/DeclaredOff and DeclaredOff; 1 is exact and 0
	// declares nothing.
	DeclaredOff float64 `json:"declaredOff"`
	Service     string  `json:"service"`
	Teams       []Team  `json:"teams"`
	Bursts      []Burst `json:"bursts"`
	// Timeout is how long a caller waits for a whole answer.
	Timeout time.Duration `json:"timeout"`
	// RetryRefused submits refused jobs again after the advised time.
	RetryRefused bool `json:"retryRefused"`
	// Connections bounds the connections to each entry.
	Connections int `json:"connections"`
	// Metrics are the addresses of the /metrics pages of all processes.
	Metrics   []string  `json:"metrics"`
	Processes []Process `json:"processes"`
	// Progress receives one line a second; nil is none.
	Progress io.Writer `json:"-"`
}

const (
	defaultTasksMean   = 20
	defaultTasksMax    = 390
	defaultLoad        = 0.7
	defaultTimeout     = time.Minute
	defaultConnections = 1024
	defaultTeam        = "bench"
)

// Check returns the options with defaults, or an error with every finding.
func (o Options) Check() (Options, error) {
	o = o.withDefaults()
	var findings []string
	add := func(bad bool, format string, args ...any) {
		if bad {
			findings = append(findings, fmt.Sprintf(format, args...))
		}
	}
	add(len(o.Entries) == 0, "entries: none given")
	add(o.Slots <= 0, "slots: must be above 0")
	add(o.Duration <= 0, "duration: must be above 0")
	add(o.Warmup < 0 || o.Warmup >= o.Duration, "warmup: must be shorter than the duration")
	add(o.TasksMean < 1 || o.TasksMax < 1, "tasks: mean and maximum must be at least 1")
	add(o.JobsPerSecond <= 0 && (o.RunMean <= 0 || o.Load <= 0), "load: needs a run time, or give jobs per second")
	add(!known(o.Runs, RunsExponential, RunsFixed, RunsUniform, RunsLognormal), "runs: unknown name %q", o.Runs)
	add(!known(o.Sizes, SizesGeometric, SizesMixed, SizesFixed), "sizes: unknown name %q", o.Sizes)
	add(o.DeclaredOff != 0 && o.DeclaredOff < 1, "declared off: must be 0 or at least 1")
	for i, b := range o.Bursts {
		add(b.Factor <= 0 || b.Length <= 0, "bursts[%d]: factor and length must be above 0", i)
	}
	for i, t := range o.Teams {
		add(t.Share <= 0 || t.Name == "", "teams[%d]: needs a name and a share above 0", i)
	}
	if len(findings) > 0 {
		return o, eris.Errorf("load options: %q", findings)
	}
	return o, nil
}

func known(name string, names ...string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (o Options) withDefaults() Options {
	o.TasksMean = cmp.Or(o.TasksMean, defaultTasksMean)
	o.TasksMax = cmp.Or(o.TasksMax, defaultTasksMax)
	o.Load = cmp.Or(o.Load, defaultLoad)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.Connections = cmp.Or(o.Connections, defaultConnections)
	o.Runs = cmp.Or(o.Runs, RunsExponential)
	o.Sizes = cmp.Or(o.Sizes, SizesGeometric)
	if len(o.Teams) == 0 {
		o.Teams = []Team{{Name: defaultTeam, Share: 1}}
	}
	return o
}

// rate is the mean number of jobs a second outside bursts.
func (o Options) rate() float64 {
	if o.JobsPerSecond > 0 {
		return o.JobsPerSecond
	}
	return o.Load * float64(o.Slots) / (o.RunMean.Seconds() * o.TasksMean)
}
