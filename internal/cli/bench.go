package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"endivewing/internal/load"
)

type benchCommand struct {
	Entry        []string      `required:"" placeholder:"URL" help:"Addresses of the entries."`
	Slots        int           `required:"" help:"Total number of slots of all minions."`
	Duration     time.Duration `default:"20s" help:"How long jobs are submitted."`
	Warmup       time.Duration `default:"2s" help:"Time at the start that is left out of the lag figures."`
	Load         float64       `default:"0.7" help:"Submitted work as a fraction of the capacity of the slots."`
	Rate         float64       `help:"Jobs per second; replaces --load."`
	Tasks        float64       `default:"20" help:"Mean number of tasks of a job."`
	TasksMax     int           `default:"390" help:"Maximum number of tasks of a job."`
	Sizes        string        `enum:"geometric,mixed,fixed" default:"geometric" help:"Distribution of job sizes."`
	RunMean      time.Duration `name:"run" default:"200ms" help:"Mean run time of a task; 0s makes tasks without work."`
	Runs         string        `enum:"exponential,fixed,uniform,lognormal" default:"exponential" help:"Distribution of run times."`
	DeclaredOff  float64       `help:"Declared run times differ from the real ones by up to this factor; 0 declares none."`
	Service      string        `default:"default" help:"Service of the jobs."`
	Team         []string      `placeholder:"NAME=SHARE" help:"Teams and their shares of the jobs."`
	Burst        []string      `placeholder:"AT,LENGTH,FACTOR" sep:"none" help:"Burst of jobs: start time, length and factor on the rate, such as 5s,10s,10."`
	Timeout      time.Duration `default:"60s" help:"How long a caller waits for the answer of a job."`
	RetryRefused bool          `help:"Submit refused jobs again after the time that the entry advises."`
	Metrics      []string      `placeholder:"URL" help:"URLs of the metrics of all processes, for the message counts."`
	Process      []string      `placeholder:"ROLE=PID" help:"Processes whose CPU time is reported."`
	Seed         uint64        `default:"1" help:"Seed of the random arrivals and run times."`
	Output       string        `short:"o" enum:"json,table" default:"table" help:"Output format: json or table."`
}

// Run submits jobs to running entries and reports lag, failures and messages.
func (c *benchCommand) Run(ctx context.Context, o *output) error {
	options, err := c.options()
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	options.Progress = o.err
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return report.WriteJSON(o.out)
	}
	return report.WriteTable(o.out)
}

func (c *benchCommand) options() (load.Options, error) {
	opts := load.Options{
		Entries:           c.Entry,
		Seed:              c.Seed,
		Duration:          c.Duration,
		Warmup:            c.Warmup,
		Slots:             c.Slots,
		Load:              c.Load,
		JobsPerSecond:     c.Rate,
		TasksMean:         c.Tasks,
		TasksMax:          c.TasksMax,
		Sizes:             c.Sizes,
		MeanRunTime:       c.RunMean,
		RunTimes:          c.Runs,
		MaxDeclaredFactor: c.DeclaredOff,
		Service:           c.Service,
		Timeout:           c.Timeout,
		RetryRefused:      c.RetryRefused,
		Metrics:           c.Metrics,
	}
	var err error
	if opts.Teams, err = parseAll(c.Team, parseTeam); err != nil {
		return opts, err
	}
	if opts.Bursts, err = parseAll(c.Burst, parseBurst); err != nil {
		return opts, err
	}
	opts.Processes, err = parseAll(c.Process, parseProcess)
	return opts, err
}

func parseAll[T any](texts []string, parse func(string) (T, error)) ([]T, error) {
	var values []T
	for _, text := range texts {
		v, err := parse(text)
		if err != nil {
			return nil, fmt.Errorf("%q: %w", text, err)
		}
		values = append(values, v)
	}
	return values, nil
}

func parseTeam(text string) (load.Team, error) {
	name, share, _ := strings.Cut(text, "=")
	v, err := strconv.ParseFloat(share, 64)
	return load.Team{Name: name, Share: v}, err
}

func parseProcess(text string) (load.Process, error) {
	role, pid, _ := strings.Cut(text, "=")
	v, err := strconv.Atoi(pid)
	return load.Process{Role: role, PID: v}, err
}

func parseBurst(text string) (load.Burst, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return load.Burst{}, fmt.Errorf("want AT,LENGTH,FACTOR")
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return load.Burst{}, err
	}
	length, err := time.ParseDuration(parts[1])
	if err != nil {
		return load.Burst{}, err
	}
	factor, err := strconv.ParseFloat(parts[2], 64)
	return load.Burst{At: at, Length: length, Factor: factor}, err
}
