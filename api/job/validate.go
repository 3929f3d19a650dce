package job

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"endivewing/api/resource"
)

// Limits holds the limits of a submission. A zero field means no limit.
type Limits struct {
	// Tasks is the maximum number of tasks of a job.
	Tasks int
	// PayloadBytes is the maximum size of the payload of one task, in bytes.
	PayloadBytes int
	// Timeout is the longest time limit that a caller may set.
	Timeout time.Duration
}

const (
	// maxSubmissionIDBytes is the maximum length of a submission ID, in bytes.
	maxSubmissionIDBytes = 256
	// maxDeclared is the longest run time that a task may declare.
	maxDeclared = time.Hour
	// maxFindings is the maximum number of findings that are reported together.
	maxFindings = 20
)

// Check returns the problems of the submission, with field paths.
func (s *Submission) Check(l Limits) []Finding {
	c := checker{}
	c.submissionID(s.SubmissionID)
	c.name("team", s.Team)
	c.name("service", s.Service)
	if l.Timeout > 0 && s.TimeoutMs > uint64(l.Timeout.Milliseconds()) {
		c.add("timeoutMs", fmt.Sprintf("is over %d", l.Timeout.Milliseconds()))
	}
	if len(s.Tasks) == 0 {
		c.add("tasks", "is empty")
	}
	if l.Tasks > 0 && len(s.Tasks) > l.Tasks {
		c.add("tasks", fmt.Sprintf("has %d elements, the limit is %d", len(s.Tasks), l.Tasks))
		return c.findings
	}
	for i := range s.Tasks {
		c.task(i, &s.Tasks[i], l)
	}
	return c.findings
}

type checker struct {
	findings []Finding
}

func (c *checker) add(field, reason string) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, Finding{Field: field, Reason: reason})
	}
}

func (c *checker) submissionID(id string) {
	switch {
	case id == "":
		c.add("submissionId", "is missing; send it or the header Idempotency-Key")
	case len(id) > maxSubmissionIDBytes:
		c.add("submissionId", fmt.Sprintf("is over %d bytes", maxSubmissionIDBytes))
	case !utf8.ValidString(id):
		c.add("submissionId", "is not UTF-8")
	}
}

func (c *checker) name(field, name string) {
	if reason := resource.CheckName(name); reason != "" {
		c.add(field, reason)
	}
}

func (c *checker) task(i int, t *Task, l Limits) {
	if len(t.Payload) > 0 && len(t.Data) > 0 {
		c.add(fmt.Sprintf("tasks[%d]", i), "has both payload and data")
	}
	if l.PayloadBytes > 0 && len(t.Bytes()) > l.PayloadBytes {
		c.add(fmt.Sprintf("tasks[%d].payload", i), fmt.Sprintf("is over %d bytes", l.PayloadBytes))
	}
	if time.Duration(t.DeclaredMs)*time.Millisecond > maxDeclared {
		c.add(fmt.Sprintf("tasks[%d].declaredMs", i), fmt.Sprintf("is over %d", maxDeclared.Milliseconds()))
	}
}

// Bytes returns the payload that is sent to the minion: Data if set, otherwise
// Payload.
func (t *Task) Bytes() []byte {
	if len(t.Data) > 0 {
		return json.RawMessage(t.Data)
	}
	return t.Payload
}
