package placement

import (
	"cmp"
	"fmt"
	"time"
)

// Names of the placement policies.
const (
	// PolicyRandom sends every task at once to a random agent.
	PolicyRandom = "random"
	// PolicyLeastOutstanding sends a task to the agent with the fewest
	// outstanding tasks of this entry, up to about its number of slots.
	PolicyLeastOutstanding = "least"
	// PolicyTwoChoices sends a task to the less loaded of two random agents, by
	// their reported load.
	PolicyTwoChoices = "two-choices"
	// PolicyLeases uses only the slots that agents have granted to this entry.
	PolicyLeases = "leases"
)

// Names of the orders in which waiting jobs are served.
const (
	// OrderFirstCome serves jobs in the order of their acceptance.
	OrderFirstCome = "arrival"
	// OrderFewestRemaining serves the job with the fewest unfinished tasks first.
	OrderFewestRemaining = "fewest"
	// OrderAged serves the job with the fewest unfinished tasks first, but later
	// jobs can overtake an earlier one only for a bounded time.
	OrderAged = "aged"
)

const (
	defaultAgingPerTask    = 6 * time.Millisecond
	defaultMaxWaitingTasks = 100_000
	defaultMaxWaitingBytes = 256 << 20
	defaultMaxWait         = 10 * time.Second

	// earlyBindingPerSlot is the number of tasks per slot that the random policy,
	// which binds tasks early, keeps at an agent.
	earlyBindingPerSlot = 64

	// removedTaskTimeout is how long the tasks of a removed job keep their slots
	// when no outcome arrives.
	removedTaskTimeout = 10 * time.Second

	// maxKeyAge bounds how far the key of a task may lie before its sending.
	maxKeyAge = 200 * time.Millisecond

	// seedMix derives the second half of the random seed from Config.Seed.
	seedMix = 0x9e3779b97f4a7c15
)

// Config holds the settings of a Dispatcher. Zero values of Policy, Order and
// the limits are replaced by defaults.
type Config struct {
	// Seed is the seed of the random choices.
	Seed uint64
	// Zone is the availability zone of this entry. Among equally good agents,
	// those of this zone are preferred.
	Zone string
	// Policy is the name of a placement policy.
	Policy string
	// Order is the name of the order in which waiting jobs are served.
	Order string
	// AgingPerTask is the delay that each unfinished task adds to a job in the
	// aged order. A smaller job that arrives later overtakes a larger one only
	// if it arrives within AgingPerTask for each task that it has less.
	AgingPerTask time.Duration
	// MaxWaitingTasks bounds the number of waiting tasks at this entry.
	MaxWaitingTasks int
	// MaxWaitingBytes bounds the payload size of jobs with a waiting task.
	MaxWaitingBytes int64
	// MaxWait bounds the estimated time until a job's last task starts.
	MaxWait time.Duration
}

// Check returns a finding for each invalid setting.
func (c Config) Check() []string {
	var findings []string
	if _, ok := policies[c.Policy]; !ok && c.Policy != "" {
		findings = append(findings, fmt.Sprintf("policy: unknown name %q", c.Policy))
	}
	if _, ok := orders[c.Order]; !ok && c.Order != "" {
		findings = append(findings, fmt.Sprintf("order: unknown name %q", c.Order))
	}
	return findings
}

func (c Config) withDefaults() Config {
	if _, ok := policies[c.Policy]; !ok {
		c.Policy = PolicyLeastOutstanding
	}
	if _, ok := orders[c.Order]; !ok {
		c.Order = OrderAged
	}
	c.AgingPerTask = cmp.Or(c.AgingPerTask, defaultAgingPerTask)
	c.MaxWaitingTasks = cmp.Or(c.MaxWaitingTasks, defaultMaxWaitingTasks)
	c.MaxWaitingBytes = cmp.Or(c.MaxWaitingBytes, defaultMaxWaitingBytes)
	c.MaxWait = cmp.Or(c.MaxWait, defaultMaxWait)
	return c
}
