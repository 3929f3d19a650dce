package wire

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// TestMessageThatCannotBeEncodedClosedTheSession: one odd string, such as bytes that
// are no text, must not keep the messages around it from their peer.
func TestMessageThatCannotBeEncodedClosedTheSession(t *testing.T) {
	s := startSession(t, testOptions("c", echoJob), testOptions("c", ignore))
	odd := &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: &wirepb.Announce{Name: "\xff"}}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for job := range uint64(20) {
		assert.NilError(t, s.Send(LaneTraffic, odd))
		r, err := s.Call(ctx, LaneTraffic, jobRequest(job+1))
		assert.NilError(t, err)
		assert.Equal(t, r.GetGetJobResponse().GetJob().GetJob(), job+1)
		assert.NilError(t, s.Send(LaneTraffic, odd))
	}
}
