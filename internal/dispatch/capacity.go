package dispatch

// CPUCapacity returns the free and the total processor capacity of the runners that
// accept new tasks, in thousandths of a core, as last reported and less what
// was placed since.
func (d *Dispatcher) CPUCapacity() (free, capacity int64) {
	for _, r := range d.sortedRunners {
		if r.acceptsTasks() {
			free += max(r.Free.CPU, 0)
			capacity += r.Capacity.CPU
		}
	}
	return free, capacity
}

// freeCapacity bounds what the runners of one service can accept. When no
// capacity is free and many jobs wait, it avoids a check of every runner for
// each job.
type freeCapacity struct {
	runners []*runner
	service string
	valid   bool
	// largest holds, for each resource, the largest free amount at one runner.
	// totalCPU is the free capacity of all runners in thousandths of a core.
	largest  Need
	totalCPU int64
	// mayWait is set if no task is known to wait at one of the runners.
	mayWait bool
}

// update computes the free capacity of a service unless it is up to date.
func (f *freeCapacity) update(service string) {
	if f.valid && f.service == service {
		return
	}
	f.valid, f.service, f.largest, f.totalCPU, f.mayWait = true, service, Need{}, 0, false
	for _, r := range f.runners {
		if !r.acceptsTasks() || r.Service != service {
			continue
		}
		f.largest.CPU = max(f.largest.CPU, r.Free.CPU)
		f.largest.Memory = max(f.largest.Memory, r.Free.Memory)
		f.largest.GPUs = max(f.largest.GPUs, r.Free.GPUs)
		f.totalCPU += max(r.Free.CPU, 0)
		f.mayWait = f.mayWait || !r.taskWaits()
	}
}

// mayPlace reports whether a task of a job may fit now, or may wait at a runner.
func (f *freeCapacity) mayPlace(o *openJob) bool {
	return f.mayFit(o) || f.mayWait && o.mayWaitAtRunner()
}

// mayFit reports whether a waiting task of a job may fit now. For a job that
// starts all its tasks together, it reports whether all of them may.
func (f *freeCapacity) mayFit(o *openJob) bool {
	f.update(o.Service)
	fits := false
	var needed int64
	for step := range o.Steps {
		if o.waiting[step] == 0 || !o.stepReady(step) {
			continue
		}
		need := o.Steps[step].Need
		fits = fits || need.Fits(f.largest)
		needed += need.CPU * int64(o.waiting[step])
	}
	return fits && (o.Priority < allOrNothingPriority || o.mayHaveRun() || needed <= f.totalCPU)
}

// allFit reports whether all waiting tasks of a job fit now.
func (d *Dispatcher) allFit(o *openJob) bool {
	for step := range o.Steps {
		if o.waiting[step] > 0 && o.stepReady(step) && !d.stepFits(o, step) {
			return false
		}
	}
	return true
}

// stepFits reports whether all waiting tasks of a step fit now.
func (d *Dispatcher) stepFits(o *openJob, step int) bool {
	s := &o.Steps[step]
	left := int64(o.waiting[step])
	for _, r := range d.sortedRunners {
		if !r.acceptsTasks() || !r.canRun(o.Service, s) {
			continue
		}
		if left -= s.Need.FitCount(r.Free, left); left <= 0 {
			return true
		}
	}
	return false
}
