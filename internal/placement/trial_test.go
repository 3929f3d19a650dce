package placement

import (
	"os"
	"slices"
	"testing"
	"time"
)

const trialEnv = "PLACEMENT_TRIAL"

// TestPolicyTrial logs the lags of several policies and orders for the same jobs.
// It runs only if the environment variable PLACEMENT_TRIAL is set.
func TestPolicyTrial(t *testing.T) {
	if os.Getenv(trialEnv) == "" {
		t.Skip("set " + trialEnv)
	}
	jobs := poissonJobs(1, 3, 14, 20, meanRun, 600*time.Second)
	for _, q := range []float64{.5, .9, .99, 1} {
		t.Logf("central queue, first come: %v %v", q, centralLag(80, jobs, q))
	}
	for _, c := range []struct {
		name  string
		cfg   Config
		byKey bool
	}{
		{"random", Config{Policy: PolicyRandom, Order: OrderFirstCome}, false},
		{"least, first come", Config{Order: OrderFirstCome}, false},
		{"least, aged", Config{}, false},
		{"least, aged, by key", Config{}, true},
		{"least, aged 20 ms, by key", Config{AgingPerTask: 20 * time.Millisecond}, true},
		{"least, fewest, by key", Config{Order: OrderFewestRemaining}, true},
		{"two choices, aged, by key", Config{Policy: PolicyTwoChoices}, true},
	} {
		f := newFleet(c.cfg, 3, 10, 8)
		f.byKey = c.byKey
		f.run(slices.Clone(jobs))
		lags := f.lags(80, 0)
		ms := func(q float64) int64 { return quantile(lags, q).Milliseconds() }
		t.Logf("%-28s p50 %4d p90 %4d p99 %5d worst %5d ms", c.name, ms(.5), ms(.9), ms(.99), ms(1))
	}
}
