package examples

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"endivewing/internal/config"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("*/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6)
	for _, file := range files {
		_, err := config.LoadFile(file)
		assert.Check(t, err)
	}
}
