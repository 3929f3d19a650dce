package statechart

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

const door = `
name: door
initial: shut
states:
  shut: {on: {open: ajar, lock: locked}}
  ajar: {on: {close: shut}}
  locked: {final: true}
`

func TestStepsFollowTheChart(t *testing.T) {
	c := MustLoad([]byte(door))
	s, err := c.Next(c.Initial(), c.Event("open"))
	assert.NilError(t, err)
	assert.Equal(t, c.StateName(s), "ajar")
	same, err := c.Next(s, c.Event("lock"))
	var wrong *TransitionError
	assert.Assert(t, errors.As(err, &wrong))
	assert.Equal(t, same, s)
	assert.Assert(t, c.Final(c.State("locked")))
}

func TestLoadReportsEveryFinding(t *testing.T) {
	_, err := Load([]byte("name: x\ninitial: a\nstates: {a: {on: {go: nowhere}}, b: {final: true, on: {go: a}}}"))
	assert.ErrorContains(t, err, "nowhere")
	assert.ErrorContains(t, err, "final state b has transitions")
	assert.ErrorContains(t, err, "state b can't be reached")
}
