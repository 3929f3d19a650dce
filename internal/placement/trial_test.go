package placement

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"endivewing/internal/yardstick"
)

const trialEnv = "PLACEMENT_TRIAL"

func show(name string, lags []time.Duration) {
	ms := func(q float64) int64 { return quantile(lags, q).Milliseconds() }
	fmt.Printf("%-34s p50 %4d p90 %4d p99 %5d worst %5d  n %d\n", name, ms(.5), ms(.9), ms(.99), ms(1), len(lags))
}

func TestPolicyTrial(t *testing.T) {
	if os.Getenv(trialEnv) == "" {
		t.Skip("set " + trialEnv)
	}
	for _, load := range []float64{0.7} {
		jobs := func() []fleetJob { return poisson(1, 3, load*80/(0.2*20), 20, 200*time.Millisecond, 600*time.Second) }
		var ys []yardstick.Job
		for _, j := range jobs() {
			ys = append(ys, j.Job)
		}
		lags := yardstick.Lags(80, ys, yardstick.CentralQueue(80, ys))
		slices.Sort(lags)
		show("central first come", lags)
		for _, c := range []struct {
			name    string
			policy  string
			order   string
			entries int
			byKey   bool
			aging   time.Duration
		}{
			{"one entry, aged 5", PolicyLeastOutstanding, OrderAged, 1, false, 5 * time.Millisecond},
			{"one entry, aged 10", PolicyLeastOutstanding, OrderAged, 1, false, 10 * time.Millisecond},
			{"one entry, aged 20", PolicyLeastOutstanding, OrderAged, 1, false, 20 * time.Millisecond},
			{"one entry, fewest", PolicyLeastOutstanding, OrderFewestRemaining, 1, false, 0},
			{"random 3", PolicyRandom, OrderFirstCome, 3, false, 0},
			{"least 3 first come", PolicyLeastOutstanding, OrderFirstCome, 3, false, 0},
			{"least 3 aged", PolicyLeastOutstanding, OrderAged, 3, false, 10 * time.Millisecond},
			{"least 3 aged bykey", PolicyLeastOutstanding, OrderAged, 3, true, 10 * time.Millisecond},
			{"two choices 3 aged", PolicyTwoChoices, OrderAged, 3, false, 10 * time.Millisecond},
			{"two choices 3 aged bykey", PolicyTwoChoices, OrderAged, 3, true, 10 * time.Millisecond},
		} {
			f := newFleet(Config{Policy: c.policy, Order: c.order, AgingPerTask: c.aging}, c.entries, 10, 8)
			f.byKey = c.byKey
			js := jobs()
			for i := range js {
				js[i].entry %= c.entries
			}
			f.run(js)
			show(c.name, f.lags(80))
		}
	}
}
