// Command play2 plays one case of the review against separate processes of the
// system, and judges it by what callers and minions saw. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns an error if it could not run, and notes
// what breaks the rule in its record.
var cases = map[string]func(r *record, trouble bool) error{
	"silent-minions": playSilentMinions,
	"order-outlives": playOrderOutlivesMinion,
	"silent-crashes": playSilentCrashes,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play2 CASE FOLDER")
		return 2
	}
	r := newRecord()
	err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("the case could not run: %v", err)
	}
	if writeErr := r.write(os.Args[2]); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return 2
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return 2
	case len(r.broken) > 0:
		fmt.Printf("broken, %d findings, the first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
