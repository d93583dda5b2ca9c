package httpd

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/finding"
)

// certCheckInterval is the minimum time between two checks of the certificate files
// for changes.
const certCheckInterval = time.Second

type (
	// TLSFiles are the paths of the PEM files for TLS.
	TLSFiles struct {
		// Cert and Key are a certificate and its private key. They are set together
		// and enable TLS on listeners.
		Cert string
		Key  string
		// CA holds the authorities that sign the servers' certificates. It enables
		// TLS in clients.
		CA string
	}

	// certReloader holds the certificate of a listener. It reloads the certificate when
	// its files change; while they cannot be loaded, the last one stays in use.
	certReloader struct {
		files TLSFiles
		clock clock.Clock

		mu        sync.Mutex
		cert      *tls.Certificate
		modified  time.Time
		checkedAt time.Time
	}
)

// Check returns the findings about the certificate and its key.
func (f TLSFiles) Check() finding.List {
	var findings finding.List
	if (f.Cert == "") != (f.Key == "") {
		findings.Add("--tls-cert, --tls-key", "one without the other", "both or none")
	}
	if f.Cert != "" && f.Key != "" {
		if _, err := tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
			findings.Add("--tls-cert, --tls-key", err.Error(), "PEM files of a certificate and its key")
		}
	}
	return findings
}

// ClientConfig loads the authorities and returns the TLS configuration of a client, nil
// when no authorities are set.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	if f.CA == "" {
		return nil, nil
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("certificates in %s", f.CA)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// WrapListener returns a TLS listener on top of l, or l itself when no certificate is set.
func (f TLSFiles) WrapListener(l net.Listener, c clock.Clock) net.Listener {
	if f.Cert == "" {
		return l
	}
	id := &certReloader{files: f, clock: c}
	return tls.NewListener(l, &tls.Config{GetCertificate: id.getCertificate, MinVersion: tls.VersionTLS12})
}

// getCertificate implements tls.Config.GetCertificate. It returns the newest
// certificate that could be loaded.
func (r *certReloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.cert != nil && now.Sub(r.checkedAt) < certCheckInterval {
		return r.cert, nil
	}
	r.checkedAt = now
	modified, err := latestModTime(r.files.Cert, r.files.Key)
	if err == nil && r.cert != nil && modified.Equal(r.modified) {
		return r.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err == nil {
		r.cert, r.modified = &cert, modified
	}
	if r.cert == nil {
		return nil, errors.Trace(err)
	}
	return r.cert, nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(paths ...string) (time.Time, error) {
	var latest time.Time
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return latest, errors.Trace(err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
