// Package keys creates the TLS configuration of sessions between processes from
// PEM files. It reads the files again when they change, so that keys and
// certificates can be replaced without a restart.
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

// ErrUntrusted is returned for a peer whose certificate is not signed by a
// trusted authority.
var ErrUntrusted = errors.New("keys: untrusted peer")

// checkInterval is the shortest time between two checks whether the files have
// changed.
const checkInterval = time.Second

// Files are the paths of the PEM files of a process. CA holds the trusted
// certificates.
type Files struct {
	Cert, Key, CA string
}

// loadedFiles is the content of the files when they were last loaded.
type loadedFiles struct {
	cert     *tls.Certificate
	roots    *x509.CertPool
	modTimes [3]time.Time
}

// Reloader holds the content of the files that was last loaded without an error.
// It is safe for concurrent use.
type Reloader struct {
	files Files

	mu        sync.Mutex
	current   *loadedFiles
	lastCheck time.Time
}

// Open loads the files for the first time.
func Open(files Files) (*Reloader, error) {
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, current: loaded, lastCheck: time.Now()}, nil
}

// Config returns a configuration for clients and servers. Each side presents
// its certificate and verifies that of the peer against the trusted
// certificates.
func (k *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Peers are dialed by IP address. VerifyConnection checks the
		// certificate chain but not the host name.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.latest().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.latest().cert, nil
		},
		VerifyConnection: k.verify,
	}
}

// verify checks the certificate chain of the peer against the trusted
// certificates.
func (k *Reloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrusted
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	opts := x509.VerifyOptions{
		Roots:         k.latest().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return eris.Wrap(ErrUntrusted, err.Error())
	}
	return nil
}

// latest returns the current content. If changed files fail to load, the
// previous content stays in use.
func (k *Reloader) latest() *loadedFiles {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lastCheck) < checkInterval {
		return k.current
	}
	k.lastCheck = time.Now()
	if modTimes(k.files) == k.current.modTimes {
		return k.current
	}
	if loaded, err := load(k.files); err == nil {
		k.current = loaded
	}
	return k.current
}

// load reads and parses the files.
func load(files Files) (*loadedFiles, error) {
	times := modTimes(files)
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
		return nil, eris.Errorf("%s contains no certificate", files.CA)
	}
	return &loadedFiles{cert: &cert, roots: roots, modTimes: times}, nil
}

// modTimes returns when each file was last changed. The time of an inaccessible
// file is zero.
func modTimes(files Files) (times [3]time.Time) {
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
