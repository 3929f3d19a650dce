package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/config"
	"endivewing/internal/controlclient"
	"endivewing/internal/node"
)

// memberCommand sends requests to the control members directly, so that it works
// without an entry.
type memberCommand struct {
	Status memberStatusCommand `cmd:"" help:"Print the control members."`
	Join   memberJoinCommand   `cmd:"" help:"Add the member that a settings file describes; it can replace a lost one."`
	Remove memberRemoveCommand `cmd:"" help:"Remove a member."`
}

// promoteBackoff is the pause between two attempts to promote the new member.
const promoteBackoff = 200 * time.Millisecond

// memberFlags holds the flags of every member command.
type memberFlags struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file of a control member; its keys and list of members are used."`
	Output string `short:"o" enum:"json,yaml,table" default:"table" help:"Output format: json, yaml or table."`
}

// newClient returns a client for the control members in the settings, and the
// settings. A member that joins is left out, because it can't answer yet.
func (f *memberFlags) newClient() (*controlclient.Client, *config.Settings, error) {
	s, err := config.LoadFile(f.Config)
	if err != nil {
		return nil, nil, err
	}
	tlsConfig, err := node.SessionTLSConfig(s)
	if err != nil {
		return nil, nil, err
	}
	opts := controlclient.Options{
		TLS:   tlsConfig,
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "operator", Name: "member", Cluster: s.Cluster} },
		Log:   logr.Discard(),
	}
	for _, m := range s.Control.Members {
		if m.ID != s.Control.ID || !s.Control.Join {
			opts.Addresses = append(opts.Addresses, m.Address)
		}
	}
	return controlclient.New(opts), s, nil
}

type memberStatusCommand struct{ memberFlags }

// Run prints the members, the leader and the term.
func (c *memberStatusCommand) Run(ctx context.Context, o *output) error {
	client, _, err := c.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	return o.requestMembership(ctx, client, c.Output, wirepb.MembershipAction_MEMBERSHIP_ACTION_STATUS, nil, 0)
}

type memberJoinCommand struct {
	memberFlags
	Lost    uint64        `help:"ID of a lost member that is removed in the same change."`
	Timeout time.Duration `default:"10m" help:"Time limit for the new member to catch up."`
}

// Run adds the member as a learner and promotes it to a voter as soon as it has
// caught up. The lost member is removed in the same change as the promotion.
func (c *memberJoinCommand) Run(ctx context.Context, o *output) error {
	client, s, err := c.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	self, ok := s.Control.Self()
	if !ok {
		return &exitError{code: exitUsage, cause: fmt.Errorf("%s: control.members has no member %d", c.Config, s.Control.ID)}
	}
	m := &wirepb.Member{Id: self.ID, Name: self.Name, Address: self.Address, Zone: self.Zone}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	add := &wirepb.MembershipRequest{Action: wirepb.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER, Member: m}
	if _, err := client.Membership(ctx, add); err != nil {
		return memberError(err)
	}
	fmt.Fprintf(o.err, "member %d is added as a learner and catches up\n", m.Id)
	for {
		err := o.requestMembership(ctx, client, c.Output, wirepb.MembershipAction_MEMBERSHIP_ACTION_PROMOTE, m, c.Lost)
		if err == nil || ctx.Err() != nil || !errors.Is(err, controlclient.ErrNotRun) {
			return err
		}
		time.Sleep(promoteBackoff)
	}
}

type memberRemoveCommand struct {
	memberFlags
	ID uint64 `arg:"" help:"ID of the member."`
}

// Run removes a member.
func (c *memberRemoveCommand) Run(ctx context.Context, o *output) error {
	client, _, err := c.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	return o.requestMembership(ctx, client, c.Output, wirepb.MembershipAction_MEMBERSHIP_ACTION_REMOVE, &wirepb.Member{Id: c.ID}, 0)
}

// requestMembership sends one membership request and prints the members as they
// are after it. replace is the ID of the voter that a promotion replaces; 0 is none.
func (o *output) requestMembership(
	ctx context.Context, client *controlclient.Client, format string,
	action wirepb.MembershipAction, m *wirepb.Member, replace uint64,
) error {
	r, err := client.Membership(ctx, &wirepb.MembershipRequest{Action: action, Member: m, Replace: replace})
	if err != nil {
		return memberError(err)
	}
	return o.render(format, r, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tNAME\tADDRESS\tZONE\tROLE")
		for _, m := range r.Members {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", m.Id, m.Name, m.Address, m.Zone, memberRole(m, r.Leader))
		}
	})
}

func memberRole(m *wirepb.Member, leader uint64) string {
	switch {
	case m.Learner:
		return "learner"
	case m.Id == leader:
		return "leader"
	default:
		return "voter"
	}
}

// memberError wraps an error of the control client with its exit code.
func memberError(err error) error {
	code := exitFailed
	switch {
	case errors.Is(err, controlclient.ErrUnknownOutcome):
		code = exitUnknown
	case errors.Is(err, controlclient.ErrNotRun):
		code = exitUnavailable
	}
	return &exitError{code: code, cause: err}
}
