package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const failuresPage = "../../docs/operators/failures.md"

// reasonSources lists the files that declare codes visible to operators or callers.
var reasonSources = []string{
	"../../api/job/job.go",
	"../control/receive.go",
	"../gate/reason.go",
	"../ledger/ledger.go",
	"../owner/job.go",
	"../placement/admission.go",
}

var (
	// reasonName matches the names of the constants and variables whose string
	// values are codes.
	reasonName = regexp.MustCompile(`^([Rr]eason|Code|Refused)`)
	code       = regexp.MustCompile("`(\\w+)`")
)

// TestFailuresPageNamesEveryReason checks that the operators' page on failures
// lists exactly the codes that the source declares.
func TestFailuresPageNamesEveryReason(t *testing.T) {
	inCode := map[string]bool{}
	for _, file := range reasonSources {
		before := len(inCode)
		addCodes(t, file, inCode)
		assert.Assert(t, len(inCode) > before, "%s holds no codes", file)
	}
	assert.DeepEqual(t, pageCodes(t), inCode)
}

// addCodes adds the codes that a source file declares to codes.
func addCodes(t *testing.T, file string, codes map[string]bool) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !reasonName.MatchString(spec.Names[0].Name) {
			return true
		}
		ast.Inspect(spec, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING {
				return true
			}
			text, err := strconv.Unquote(lit.Value)
			assert.NilError(t, err)
			if text != "" {
				codes[text] = true
			}
			return true
		})
		return false
	})
}

// pageCodes returns the codes in the first column of the page's table of reasons.
func pageCodes(t *testing.T) map[string]bool {
	t.Helper()
	page, err := os.ReadFile(failuresPage)
	assert.NilError(t, err)
	_, table, ok := strings.Cut(string(page), "\n## Every reason\n")
	assert.Assert(t, ok)
	codes := map[string]bool{}
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, m := range code.FindAllStringSubmatch(cells[1], -1) {
			codes[m[1]] = true
		}
	}
	return codes
}
