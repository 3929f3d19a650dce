// Package testkit holds what the tests of several packages share.
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Rapid bounds the property tests of a package.
type Rapid struct {
	// Checks is the number of cases of each property.
	Checks int
	// Steps is the mean number of actions of a state machine; 0 is rapid's
	// default.
	Steps int
}

// Main runs the tests of a package that imports rapid. The seed is fixed, so
// that each run has the same cases; flags of the command line take precedence.
func Main(m *testing.M, r Rapid) {
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

func (r Rapid) flags() map[string]string {
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
