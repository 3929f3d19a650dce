package node

import (
	"endivewing/api/job"
	"endivewing/internal/agent"
	"endivewing/internal/config"
	"endivewing/internal/control"
	"endivewing/internal/entry"
	"endivewing/internal/placement"
)

func (n *Node) controlOptions() control.Options {
	s := &n.settings.Control
	peers := make([]control.Peer, len(s.Members))
	for i, m := range s.Members {
		peers[i] = control.Peer{ID: m.ID, Name: m.Name, Address: m.Address, Zone: m.Zone}
	}
	return control.Options{
		Cluster:             n.settings.Cluster,
		Name:                n.settings.Name,
		Zone:                n.settings.Zone,
		ID:                  s.ID,
		ListenAddress:       s.Listen,
		DataDir:             s.Data,
		Join:                s.Join,
		Members:             peers,
		Lease:               s.Lease.D(),
		Tick:                s.ElectionTimeout.D() / control.DefaultElectionTicks,
		AnswerRetention:     s.Retention.D(),
		SubmissionRetention: s.Remember.D(),
		SnapshotEntries:     s.SnapshotEntries,
		TLS:                 n.tls,
		Log:                 n.log.WithName(config.RoleControl),
		Scope:               n.metrics.Scope.SubScope(config.RoleControl),
	}
}

func (n *Node) agentOptions() agent.Options {
	s := &n.settings.Agent
	return agent.Options{
		Cluster:          n.settings.Cluster,
		Name:             n.settings.Name,
		Zone:             n.settings.Zone,
		ListenAddress:    s.Listen,
		AdvertiseAddress: s.Advertise,
		ControlAddresses: n.settings.ControlAddresses,
		MinionURL:        s.Minion,
		Services:         s.Services,
		Slots:            s.Slots,
		Connections:      s.Connections,
		QueueTasks:       s.QueueTasks,
		QueueBytes:       int(s.QueueBytes),
		ResultBytes:      int(s.ResultBytes),
		TLS:              n.tls,
		Log:              n.log.WithName(config.RoleAgent),
		Scope:            n.metrics.Scope.SubScope(config.RoleAgent),
	}
}

func (n *Node) entryOptions() entry.Options {
	s := &n.settings.Entry
	return entry.Options{
		Cluster:          n.settings.Cluster,
		Name:             n.settings.Name,
		Zone:             n.settings.Zone,
		ListenAddress:    s.Listen,
		AdvertiseHTTP:    s.Advertise,
		ControlAddresses: n.settings.ControlAddresses,
		JobLimits:        job.Limits{Tasks: s.MaxTasks, PayloadBytes: int(s.MaxPayload)},
		MaxBodyBytes:     int64(s.MaxBody),
		ReadTimeout:      s.ReadTimeout.D(),
		IdleTimeout:      s.IdleTimeout.D(),
		DefaultTimeout:   s.DefaultTimeout.D(),
		DrainDelay:       s.DrainDelay.D(),
		Placement: placement.Config{
			Policy:          s.Policy,
			Order:           s.Order,
			MaxWaitingTasks: s.QueueTasks,
			MaxWaitingBytes: int64(s.QueueBytes),
			MaxWait:         s.MaxWait.D(),
		},
		OperatorToken: operatorToken(s.OperatorTokenFile),
		Metrics:       n.metrics.Handler(),
		Dump:          n.Dump,
		TLS:           n.tls,
		Log:           n.log.WithName(config.RoleEntry),
		Scope:         n.metrics.Scope.SubScope(config.RoleEntry),
	}
}
