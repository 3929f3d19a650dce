package cli

import (
	"context"

	"endivewing/internal/fakeminion"
)

type minionCommand struct {
	Listen     string  `default:"127.0.0.1:0" help:"Address to listen on; with port 0 the kernel chooses the port."`
	Slots      int     `default:"8" help:"Maximum number of tasks that run at the same time; 0 is no limit."`
	TimeFactor float64 `default:"1" help:"Factor by which the run time of every task is multiplied; 10 makes a minion ten times slower."`
	FailRatio  float64 `help:"Fraction of the tasks that fail, from 0 to 1."`
	FailSeed   uint64  `default:"1" help:"Seed that chooses the tasks that fail."`
	NoOp       bool    `help:"Answer every task at once, without the run time in its payload."`
	Freeze     bool    `help:"Start tasks and never finish them."`
	Record     string  `placeholder:"FILE" help:"File to which the start and end of each task are appended."`
}

// Run runs the simulated minion until SIGTERM or SIGINT.
func (c *minionCommand) Run(ctx context.Context, o *output) error {
	m, err := fakeminion.Start(fakeminion.Options{
		Listen:     c.Listen,
		Slots:      c.Slots,
		TimeFactor: c.TimeFactor,
		FailRatio:  c.FailRatio,
		FailSeed:   c.FailSeed,
		NoOp:       c.NoOp,
		RecordPath: c.Record,
	})
	if err != nil {
		return err
	}
	if c.Freeze {
		m.Freeze()
	}
	if err := o.printAddresses(map[string]string{"minion": m.Address()}); err != nil {
		return err
	}
	<-ctx.Done()
	m.Stop()
	return nil
}
