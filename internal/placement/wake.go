package placement

import "time"

const (
	// refusedPause is the mean time for which an agent that did not run a
	// task gets no other one.
	refusedPause = 50 * time.Millisecond
	// openWindow is the window of an agent that has not refused lately.
	openWindow = 1 << 30
)

// wakeBy makes sure that wake looks at the agents at a time.
func (d *Dispatcher) wakeBy(at time.Time) {
	if d.nextWake.IsZero() || at.Before(d.nextWake) {
		d.nextWake = at
	}
}

// wake lets agents in whose pause is over, and checks the speed of one agent.
func (d *Dispatcher) wake(now time.Time) {
	d.checkOneSpeed(now)
	if d.nextWake.IsZero() || now.Before(d.nextWake) {
		return
	}
	d.nextWake = time.Time{}
	for _, a := range d.list {
		d.wakeAgent(a, now)
	}
}

func (d *Dispatcher) wakeAgent(a *agent, now time.Time) {
	if a.health.state == trickling && !a.health.due && a.outstanding == 0 {
		if now.Before(a.health.probeAt) {
			d.wakeBy(a.health.probeAt)
		} else {
			a.health.due = true
		}
	}
	if a.paused {
		if now.Before(a.pausedUntil) {
			d.wakeBy(a.pausedUntil)
		} else {
			a.paused = false
		}
	}
	a.refresh(d)
}

// checkOneSpeed judges the agents in turn, one a call.
func (d *Dispatcher) checkOneSpeed(now time.Time) {
	if len(d.list) == 0 {
		return
	}
	d.speedAt++
	if d.speedAt >= len(d.list) {
		d.speedAt = 0
	}
	a := d.list[d.speedAt]
	d.judgeSpeed(a, now)
	a.refresh(d)
}

// narrow makes the window smaller after an agent did not run a task.
func (d *Dispatcher) narrow(a *agent, now time.Time) {
	a.window = max(1, float64(a.outstanding))
	a.paused = true
	a.pausedUntil = now.Add(refusedPause/2 + time.Duration(d.rand.Int64N(int64(refusedPause))))
	d.wakeBy(a.pausedUntil)
}

// widen opens the window by about one task for each full window that ended.
func (d *Dispatcher) widen(a *agent) {
	if a.window == openWindow {
		return
	}
	a.window += 1 / max(a.window, 1)
	if a.window >= float64(d.policy.limit(a)) {
		a.window = openWindow
	}
}
