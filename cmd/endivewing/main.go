// Command endivewing runs the processes of the dispatcher for sub-second tasks and
// the commands for callers and operators.
package main

import (
	"os"

	"endivewing/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
