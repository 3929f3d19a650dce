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

// tokenFile is the name of the file with the operator token of a fleet that uses TLS.
const tokenFile = "token"

// enableTLS sets up an authority that issues a key to every process, and an operator
// token.
func (f *fleet) enableTLS() (err error) {
	f.token = "for operators"
	path := filepath.Join(f.dir, tokenFile)
	if err := os.WriteFile(path, []byte(f.token+"\n"), 0o600); err != nil {
		return err
	}
	f.extraEntrySettings += fmt.Sprintf("  operator_token_file: %s\n", path)
	f.authority, err = keystest.NewAuthority()
	return err
}

// cmdStrangers opens sessions with a control member and an agent. Sessions without
// keys or with keys of a foreign authority must be refused. Sessions with keys
// of the fleet's authority must succeed.
func cmdStrangers(ts *testscript.TestScript, _ bool, _ []string) {
	f := stateOf(ts).fleet
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
	for _, target := range []linkKey{{anySource, "control-1", "control"}, {anySource, "agent-1", "agent"}} {
		for _, a := range attempts {
			if err := dialWithKeys(f.listenAddresses[target], a.keys); (err == nil) != a.allowed {
				ts.Fatalf("session with %s using %s: %v", target.to, a.name, err)
			}
		}
	}
}

// issueKeys returns the TLS configuration of a new key of the authority.
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

// dialWithKeys opens a session and closes it. wire.Dial returns only after the hello
// of the peer, which shows that the peer accepted the keys.
func dialWithKeys(address string, config *tls.Config) error {
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
