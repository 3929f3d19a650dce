package scenarios

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/keys"
	"endivewing/internal/keys/keystest"
	"endivewing/internal/wire"
)

// tokenFile holds the operators' token of a fleet with keys.
const tokenFile = "token"

// useKeys gives every process keys of one authority and the operators a token.
func (f *fleet) useKeys() (err error) {
	f.token = "for operators"
	path := filepath.Join(f.dir, tokenFile)
	if err := os.WriteFile(path, []byte(f.token+"\n"), 0o600); err != nil {
		return err
	}
	f.entryLines += fmt.Sprintf("  operator_token_file: %s\n", path)
	f.authority, err = keystest.NewAuthority()
	return err
}

// cmdStrangers tries sessions with a control member and an agent: without keys
// and with those of another authority there must be none, with keys of the
// fleet's there must be one.
func cmdStrangers(ts *testscript.TestScript, _ bool, _ []string) {
	f := stageOf(ts).fleet
	foreign, err := keystest.NewAuthority()
	if err != nil {
		ts.Fatalf("%v", err)
	}
	attempts := []struct {
		name    string
		keys    *tls.Config
		allowed bool
	}{
		{"no keys", nil, false},
		{"keys of another authority", issueKeys(ts, foreign), false},
		{"keys of the fleet", issueKeys(ts, f.authority), true},
	}
	for _, target := range []linkKey{{anyone, "control-1", "control"}, {anyone, "agent-1", "agent"}} {
		for _, a := range attempts {
			if err := dialAs(f.serving[target], a.keys); (err == nil) != a.allowed {
				ts.Fatalf("%s with %s: %v", target.to, a.name, err)
			}
		}
	}
}

func issueKeys(ts *testscript.TestScript, a *keystest.Authority) *tls.Config {
	files, err := a.Issue(ts.MkAbs(".tmp"))
	if err != nil {
		ts.Fatalf("%v", err)
	}
	keeper, err := keys.Open(files)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	return keeper.Config()
}

// dialAs opens a session and ends it. The hello of the other side shows that it
// has taken the keys.
func dialAs(address string, config *tls.Config) error {
	s, err := wire.Dial(context.Background(), address, wire.Options{
		Hello:   func() *wirepb.Hello { return &wirepb.Hello{Role: "entry", Name: "x", Cluster: "scenario"} },
		Handler: func(*wire.Session, *wirepb.Envelope) {},
		TLS:     config,
		Log:     logr.Discard(),
	})
	if err != nil {
		return err
	}
	s.Close()
	return nil
}
