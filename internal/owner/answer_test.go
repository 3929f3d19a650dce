package owner

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAnswerAboveSizeLimitFailsJob(t *testing.T) {
	j := &job{tasks: make([]task, 2)}
	j.tasks[0].result = make([]byte, maxAnswerBytes/2)
	assert.Assert(t, j.answerFromResults().Complete)
	j.tasks[1].result = make([]byte, maxAnswerBytes/2)
	a := j.answerFromResults()
	assert.Assert(t, !a.Complete && !a.NotRun && len(a.Results) == 0)
	assert.Equal(t, a.Reason, ReasonAnswerTooLarge)
}
