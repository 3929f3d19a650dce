// Command review-3 holds the stand-ins of the cases 11 to 13 and the scripts that use
// them. "review-3 minion" is a minion as a process of its own. "review-3 case N" starts
// the project's programs and the stand-ins on loopback addresses, plays case N and judges
// it by what minions and clients have seen.
package main

import (
	"fmt"
	"os"
)

const usage = `usage: review-3 minion --address HOST:PORT --reports HOST:PORT --id ID --record FILE [--zone Z] [--label L]
       review-3 case N --folder FOLDER --program FILE [--trouble 0|1]`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "minion":
		runMinion(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitNotRun)
	}
}
