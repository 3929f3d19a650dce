package node

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var chartName = regexp.MustCompile(`charts/\w+\.yaml`)

// TestChartsNamedOnTheDumpPageExist checks that every chart file named in the
// operators' page on dumps exists.
func TestChartsNamedOnTheDumpPageExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/dump.md")
	assert.NilError(t, err)
	names := chartName.FindAllString(string(page), -1)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		_, err := os.Stat(filepath.Join("../..", name))
		assert.Check(t, err)
	}
}
