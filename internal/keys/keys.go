// Package keys makes the TLS configurations of sessions between processes
// from PEM files. The files are read again when they change, so that keys are
// replaced without a restart.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUntrusted is returned for a peer whose certificate no trusted one signed.
var ErrUntrusted = errors.New("keys: untrusted peer")

// checkInterval is how often the files are looked at for changes.
const checkInterval = time.Second

// Files are the PEM files of a process.
type Files struct {
	Cert, Key, CA string
}

// pair is one reading of the files.
type pair struct {
	cert  *tls.Certificate
	roots *x509.CertPool
	stamp [3]time.Time
}

// Keeper holds the newest good reading of the files.
type Keeper struct {
	files Files

	mu      sync.Mutex
	current *pair
	checked time.Time
}

// Open reads the files for the first time.
func Open(files Files) (*Keeper, error) {
	p, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Keeper{files: files, current: p, checked: time.Now()}, nil
}

// Config returns a configuration for both ends of a session: each side shows
// its certificate and checks the other's against the trusted ones.
func (k *Keeper) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Peers are reached by IP number, so the chain is checked below
		// instead of the host name.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.newest().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.newest().cert, nil
		},
		VerifyConnection: k.verify,
	}
}

// verify holds the peer's chain against the trusted certificates.
func (k *Keeper) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrusted
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	opts := x509.VerifyOptions{
		Roots:         k.newest().roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return eris.Wrap(ErrUntrusted, err.Error())
	}
	return nil
}

// newest returns the present reading. Files that changed but can't be read
// leave the former reading in force.
func (k *Keeper) newest() *pair {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) < checkInterval {
		return k.current
	}
	k.checked = time.Now()
	if stamp(k.files) == k.current.stamp {
		return k.current
	}
	if p, err := read(k.files); err == nil {
		k.current = p
	}
	return k.current
}

func read(files Files) (*pair, error) {
	at := stamp(files)
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate and key")
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read trusted certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, eris.Errorf("%s holds no certificate", files.CA)
	}
	return &pair{cert: &cert, roots: roots, stamp: at}, nil
}

// stamp is when each file was last changed; zero for one that can't be seen.
func stamp(files Files) (at [3]time.Time) {
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			at[i] = info.ModTime()
		}
	}
	return at
}
