// Package testkit contains helpers shared by the tests of several packages.
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// RapidOptions configures the property tests of a package that uses rapid.
type RapidOptions struct {
	// Checks is the number of test cases for each property.
	Checks int
	// Steps is the average number of actions in a state machine test. 0 means
	// rapid's default.
	Steps int
}

// Main runs the tests of a package that imports rapid; TestMain calls it. The
// seed is fixed, so that every run checks the same cases. Flags on the command
// line take precedence. Main doesn't return.
func Main(m *testing.M, r RapidOptions) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range r.flags() {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func (r RapidOptions) flags() map[string]string {
	flags := map[string]string{
		"rapid.seed":       "1",
		"rapid.nofailfile": "true",
		"rapid.checks":     strconv.Itoa(r.Checks),
	}
	if r.Steps > 0 {
		flags["rapid.steps"] = strconv.Itoa(r.Steps)
	}
	return flags
}
