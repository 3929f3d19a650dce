package placement

// order computes the key of a waiting job; the job with the smallest key is
// served first. The keys of the first-come and aged orders are times in
// microseconds since 1970. They stay valid while the job waits, and keys of
// different entries can be compared.
type order interface {
	key(d *Dispatcher, j *job) uint64
}

var orders = map[string]order{
	OrderFirstCome:       firstCome{},
	OrderFewestRemaining: fewestRemaining{},
	OrderAged:            aged{},
}

type firstCome struct{}

func (firstCome) key(_ *Dispatcher, j *job) uint64 { return uint64(j.info.Accepted.UnixMicro()) }

type fewestRemaining struct{}

func (fewestRemaining) key(_ *Dispatcher, j *job) uint64 { return uint64(j.remaining) }

type aged struct{}

func (aged) key(d *Dispatcher, j *job) uint64 {
	bonus := int64(j.remaining) * d.cfg.AgingPerTask.Microseconds()
	return uint64(j.info.Accepted.UnixMicro() + bonus)
}
