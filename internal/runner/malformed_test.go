package runner

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
)

// TestNoMessageEndsTheProcess checks that the runner survives any message of a
// dispatcher, also with missing, out-of-range or contradictory fields.
func TestNoMessageEndsTheProcess(t *testing.T) {
	b := startFixture(t)
	rapid.Check(t, func(rt *rapid.T) {
		e := drawEnvelope(rt)
		b.runner.onEnvelope(b.session, e)
		b.send(e)
		assert.Assert(rt, b.runner.Dump().(Dump).Known)
	})
	b.placeTask("after", 0)
	b.waitForMinion(func(running, _ int) bool { return running > 0 })
}

// drawEnvelope draws a message in which any part may be missing.
func drawEnvelope(t *rapid.T) *wirepb.Envelope {
	job := rapid.SampledFrom([]string{"", "a", "b", "\x00"}).Draw(t, "job")
	number := rapid.SampledFrom([]uint32{0, 1, 2, 1<<31 - 1, 1<<32 - 1})
	stamp := rapid.SampledFrom([]int64{0, -1, 1, 1<<63 - 1, -1 << 63}).Draw(t, "stamp")
	var runs []*wirepb.TaskRun
	for range rapid.IntRange(0, 3).Draw(t, "runs") {
		runs = append(runs, &wirepb.TaskRun{Index: number.Draw(t, "index"), Run: number.Draw(t, "run")})
	}
	var need *wirepb.Need
	if rapid.Bool().Draw(t, "need") {
		need = &wirepb.Need{CpuMilli: number.Draw(t, "cpu"), MemoryMb: number.Draw(t, "memory"), Gpus: number.Draw(t, "gpus")}
	}
	place := &wirepb.PlaceTasks{
		Job: job, Step: number.Draw(t, "step"), Need: need, Tasks: runs, Key: stamp, StampMs: stamp,
		EstimateMs: number.Draw(t, "estimate"), WaitMs: number.Draw(t, "wait"),
	}
	all := []*wirepb.Envelope{
		{},
		{Body: &wirepb.Envelope_Announce{Announce: &wirepb.Announce{Role: job, Watches: number.Draw(t, "watches")}}},
		{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: place}},
		{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: &wirepb.PlaceTasks{}}},
		{Body: &wirepb.Envelope_StopTasks{StopTasks: &wirepb.StopTasks{Job: job, Tasks: runs}}},
		{Body: &wirepb.Envelope_StopTasks{StopTasks: &wirepb.StopTasks{}}},
		{Body: &wirepb.Envelope_RunnerReport{RunnerReport: &wirepb.RunnerReport{}}},
	}
	return proto.Clone(rapid.SampledFrom(all).Draw(t, "message")).(*wirepb.Envelope)
}
