package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/keys"
	"endivewing/internal/keys/keystest"
)

func newAuthority(t *testing.T) *keystest.Authority {
	a, err := keystest.NewAuthority()
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *keystest.Authority, dir string) keys.Files {
	files, err := a.Issue(dir)
	assert.NilError(t, err)
	return files
}

func open(t *testing.T, files keys.Files) *tls.Config {
	k, err := keys.Open(files)
	assert.NilError(t, err)
	return k.Config()
}

// handshake returns the errors of the client and the server.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	a, b := net.Pipe()
	serverResult := make(chan error, 1)
	go func() {
		err := tls.Server(b, server).Handshake()
		_ = b.Close()
		serverResult <- err
	}()
	clientErr = tls.Client(a, client).Handshake()
	_ = a.Close()
	return clientErr, <-serverResult
}

func TestUntrustedPeersAreRejected(t *testing.T) {
	authority := newAuthority(t)
	a := open(t, issue(t, authority, t.TempDir()))
	b := open(t, issue(t, authority, t.TempDir()))
	untrusted := open(t, issue(t, newAuthority(t), t.TempDir()))
	clientErr, serverErr := handshake(a, b)
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
	clientErr, _ = handshake(a, untrusted)
	assert.ErrorIs(t, clientErr, keys.ErrUntrusted)
	_, serverErr = handshake(untrusted, b)
	assert.Assert(t, serverErr != nil)
	_, serverErr = handshake(&tls.Config{InsecureSkipVerify: true}, b)
	assert.Assert(t, serverErr != nil)
}

func TestChangedFilesAreLoadedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		config := open(t, issue(t, newAuthority(t), dir))
		currentCert := func() *tls.Certificate {
			time.Sleep(2 * time.Second)
			cert, err := config.GetCertificate(nil)
			assert.NilError(t, err)
			return cert
		}
		before := currentCert()
		files := issue(t, newAuthority(t), dir)
		later := time.Now().Add(time.Minute)
		assert.NilError(t, os.Chtimes(files.Cert, later, later))
		after := currentCert()
		assert.Assert(t, before != after)
		assert.NilError(t, os.WriteFile(files.Cert, []byte("torn"), 0o600))
		assert.Assert(t, currentCert() == after)
	})
}
