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
	// PolicyLeastOutstanding takes the agent with the fewest tasks of this
	// entry, up to its number of slots.
	PolicyLeastOutstanding = "least"
	// PolicyTwoChoices compares two random agents by their reported load.
	PolicyTwoChoices = "two-choices"
	// PolicyLeases uses only the slots that agents have lent to this entry.
	PolicyLeases = "leases"
)

// Names of the orders among waiting jobs.
const (
	// OrderFirstCome serves jobs in the order of their acceptance.
	OrderFirstCome = "arrival"
	// OrderFewestRemaining serves the job with the fewest unfinished tasks.
	OrderFewestRemaining = "fewest"
	// OrderAged is fewest remaining, but a later job passes an earlier one
	// only for a bounded time.
	OrderAged = "aged"
)

const (
	defaultAgingPerTask = 6 * time.Millisecond
	defaultMaxWaiting   = 100_000
	defaultMaxBytes     = 256 << 20
	defaultMaxWait      = 10 * time.Second

	// earlyWindow is the number of tasks that early binding keeps at an agent
	// per slot.
	earlyWindow = 64

	// removedHold is how long tasks of a removed job keep their slots.
	removedHold = 10 * time.Second

	// keySlack is how long before its sending a task's key can be.
	keySlack = 200 * time.Millisecond

	seedMix = 0x9e3779b97f4a7c15
)

// Config are the settings of a Dispatcher. Zero values take defaults.
type Config struct {
	// Seed of the random choices.
	Seed uint64
	// Zone of this entry; agents of it win ties.
	Zone string
	// Policy is the name of a placement policy.
	Policy string
	// Order is the name of an order among waiting jobs.
	Order string
	// AgingPerTask is how much later a job must arrive per task that it has
	// less, to be served after an earlier one.
	AgingPerTask time.Duration
	// MaxWaitingTasks and MaxWaitingBytes bound what waits at this entry.
	MaxWaitingTasks int
	MaxWaitingBytes int64
	// MaxWait bounds the estimated time until a job's last task starts.
	MaxWait time.Duration
}

// Check returns what is wrong with the settings, one finding each.
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
	c.MaxWaitingTasks = cmp.Or(c.MaxWaitingTasks, defaultMaxWaiting)
	c.MaxWaitingBytes = cmp.Or(c.MaxWaitingBytes, defaultMaxBytes)
	c.MaxWait = cmp.Or(c.MaxWait, defaultMaxWait)
	return c
}
