package cli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDemoAnswersItsJob(t *testing.T) {
	var out, errOut bytes.Buffer
	assert.Equal(t, Run([]string{"demo"}, &out, &errOut), exitOK, "%s%s", out.String(), errOut.String())
	for _, want := range []string{"complete", "proof 12", "lag"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s", out.String())
	}
}

// TestWrongCommandLines checks the exit code and the message of invalid command
// lines and of commands that fail.
func TestWrongCommandLines(t *testing.T) {
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"serve"}, exitUsage, "--config"},
		{[]string{"dance"}, exitUsage, "dance"},
		{[]string{"check", "--config", "nowhere.yaml"}, exitFailed, "nowhere.yaml"},
		{[]string{"submit", "--entry", "127.0.0.1:1", "a"}, exitUnavailable, "unreachable"},
		{[]string{"bench", "--entry", "x", "--slots", "1", "--burst", "soon"}, exitUsage, "AT,LENGTH,FACTOR"},
	}
	for _, c := range cases {
		var out, errOut bytes.Buffer
		code := Run(c.args, &out, &errOut)
		assert.Check(t, code == c.code, "%v: %d", c.args, code)
		assert.Check(t, strings.Contains(errOut.String(), c.want), "%v: %s", c.args, errOut.String())
	}
}
