package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"endivewing/internal/config"
	"endivewing/internal/dispatcher"
	"endivewing/internal/formation"
	"endivewing/internal/runner"
	"endivewing/internal/sleep"
	"endivewing/platform"
)

const (
	// fleetHeaderTimeout bounds how long the header of a request may take.
	fleetHeaderTimeout = 3 * time.Second
	// fleetIdleTimeout is how long an idle connection is kept.
	fleetIdleTimeout = 75 * time.Second
	// leaveBalancer is how long a stopping dispatcher goes on taking work: the
	// balancer asks once a second and believes the second miss.
	leaveBalancer = 2600 * time.Millisecond
	// closeTime is how long a server may take to end that refuses everything: a
	// refusal takes a millisecond, and callers notice 0.2 s of silence.
	closeTime = 80 * time.Millisecond
	// dispatcherGC is the growth of the heap, in percent, between two collections
	// of a dispatcher: its live heap is a few megabytes, and time is scarcer.
	dispatcherGC = 400
	// memoryShare of the host's memory is where collections become frequent:
	// the rest is for what the runtime does not count.
	memoryShare = 0.55
	// stopMargin is what a stop keeps of its time to close what is left.
	stopMargin = 500 * time.Millisecond
)

// fleet is the one role of a process that finds the others from seeds.
type fleet struct {
	member     *formation.Member
	dispatcher *dispatcher.Process
	runner     *runner.Process
	servers    []*http.Server
	// addresses are where the servers listen, by whom they serve.
	addresses map[string]string
}

func (n *Node) startFleet(ctx context.Context) error {
	s := n.settings
	switch {
	case s.Has(config.RoleMember):
		return n.startMember(ctx)
	case s.Has(config.RoleDispatcher):
		return n.startDispatcher()
	case s.Has(config.RoleRunner):
		return n.startRunner()
	}
	return nil
}

func (n *Node) startMember(ctx context.Context) (err error) {
	s := n.settings
	n.fleet.member, err = formation.Start(ctx, formation.Options{
		Cluster: s.Cluster, Name: s.Name, Zone: s.Zone,
		Address: s.Fleet.SessionAddress(), ListenAddress: s.Fleet.ListenAddress(),
		Seeds: s.Fleet.SeedSessions(), FirstStart: s.Fleet.FirstStart,
		DataDir: s.Fleet.Data, Voters: s.Fleet.Voters(),
		Log: n.log, Scope: n.metrics.Scope.SubScope(config.RoleMember),
	})
	if err != nil {
		return eris.Wrap(err, "start member")
	}
	operator := &platform.OperatorServer{Documents: n.fleet.member, Log: n.log}
	return n.serve("operators", s.Fleet.Operators, operator.Handler())
}

func (n *Node) startDispatcher() error {
	s := n.settings
	debug.SetGCPercent(dispatcherGC)
	if s.Fleet.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Fleet.Memory) * memoryShare))
	}
	scope := n.metrics.Scope.SubScope(config.RoleDispatcher)
	n.fleet.dispatcher = dispatcher.Start(dispatcher.Options{
		Cluster: s.Cluster, Name: s.Name, Zone: s.Zone, Seeds: s.Fleet.SeedSessions(),
		Decode: platform.DecodeDocument,
		Log:    n.log, Scope: scope,
	})
	front := &platform.CallerServer{Dispatcher: n.fleet.dispatcher, Log: n.log, Scope: scope}
	if err := n.serve("balancer", s.Fleet.Readiness, front.ReadyHandler()); err != nil {
		return err
	}
	return n.serve("callers", s.Fleet.Callers, front.Handler())
}

func (n *Node) startRunner() (err error) {
	s := n.settings
	n.fleet.runner, err = runner.Start(runner.Options{
		Cluster: s.Cluster, Name: s.Name, Zone: s.Zone,
		Address: s.Fleet.SessionAddress(), ListenAddress: s.Fleet.ListenAddress(), Seeds: s.Fleet.SeedSessions(),
		Minion: platform.NewMinion(s.Fleet.Minion), StopTimeout: s.StopTimeout.D() - stopMargin,
		Log: n.log, Scope: n.metrics.Scope.SubScope(config.RoleRunner),
	})
	if err != nil {
		return eris.Wrap(err, "start runner")
	}
	reports := &platform.MinionServer{Runner: n.fleet.runner, Log: n.log}
	return n.serve("minion", s.Fleet.Reports, reports.Handler())
}

// serve answers HTTP requests at an address until the node stops; whom names
// who asks there.
func (n *Node) serve(whom, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: fleetHeaderTimeout, IdleTimeout: fleetIdleTimeout}
	n.fleet.servers = append(n.fleet.servers, server)
	if n.fleet.addresses == nil {
		n.fleet.addresses = map[string]string{}
	}
	n.fleet.addresses[whom] = l.Addr().String()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error(err, "HTTP server ended", "address", address)
		}
	}()
	return nil
}

// Reload takes changed settings in: only the seeds can change while a process
// runs.
func (n *Node) Reload(s *config.Settings) {
	n.log.Info("settings read again", "seeds", s.Fleet.Seeds)
	seeds := s.Fleet.SeedSessions()
	switch {
	case n.fleet.member != nil:
		n.fleet.member.Reseed(seeds)
	case n.fleet.dispatcher != nil:
		n.fleet.dispatcher.SetSeeds(seeds)
	case n.fleet.runner != nil:
		n.fleet.runner.SetSeeds(seeds)
	}
}

// leaveFleet ends the service of the role: a dispatcher first leaves the
// balancer, then answers what it has, and tells those who still come that it
// takes nothing. Its sessions are left open.
func (n *Node) leaveFleet(ctx context.Context) {
	f := &n.fleet
	if f.dispatcher != nil {
		n.log.Info("dispatcher stopping")
		f.dispatcher.Leave()
		sleep.For(ctx, leaveBalancer)
		f.dispatcher.Refuse()
		answered, cancel := context.WithTimeout(ctx, time.Until(deadlineOf(ctx))-stopMargin)
		f.dispatcher.Finish(answered)
		cancel()
	}
	if f.runner != nil {
		f.runner.Stop(ctx)
	}
	for _, server := range f.servers {
		closeServer(ctx, server, n.log)
	}
	if f.member != nil {
		f.member.Stop(ctx)
	}
}

// httpServer is what of a server its end needs.
type httpServer interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// closeServer ends a server that has nothing left to do. Between its listener's
// end and the process's, requests on connections that were never accepted wait
// in vain, so what is still open is cut after closeTime.
func closeServer(ctx context.Context, server httpServer, log logr.Logger) {
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	if err := server.Shutdown(ctx); err == nil {
		return
	}
	if err := server.Close(); err != nil {
		log.Error(err, "HTTP connections cut")
	}
}

// deadlineOf is when a context ends; now for one without an end.
func deadlineOf(ctx context.Context) time.Time {
	if end, ok := ctx.Deadline(); ok {
		return end
	}
	return time.Now()
}

// dump adds the state of the role.
func (f *fleet) dump(roles map[string]any) {
	if f.member != nil {
		roles[config.RoleMember] = f.member.Dump()
	}
	if f.dispatcher != nil {
		roles[config.RoleDispatcher] = f.dispatcher.Dump()
	}
	if f.runner != nil {
		roles[config.RoleRunner] = f.runner.Dump()
	}
}
