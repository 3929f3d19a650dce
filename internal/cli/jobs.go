package cli

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"endivewing/api/job"
)

type submitCommand struct {
	entryFlags
	File         string        `short:"f" placeholder:"FILE" help:"Submission in JSON, as the body of POST /v1/jobs."`
	Team         string        `default:"default" help:"Team of the job."`
	Service      string        `default:"default" help:"Service that runs the tasks."`
	ID           string        `help:"Submission ID; a random one by default."`
	Unrepeatable bool          `help:"The tasks must run at most once."`
	Timeout      time.Duration `help:"Time limit of the job; the entry's default when not set."`
	Wait         time.Duration `default:"60s" help:"How long to wait for the answer."`
	Payloads     []string      `arg:"" optional:"" help:"Payload of each task."`
}

// Run submits one job and prints its answer.
func (c *submitCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	s, err := c.submission()
	if err != nil {
		return err
	}
	j, err := client.Submit(ctx, s, c.Wait)
	if err != nil {
		return clientError(err)
	}
	return o.printJob(c.Output, j)
}

func (c *submitCommand) submission() (*job.Submission, error) {
	s := &job.Submission{Team: c.Team, Service: c.Service, Unrepeatable: c.Unrepeatable}
	if c.File != "" {
		text, err := os.ReadFile(c.File)
		if err != nil {
			return nil, eris.Wrap(err, "read submission")
		}
		if err := json.Unmarshal(text, s); err != nil {
			return nil, eris.Wrapf(err, "decode %s", c.File)
		}
	}
	for _, p := range c.Payloads {
		s.Tasks = append(s.Tasks, job.Task{Payload: []byte(p)})
	}
	if c.Timeout > 0 {
		s.TimeoutMs = uint64(c.Timeout.Milliseconds())
	}
	if c.ID != "" {
		s.SubmissionID = c.ID
	}
	if s.SubmissionID == "" {
		s.SubmissionID = uuid.NewString()
	}
	return s, nil
}

type getCommand struct {
	entryFlags
	Job  string        `arg:"" help:"Job ID."`
	Wait time.Duration `default:"0s" help:"How long to wait for the job's end."`
}

// Run prints one job.
func (c *getCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	j, err := client.Job(ctx, c.Job, c.Wait)
	if err != nil {
		return clientError(err)
	}
	return o.printJob(c.Output, j)
}

type cancelCommand struct {
	entryFlags
	Job string `arg:"" help:"Job ID."`
}

// Run cancels one job and prints its state afterwards.
func (c *cancelCommand) Run(ctx context.Context, o *output) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	j, err := client.Cancel(ctx, c.Job)
	if err != nil {
		return clientError(err)
	}
	return o.render(c.Output, j, jobTable(j))
}

// printJob prints a job. The error for a failed job makes the program exit with
// exitFailed.
func (o *output) printJob(format string, j *job.Job) error {
	if err := o.render(format, j, jobTable(j)); err != nil {
		return err
	}
	if j.State == job.Failed {
		return &exitError{code: exitFailed}
	}
	return nil
}
