// Package keystest creates certificates for tests.
package keystest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"endivewing/internal/keys"
)

// validity is how long before and after its creation a certificate is valid.
const validity = time.Hour

// Authority is a certificate authority. Its own certificate is self-signed.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	cert := certTemplate(1)
	cert.IsCA = true
	cert.BasicConstraintsValid = true
	return &Authority{key: key, cert: cert}, nil
}

func certTemplate(serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}

// Issue writes a new private key, its certificate and the authority's
// certificate into a folder.
func (a *Authority) Issue(dir string) (keys.Files, error) {
	files := keys.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "generate key")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode key")
	}
	if err := writePEM(files.Key, "PRIVATE KEY", private); err != nil {
		return files, err
	}
	if err := a.sign(files.Cert, certTemplate(2), key); err != nil {
		return files, err
	}
	return files, a.sign(files.CA, a.cert, a.key)
}

// sign writes a certificate for the public key of key, signed by the authority.
func (a *Authority) sign(path string, cert *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	return writePEM(path, "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
