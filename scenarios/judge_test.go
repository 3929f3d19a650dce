package scenarios

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"endivewing/api/job"
	"endivewing/internal/standin"
)

// starts are the times of all starts of each payload, by its hash, over all
// minions, in Unix nanoseconds. Payloads are unique, so a task that starts twice
// under any job number shows.
type starts map[string][]int64

func readStarts(records []string) (starts, error) {
	found := starts{}
	for _, path := range records {
		lines, err := standin.ReadRecord(path)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if line.Event == standin.EventStart {
				found[line.Payload] = append(found[line.Payload], line.UnixNS)
			}
		}
	}
	return found, nil
}

func hashOf(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// judge holds the minions' records against what the callers were told and
// returns every breach of a promise.
func judge(records []string, callers []*caller) ([]string, error) {
	started, err := readStarts(records)
	if err != nil {
		return nil, err
	}
	var breaches []string
	for payload, times := range started {
		if n := len(times); n > 1 {
			breaches = append(breaches, fmt.Sprintf("payload %.12s started %d times", payload, n))
		}
	}
	for _, c := range callers {
		breaches = append(breaches, c.judgeRefusals(started)...)
		breaches = append(breaches, c.judge(started)...)
	}
	return breaches, nil
}

// judgeRefusals holds refusals that said "not run" against starts before the
// caller came back.
func (c *caller) judgeRefusals(started starts) []string {
	var breaches []string
	for i := range c.submission.Tasks {
		for _, at := range started[hashOf(c.submission.Tasks[i].Bytes())] {
			if at < c.notRunUntil {
				breaches = append(breaches, fmt.Sprintf("%s: task %d started though all tries so far were refused as not run",
					c.submission.SubmissionID, i))
			}
		}
	}
	return breaches
}

func (c *caller) judge(started starts) []string {
	id := c.submission.SubmissionID
	ran := 0
	for i := range c.submission.Tasks {
		ran += len(started[hashOf(c.submission.Tasks[i].Bytes())])
	}
	switch {
	case c.err != nil:
		return []string{fmt.Sprintf("%s: no word: %v", id, c.err)}
	case c.refused != nil:
		if c.refused.NotRun && ran > 0 {
			return []string{fmt.Sprintf("%s: refused as not run (%v), %d tasks ran", id, c.refused, ran)}
		}
		return nil
	case c.answer.State == job.Failed:
		return c.judgeFailure(ran)
	default:
		return c.judgeResults(started)
	}
}

func (c *caller) judgeFailure(ran int) []string {
	id := c.submission.SubmissionID
	var breaches []string
	if len(c.answer.Results) > 0 {
		breaches = append(breaches, id+": failed with some results")
	}
	if c.answer.Failure == nil || c.answer.Failure.Reason == "" {
		return append(breaches, id+": failed without a reason")
	}
	if c.answer.Failure.NotRun && ran > 0 {
		breaches = append(breaches, fmt.Sprintf("%s: failed as not run, %d tasks ran", id, ran))
	}
	return breaches
}

func (c *caller) judgeResults(started starts) []string {
	id := c.submission.SubmissionID
	if len(c.answer.Results) != len(c.submission.Tasks) {
		return []string{fmt.Sprintf("%s: %d results for %d tasks", id, len(c.answer.Results), len(c.submission.Tasks))}
	}
	var breaches []string
	for i, r := range c.answer.Results {
		payload := c.submission.Tasks[i].Bytes()
		if want := standin.Result(payload); string(r.Payload) != string(want) {
			breaches = append(breaches, fmt.Sprintf("%s: task %d answered %q, want %q", id, i, r.Payload, want))
		}
		if n := len(started[hashOf(payload)]); n != 1 {
			breaches = append(breaches, fmt.Sprintf("%s: task %d has a result and %d starts", id, i, n))
		}
	}
	return breaches
}
