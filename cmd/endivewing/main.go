// Command endivewing dispatches sub-second tasks.
package main

import (
	"os"

	"endivewing/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
