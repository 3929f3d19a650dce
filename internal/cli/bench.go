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
	Slots        int           `required:"" help:"Slots of all minions together."`
	Duration     time.Duration `default:"20s" help:"How long jobs arrive."`
	Warmup       time.Duration `default:"2s" help:"First part that is left out of the lag figures."`
	Load         float64       `default:"0.7" help:"Arriving work as a part of what the slots can do."`
	Rate         float64       `help:"Jobs a second instead of --load."`
	Tasks        float64       `default:"20" help:"Mean number of tasks of a job."`
	TasksMax     int           `default:"390" help:"Most tasks of a job."`
	Sizes        string        `enum:"geometric,mixed,fixed" default:"geometric" help:"Distribution of job sizes."`
	RunMean      time.Duration `name:"run" default:"200ms" help:"Mean run time of a task; 0s is a task without work."`
	Runs         string        `enum:"exponential,fixed,uniform,lognormal" default:"exponential" help:"Distribution of run times."`
	DeclaredOff  float64       `help:"Declared run times are off by up to this factor; 0 declares none."`
	Service      string        `default:"default" help:"Service of the jobs."`
	Team         []string      `placeholder:"NAME=SHARE" help:"Teams and their parts of the arrivals."`
	Burst        []string      `placeholder:"AT,LENGTH,FACTOR" sep:"none" help:"Times of more arrivals, such as 5s,10s,10."`
	Timeout      time.Duration `default:"60s" help:"How long a caller waits."`
	RetryRefused bool          `help:"Submit refused jobs again after the advised time."`
	Metrics      []string      `placeholder:"URL" help:"Metrics pages of all processes, for the message counts."`
	Process      []string      `placeholder:"ROLE=PID" help:"Processes whose processor time is reported."`
	Seed         uint64        `default:"1" help:"Seed of the arrivals and run times."`
	Output       string        `short:"o" enum:"json,table" default:"table" help:"Output format: json or table."`
}

// Run loads running entries and reports lag, failures and messages.
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
