package placement

// order gives each waiting job a key; the smallest is served first. Keys of
// the first-come and aged orders are points in time (microseconds since 1970)
// and so stay valid while the job waits and compare across entries.
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
