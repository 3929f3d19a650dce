package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"endivewing/api/job"
	"endivewing/api/resource"
	"endivewing/internal/apiclient"
	"endivewing/internal/config"
	"endivewing/internal/fakeminion"
	"endivewing/internal/node"
	"endivewing/internal/observe"
)

type demoCommand struct {
	Keep    bool `help:"Keep serving after the answer until SIGTERM or SIGINT."`
	Verbose bool `help:"Show the logs."`
}

const (
	demoTasks = 12
	demoSlots = 4
	// demoTimeout is the time limit of the start, and that of the job.
	demoTimeout = 60 * time.Second
)

// demo holds everything that runs in the process of the demo command.
type demo struct {
	o       *output
	log     logr.Logger
	dataDir string
	minion  *fakeminion.Minion
	node    *node.Node
	client  *apiclient.Client
}

// Run starts the control, entry and agent roles and a simulated minion in this
// process, submits a job and prints its answer.
func (c *demoCommand) Run(ctx context.Context, o *output) error {
	d := &demo{o: o, log: logr.Discard()}
	if c.Verbose {
		log, err := observe.NewLog(o.err, "debug")
		if err != nil {
			return err
		}
		d.log = log
	}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.runJob(ctx); err != nil {
		return err
	}
	if c.Keep {
		fmt.Fprintf(o.out, "serving on %s until a signal\n", d.client.BaseURL)
		<-ctx.Done()
	}
	return nil
}

func (d *demo) start(ctx context.Context) (err error) {
	if d.dataDir, err = os.MkdirTemp("", "endivewing-demo-"); err != nil {
		return eris.Wrap(err, "create data directory")
	}
	if d.minion, err = fakeminion.Start(fakeminion.Options{Slots: demoSlots}); err != nil {
		return err
	}
	s, err := d.settings()
	if err != nil {
		return err
	}
	if d.node, err = node.Start(ctx, s, d.log); err != nil {
		return err
	}
	d.client = &apiclient.Client{BaseURL: "http://" + d.node.Addresses()[config.RoleEntry]}
	fmt.Fprintf(d.o.out, "control, entry, agent and a simulated minion with %d slots; entry at %s\n", demoSlots, d.client.BaseURL)
	return d.awaitReady(ctx)
}

// settings returns the default settings with every role on loopback.
func (d *demo) settings() (*config.Settings, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := config.Default()
	s.Cluster, s.Name, s.Zone = "demo", "demo", "here"
	s.Roles = []string{config.RoleControl, config.RoleEntry, config.RoleAgent}
	s.ControlAddresses = []string{address}
	s.TLS.InsecureLoopback = true
	s.Control.ID = 1
	s.Control.Listen = address
	s.Control.Data = filepath.Join(d.dataDir, "control")
	s.Control.ElectionTimeout = config.Duration(200 * time.Millisecond)
	s.Control.Members = []config.Member{{ID: 1, Name: "demo", Address: address, Zone: "here"}}
	s.Entry.DrainDelay = 0
	s.Agent.Minion = d.minion.URL()
	s.Agent.Services = []string{"default"}
	s.Agent.Slots = demoSlots
	return &s, nil
}

// freeAddress returns a loopback address with a free port. The settings of the
// control member need its address before it listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for {
		err := d.checkReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "the entry did not become ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkReady returns an error while the entry would refuse the job of the demo.
func (d *demo) checkReady(ctx context.Context) error {
	if err := d.client.Get(ctx, "/readyz", nil); err != nil {
		return err
	}
	var list struct {
		Items []resource.InstanceStatus `json:"items"`
	}
	if err := d.client.Get(ctx, "/v1/instances", &list); err != nil {
		return err
	}
	isAgent := func(i resource.InstanceStatus) bool { return i.Role == config.RoleAgent }
	if !slices.ContainsFunc(list.Items, isAgent) {
		return eris.New("no agent has registered")
	}
	return nil
}

func (d *demo) runJob(ctx context.Context) error {
	s, ideal := demoSubmission()
	began := time.Now()
	j, err := d.client.Submit(ctx, s, 0)
	if err != nil {
		return clientError(err)
	}
	fmt.Fprintf(d.o.out, "job %s accepted durably after %s: %d tasks\n", j.ID, time.Since(began).Round(time.Millisecond), j.Tasks)
	for j.State == job.Open && time.Since(began) < demoTimeout {
		fmt.Fprintf(d.o.out, "  %5s  %d of %d tasks started\n", time.Since(began).Round(time.Millisecond), d.minion.StartedTasks(), demoTasks)
		if j, err = d.client.Job(ctx, j.ID, 100*time.Millisecond); err != nil {
			return clientError(err)
		}
	}
	took := time.Since(began)
	if err := d.o.printJob("table", j); err != nil {
		return err
	}
	fmt.Fprintf(d.o.out, "answered after %s; ideal %s; lag %s\n",
		took.Round(time.Millisecond), ideal, (took - ideal).Round(time.Millisecond))
	return nil
}

// demoSubmission returns the job of the demo and the shortest time in which the
// slots can run it.
func demoSubmission() (*job.Submission, time.Duration) {
	s := &job.Submission{SubmissionID: uuid.NewString(), Team: "demo", Service: "default"}
	const run = 100 * time.Millisecond
	for i := range demoTasks {
		p := fakeminion.Payload{SleepMS: float64(run.Milliseconds()), Echo: fmt.Sprintf("proof %d", i+1)}
		data, err := json.Marshal(p)
		if err != nil {
			panic(err)
		}
		s.Tasks = append(s.Tasks, job.Task{Data: data, DeclaredMs: uint32(run.Milliseconds())})
	}
	return s, run * (demoTasks / demoSlots)
}

func (d *demo) stop() {
	ctx := context.Background()
	if d.node != nil {
		d.node.Stop(ctx)
	}
	if d.minion != nil {
		d.minion.Stop()
	}
	_ = os.RemoveAll(d.dataDir)
}
