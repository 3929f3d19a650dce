package load

import (
	"math"
	"math/rand/v2"
	"time"

	"endivewing/internal/baseline"
)

const (
	seedMix        = 0x9e3779b97f4a7c15
	largeJobShare  = 0.02 // share of the jobs of SizesMixed whose size is uniform
	lognormalSigma = 1.0
)

// submission is one job of the workload.
type submission struct {
	baseline.Job
	team     string
	declared []uint32 // milliseconds, nil when nothing is declared
}

// workload draws all jobs of a run. Equal options yield equal jobs.
func workload(o Options) []submission {
	r := rand.New(rand.NewPCG(o.Seed, seedMix))
	var jobs []submission
	at := time.Duration(0)
	for {
		at += drawGap(r, o.arrivalRate()*burstFactor(o.Bursts, at))
		if at >= o.Duration {
			return jobs
		}
		jobs = append(jobs, drawJob(r, o, at))
	}
}

// drawGap draws the time to the next arrival of a Poisson process.
func drawGap(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// burstFactor returns the factor of the arrival rate at the given time since the
// start of the run; 1 outside bursts.
func burstFactor(bursts []Burst, at time.Duration) float64 {
	for _, b := range bursts {
		if at >= b.At && at < b.At+b.Length {
			return b.Factor
		}
	}
	return 1
}

func drawJob(r *rand.Rand, o Options, at time.Duration) submission {
	s := submission{team: drawTeam(r, o.Teams)}
	s.Arrival = at
	for range drawSize(r, o) {
		run := drawRun(r, o)
		s.RunTimes = append(s.RunTimes, run)
		if o.MaxDeclaredFactor >= 1 {
			s.declared = append(s.declared, drawDeclared(r, run, o.MaxDeclaredFactor))
		}
	}
	return s
}

func drawTeam(r *rand.Rand, teams []Team) string {
	sum := 0.0
	for _, t := range teams {
		sum += t.Share
	}
	x := r.Float64() * sum
	for _, t := range teams {
		if x -= t.Share; x < 0 {
			return t.Name
		}
	}
	return teams[len(teams)-1].Name
}

func drawSize(r *rand.Rand, o Options) int {
	mean := o.TasksMean
	switch o.Sizes {
	case SizesFixed:
		return int(mean)
	case SizesMixed:
		large := float64(o.TasksMax+1) / 2
		if r.Float64() < largeJobShare {
			return 1 + r.IntN(o.TasksMax)
		}
		mean = max(1, (mean-largeJobShare*large)/(1-largeJobShare))
	}
	return min(geometric(r, mean), o.TasksMax)
}

// geometric draws a number of at least 1 from the geometric distribution with the
// given mean.
func geometric(r *rand.Rand, mean float64) int {
	if mean <= 1 {
		return 1
	}
	return 1 + int(math.Log(1-r.Float64())/math.Log(1-1/mean))
}

// drawRun draws a run time in whole milliseconds, the unit of the payload for
// minions.
func drawRun(r *rand.Rand, o Options) time.Duration {
	mean := float64(o.MeanRunTime)
	x := mean
	switch o.RunTimes {
	case RunsExponential:
		x = mean * r.ExpFloat64()
	case RunsUniform:
		x = 2 * mean * r.Float64()
	case RunsLognormal:
		x = mean * math.Exp(lognormalSigma*r.NormFloat64()-lognormalSigma*lognormalSigma/2)
	}
	return time.Duration(x).Round(time.Millisecond)
}

// drawDeclared draws the declared run time, in milliseconds, of a task with this
// run time.
func drawDeclared(r *rand.Rand, run time.Duration, off float64) uint32 {
	exponent := 2*r.Float64() - 1
	ms := float64(run.Milliseconds()) * math.Pow(off, exponent)
	return uint32(max(1, math.Round(ms)))
}
