// Package gate decides which tasks an agent starts, and records the outcome of
// each task. It is a pure state machine: its inputs are method calls that take
// the time as an argument, and its outputs are the Actions that Settle returns.
//
// One gate serves one incarnation of an agent. A placement is one decision of
// a group's owner to run a task at an agent; it is identified by the task, the
// owner's epoch and the attempt. The gate starts a task only if all of these
// hold:
//   - The gate has never started this (job, task).
//   - The request comes from the group's owner and carries the newest epoch
//     that the gate knows.
//   - The gate has not answered "not run" to this placement or a later one.
//
// Times are offsets from an origin that the caller chooses once per gate.
package gate
