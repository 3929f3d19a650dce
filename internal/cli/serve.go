package cli

import (
	"context"

	"endivewing/internal/config"
	"endivewing/internal/node"
	"endivewing/internal/observe"
)

type serveCommand struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file."`
}

// Run serves until a signal asks for a graceful stop. It prints one line of
// JSON with the addresses when it serves.
func (c *serveCommand) Run(ctx context.Context, o *output) error {
	s, err := config.LoadFile(c.Config)
	if err != nil {
		return err
	}
	log, err := observe.NewLog(o.err, s.Log.Level)
	if err != nil {
		return err
	}
	n, err := node.Start(ctx, s, log.WithValues("process", s.Name))
	if err != nil {
		return err
	}
	if err := o.announce(n.Addresses()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		n.Stop(context.WithoutCancel(ctx))
		return nil
	case <-n.Done():
		return n.Err()
	}
}
