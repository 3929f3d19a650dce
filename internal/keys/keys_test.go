package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority signs certificates in tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a := &authority{key: key, cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}}
	return a
}

// issue writes a certificate, its key and the authority's certificate.
func (a *authority) issue(t *testing.T, dir string) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter}
	signed, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	files := Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	writePEM(t, files.Cert, "CERTIFICATE", signed)
	writePEM(t, files.Key, "PRIVATE KEY", private)
	writePEM(t, files.CA, "CERTIFICATE", root)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// handshake returns the errors of the client and the server.
func handshake(client, server *tls.Config) (error, error) {
	a, b := net.Pipe()
	answer := make(chan error, 1)
	go func() {
		s := tls.Server(b, server)
		err := s.Handshake()
		_ = b.Close()
		answer <- err
	}()
	err := tls.Client(a, client).Handshake()
	_ = a.Close()
	return err, <-answer
}

func open(t *testing.T, files Files) *Keeper {
	k, err := Open(files)
	assert.NilError(t, err)
	return k
}

func TestOnlyTrustedPeersTalk(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a := open(t, ours.issue(t, t.TempDir()))
	b := open(t, ours.issue(t, t.TempDir()))
	stranger := open(t, theirs.issue(t, t.TempDir()))
	clientErr, serverErr := handshake(a.Config(), b.Config())
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
	clientErr, _ = handshake(a.Config(), stranger.Config())
	assert.ErrorIs(t, clientErr, ErrUntrusted)
	_, serverErr = handshake(stranger.Config(), b.Config())
	assert.Assert(t, serverErr != nil)
	_, serverErr = handshake(&tls.Config{InsecureSkipVerify: true}, b.Config())
	assert.Assert(t, serverErr != nil)
}

func TestKeysAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	k := open(t, newAuthority(t).issue(t, dir))
	before := k.newest().cert
	newAuthority(t).issue(t, dir)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(filepath.Join(dir, "cert"), later, later))
	k.checked = time.Time{}
	after := k.newest().cert
	assert.Assert(t, before != after)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "cert"), []byte("torn"), 0o600))
	k.checked = time.Time{}
	assert.Assert(t, k.newest().cert == after)
}
