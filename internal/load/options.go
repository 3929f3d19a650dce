// Package load is an open-loop load generator. It submits jobs to running entries
// at times that do not depend on the answers, and reports how far the response
// times lag behind the ideal.
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
	// SizesGeometric is the geometric distribution with the given mean, cut off at
	// the maximum.
	SizesGeometric = "geometric"
	// SizesMixed is the geometric distribution, but the size of one job in 50 is
	// uniform up to the maximum. The mean of all sizes is the given mean.
	SizesMixed = "mixed"
	SizesFixed = "fixed"
)

// Team is one team that submits jobs.
type Team struct {
	Name string `json:"name"`
	// Share is the team's part of the arrivals relative to the others.
	Share float64 `json:"share"`
}

// Burst multiplies the arrival rate by Factor, from At since the start of the run
// for the time Length.
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

// Options holds the settings of one run.
type Options struct {
	// Entries are the HTTP addresses of the entries; jobs go to them in turn.
	Entries []string `json:"entries"`
	Seed    uint64   `json:"seed"`
	// Duration is the time during which jobs arrive. The run goes on until the
	// last answer.
	Duration time.Duration `json:"duration"`
	// Warmup is the length of the first part of the run. Jobs that arrive in it are
	// left out of Report.Response, Report.Lag and Report.CentralLag.
	Warmup time.Duration `json:"warmup"`
	// Slots is the number of slots of all minions together. The ideal response
	// times and the arrival rate are computed from it.
	Slots int `json:"slots"`
	// Load is the rate of arriving work as a part of the capacity of the slots. It
	// is used when JobsPerSecond is 0.
	Load          float64 `json:"load"`
	JobsPerSecond float64 `json:"jobsPerSecond"`
	// TasksMean is the mean number of tasks of a job.
	TasksMean float64 `json:"tasksMean"`
	// TasksMax is the maximum number of tasks of a job.
	TasksMax int `json:"tasksMax"`
	// Sizes is the name of the distribution of the number of tasks.
	Sizes string `json:"sizes"`
	// MeanRunTime is the mean run time of a task; 0 means tasks without work.
	MeanRunTime time.Duration `json:"runMean"`
	// RunTimes is the name of the distribution of the run times.
	RunTimes string `json:"runs"`
	// MaxDeclaredFactor is the largest factor between actual and declared run times. A
	// declared run time is the actual one times a factor that is log-uniform
	// between 1/MaxDeclaredFactor and MaxDeclaredFactor. 1 means exact run times, and 0 means
	// that none are declared.
	MaxDeclaredFactor float64 `json:"declaredOff"`
	Service           string  `json:"service"`
	Teams             []Team  `json:"teams"`
	Bursts            []Burst `json:"bursts"`
	// Timeout is how long a caller waits for a complete answer.
	Timeout time.Duration `json:"timeout"`
	// RetryRefused makes callers submit refused jobs again after the advised time.
	RetryRefused bool `json:"retryRefused"`
	// Connections bounds the number of connections to each entry.
	Connections int `json:"connections"`
	// Metrics are the HTTP addresses of all processes that serve /metrics.
	Metrics []string `json:"metrics"`
	// Processes are the processes whose processor time is reported.
	Processes []Process `json:"processes"`
	// Progress receives one line per second; nil means no progress lines.
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

// Check returns the options with defaults applied, or an error that lists every
// invalid option.
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
	add(o.JobsPerSecond <= 0 && (o.MeanRunTime <= 0 || o.Load <= 0), "load: needs a load and a mean run time above 0, or jobs per second")
	add(!known(o.RunTimes, RunsExponential, RunsFixed, RunsUniform, RunsLognormal), "runs: unknown name %q", o.RunTimes)
	add(!known(o.Sizes, SizesGeometric, SizesMixed, SizesFixed), "sizes: unknown name %q", o.Sizes)
	add(o.MaxDeclaredFactor != 0 && o.MaxDeclaredFactor < 1, "declared off: must be 0 or at least 1")
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

// known reports whether name is one of the names.
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
	o.RunTimes = cmp.Or(o.RunTimes, RunsExponential)
	o.Sizes = cmp.Or(o.Sizes, SizesGeometric)
	if len(o.Teams) == 0 {
		o.Teams = []Team{{Name: defaultTeam, Share: 1}}
	}
	return o
}

// arrivalRate returns the mean number of jobs per second outside bursts.
func (o Options) arrivalRate() float64 {
	if o.JobsPerSecond > 0 {
		return o.JobsPerSecond
	}
	return o.Load * float64(o.Slots) / (o.MeanRunTime.Seconds() * o.TasksMean)
}
