package scenarios

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"endivewing/api/job"
	"endivewing/internal/fakeminion"
)

// startTimes maps the hash of each payload to the times, in Unix nanoseconds, at
// which any minion started a task with it. Payloads are unique, so a task that
// was started twice is found even if its job number changed.
type startTimes map[string][]int64

// readStartTimes reads the start times from the record files of all minions.
func readStartTimes(records []string) (startTimes, error) {
	found := startTimes{}
	for _, path := range records {
		lines, err := fakeminion.ReadRecord(path)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if line.Event == fakeminion.EventStart {
				found[line.Payload] = append(found[line.Payload], line.UnixNS)
			}
		}
	}
	return found, nil
}

// hashOf returns the SHA-256 hash of a payload in hex, as in the record files.
func hashOf(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// findViolations compares the record files of the minions with the final outcomes of
// the callers. It returns a description of each violated guarantee.
func findViolations(records []string, callers []*caller) ([]string, error) {
	started, err := readStartTimes(records)
	if err != nil {
		return nil, err
	}
	var violations []string
	for payload, times := range started {
		if n := len(times); n > 1 {
			violations = append(violations, fmt.Sprintf("payload %.12s started %d times", payload, n))
		}
	}
	for _, c := range callers {
		violations = append(violations, c.checkNotRunRefusals(started)...)
		violations = append(violations, c.checkOutcome(started)...)
	}
	return violations, nil
}

// checkNotRunRefusals finds tasks that started although every attempt up to then had
// been refused as not run.
func (c *caller) checkNotRunRefusals(started startTimes) []string {
	var violations []string
	for i := range c.submission.Tasks {
		for _, at := range started[hashOf(c.submission.Tasks[i].Bytes())] {
			if at < c.earliestStartNS {
				violations = append(violations, fmt.Sprintf("%s: task %d started although all attempts so far were refused as not run",
					c.submission.SubmissionID, i))
			}
		}
	}
	return violations
}

// checkOutcome compares the final outcome with the recorded starts.
func (c *caller) checkOutcome(started startTimes) []string {
	id := c.submission.SubmissionID
	ran := 0
	for i := range c.submission.Tasks {
		ran += len(started[hashOf(c.submission.Tasks[i].Bytes())])
	}
	switch {
	case c.err != nil:
		return []string{fmt.Sprintf("%s: no answer or refusal: %v", id, c.err)}
	case c.refused != nil:
		if c.refused.NotRun && ran > 0 {
			return []string{fmt.Sprintf("%s: refused as not run (%v), but %d tasks ran", id, c.refused, ran)}
		}
		return nil
	case c.answer.State == job.Failed:
		return c.checkFailure(ran)
	default:
		return c.checkResults(started)
	}
}

// checkFailure checks the answer of a failed job; ran is the number of starts of its
// tasks.
func (c *caller) checkFailure(ran int) []string {
	id := c.submission.SubmissionID
	var violations []string
	if len(c.answer.Results) > 0 {
		violations = append(violations, id+": failed job has results")
	}
	if c.answer.Failure == nil || c.answer.Failure.Reason == "" {
		return append(violations, id+": failed job has no reason")
	}
	if c.answer.Failure.NotRun && ran > 0 {
		violations = append(violations, fmt.Sprintf("%s: failed as not run, but %d tasks ran", id, ran))
	}
	return violations
}

// checkResults checks that each task of a complete job has its expected result and
// was started exactly once.
func (c *caller) checkResults(started startTimes) []string {
	id := c.submission.SubmissionID
	if len(c.answer.Results) != len(c.submission.Tasks) {
		return []string{fmt.Sprintf("%s: %d results for %d tasks", id, len(c.answer.Results), len(c.submission.Tasks))}
	}
	var violations []string
	for i, r := range c.answer.Results {
		payload := c.submission.Tasks[i].Bytes()
		if want := fakeminion.Result(payload); string(r.Payload) != string(want) {
			violations = append(violations, fmt.Sprintf("%s: task %d returned %q, want %q", id, i, r.Payload, want))
		}
		if n := len(started[hashOf(payload)]); n != 1 {
			violations = append(violations, fmt.Sprintf("%s: task %d has a result but %d starts", id, i, n))
		}
	}
	return violations
}
