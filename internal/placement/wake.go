package placement

import "time"

const (
	// refusalBackoff is the mean time for which an agent gets no task after it
	// has returned a task without running it.
	refusalBackoff = 50 * time.Millisecond
	// unlimitedWindow is the window of an agent that has not refused a task
	// recently.
	unlimitedWindow = 1 << 30
)

// resumeBy makes sure that resumeAgents checks the agents at this time or
// earlier.
func (d *Dispatcher) resumeBy(at time.Time) {
	if d.nextResume.IsZero() || at.Before(d.nextResume) {
		d.nextResume = at
	}
}

// resumeAgents resumes the agents whose backoff is over, and checks the speed of
// one agent.
func (d *Dispatcher) resumeAgents(now time.Time) {
	d.checkNextSpeed(now)
	if d.nextResume.IsZero() || now.Before(d.nextResume) {
		return
	}
	d.nextResume = time.Time{}
	for _, a := range d.agentList {
		d.resumeAgent(a, now)
	}
}

// resumeAgent ends the backoffs of the agent that are over, and makes sure that
// resumeAgents runs at the end of the others.
func (d *Dispatcher) resumeAgent(a *agent, now time.Time) {
	if a.health.state == probing && !a.health.probeDue && a.outstanding == 0 {
		if now.Before(a.health.probeAt) {
			d.resumeBy(a.health.probeAt)
		} else {
			a.health.probeDue = true
		}
	}
	if a.paused {
		if now.Before(a.pausedUntil) {
			d.resumeBy(a.pausedUntil)
		} else {
			a.paused = false
		}
	}
	a.updateListing(d)
}

// checkNextSpeed checks the speed of one agent per call, of each in turn.
func (d *Dispatcher) checkNextSpeed(now time.Time) {
	if len(d.agentList) == 0 {
		return
	}
	d.speedIndex++
	if d.speedIndex >= len(d.agentList) {
		d.speedIndex = 0
	}
	a := d.agentList[d.speedIndex]
	d.ejectIfSlow(a, now)
	a.updateListing(d)
}

// shrinkWindow reduces the agent's window to its outstanding tasks, and starts a
// backoff, after the agent has refused a task.
func (d *Dispatcher) shrinkWindow(a *agent, now time.Time) {
	a.window = max(1, float64(a.outstanding))
	a.paused = true
	a.pausedUntil = now.Add(refusalBackoff/2 + time.Duration(d.rand.Int64N(int64(refusalBackoff))))
	d.resumeBy(a.pausedUntil)
}

// growWindow raises the window by about one task for each full window of done
// tasks, up to the limit of the policy.
func (d *Dispatcher) growWindow(a *agent) {
	if a.window == unlimitedWindow {
		return
	}
	a.window += 1 / max(a.window, 1)
	if a.window >= float64(d.policy.limit(a)) {
		a.window = unlimitedWindow
	}
}
