package cli

import (
	"context"

	"endivewing/internal/config"
)

type serveCommand struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file."`
}

// Run serves until a signal asks for a graceful stop.
func (c *serveCommand) Run(ctx context.Context, o *output) error {
	_, err := config.LoadFile(c.Config)
	return err
}
