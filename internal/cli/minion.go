package cli

import (
	"context"

	"endivewing/internal/standin"
)

type minionCommand struct {
	Listen     string  `default:"127.0.0.1:0" help:"Address; port 0 lets the kernel choose."`
	Slots      int     `default:"8" help:"Tasks that may run at once; 0 is no limit."`
	TimeFactor float64 `default:"1" help:"Factor on each run time; 10 makes a straggler."`
	FailRatio  float64 `help:"Share of the tasks that fail, from 0 to 1."`
	FailSeed   uint64  `default:"1" help:"Seed that chooses the tasks that fail."`
	NoOp       bool    `help:"Answer at once, whatever the payload asks."`
	Freeze     bool    `help:"Start tasks and never end them."`
	Record     string  `placeholder:"FILE" help:"File that starts and ends are appended to."`
}

// Run serves the stand-in minion until a signal.
func (c *minionCommand) Run(ctx context.Context, o *output) error {
	m, err := standin.Start(standin.Options{
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
	if err := o.announce(map[string]string{"minion": m.Address()}); err != nil {
		return err
	}
	<-ctx.Done()
	m.Stop()
	return nil
}
