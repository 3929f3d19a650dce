// Package gate decides at an agent which task starts, and what the outcome of
// each task is. It is a pure state machine: inputs are method calls with the
// time as an argument, outputs are the Actions that Settle returns.
//
// A gate lives as long as one incarnation of its agent. It starts a task only
// when it has never started that (job, task), the message comes from the
// group's owner with the newest epoch that the gate knows, and it has not
// answered "not run" to that placement or a later one.
//
// Times are offsets from an origin that the caller chooses once per gate.
package gate
