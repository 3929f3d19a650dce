// Command standin plays one case of the review: it starts the system's processes and
// stand-ins of callers, minions and the infrastructure on loopback addresses, causes the
// disruption, and checks the rule by what the stand-ins have seen.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// finding is what a case has seen of its rule.
type finding struct {
	broken bool
	text   string
}

// cases are the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(rec *record, trouble bool) (finding, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	rec.add("case", fields{"name": name, "trouble": trouble})
	f, err := cases[name](rec, trouble)
	if err != nil {
		rec.add("could not run", fields{"error": err.Error()})
		fmt.Println("could not run:", err)
		return 2
	}
	rec.add("verdict", fields{"broken": f.broken, "text": f.text})
	if f.broken {
		fmt.Println("broken:", f.text)
		return 1
	}
	fmt.Println("held:", f.text)
	return 0
}

// keepLogs reports whether the logs of the processes are to be kept.
func keepLogs() bool { return os.Getenv("KEEP") != "" }
