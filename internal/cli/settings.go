package cli

import (
	"fmt"
	"runtime/debug"

	"endivewing/internal/config"
)

type checkCommand struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file."`
}

// Run checks a settings file and prints its findings. The exit code is 1 when
// there are any.
func (c *checkCommand) Run(o *output) error {
	if _, err := config.LoadFile(c.Config); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s: no findings\n", c.Config)
	return nil
}

type settingsCommand struct{}

// Run prints the reference of all settings.
func (c *settingsCommand) Run(o *output) error {
	fmt.Fprint(o.out, config.Reference())
	return nil
}

type versionCommand struct{}

// Run prints the version of the module and of Go.
func (c *versionCommand) Run(o *output) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(o.out, "endivewing (no build information)")
		return nil
	}
	fmt.Fprintf(o.out, "endivewing %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
