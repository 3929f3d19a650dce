package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/gate"
	"endivewing/internal/owner"
	"endivewing/internal/placement"
)

func TestEndsOfTasksAreCountedAsWhatTheyWere(t *testing.T) {
	failed := wirepb.TaskOutcome_TASK_OUTCOME_FAILED
	cases := []struct {
		end  owner.TaskEnd
		want placement.Outcome
	}{
		{owner.TaskEnd{Outcome: wirepb.TaskOutcome_TASK_OUTCOME_DONE}, placement.Done},
		{owner.TaskEnd{Outcome: wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN, Reason: gate.ReasonMinionDown.String()}, placement.NotRun},
		{owner.TaskEnd{Outcome: failed, Reason: gate.ReasonMinionLost.String()}, placement.Crashed},
		{owner.TaskEnd{Outcome: failed, Reason: gate.ReasonMinionError.String()}, placement.Failed},
		{owner.TaskEnd{Reason: owner.ReasonAgentLost}, placement.Failed},
	}
	for _, c := range cases {
		assert.Equal(t, placementOutcome(c.end), c.want, "%+v", c.end)
	}
}
