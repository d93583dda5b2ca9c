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

// checkInterval is how often changed files are looked for.
const checkInterval = time.Second

type (
	// Files name the PEM files for TLS. Cert and Key go together and make the
	// listeners speak TLS; CA holds the authorities that sign the peers'
	// certificates, and makes clients speak TLS.
	Files struct {
		Cert string
		Key  string
		CA   string
	}

	// identity is the certificate of a listener. It is read again once its
	// files change; while they cannot be read, the last one stays in use.
	identity struct {
		files Files
		clock clock.Clock

		mu      sync.Mutex
		cert    *tls.Certificate
		stamp   time.Time
		checked time.Time
	}
)

// Check returns the findings of the certificate and its key.
func (f Files) Check() finding.List {
	var found finding.List
	if (f.Cert == "") != (f.Key == "") {
		found.Add("--tls-cert, --tls-key", "one without the other", "both or none")
	}
	if f.Cert != "" && f.Key != "" {
		if _, err := tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
			found.Add("--tls-cert, --tls-key", err.Error(), "PEM files of a certificate and its key")
		}
	}
	return found
}

// Client returns the settings of a client as the files are now, nil when no
// authorities are set.
func (f Files) Client() (*tls.Config, error) {
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

// Wrap returns the listener with TLS when a certificate is set, and as it is
// otherwise.
func (f Files) Wrap(l net.Listener, c clock.Clock) net.Listener {
	if f.Cert == "" {
		return l
	}
	id := &identity{files: f, clock: c}
	return tls.NewListener(l, &tls.Config{GetCertificate: id.get, MinVersion: tls.VersionTLS12})
}

// get returns the newest certificate that could be read.
func (id *identity) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	id.mu.Lock()
	defer id.mu.Unlock()
	now := id.clock.Now()
	if id.cert != nil && now.Sub(id.checked) < checkInterval {
		return id.cert, nil
	}
	id.checked = now
	stamp, err := newest(id.files.Cert, id.files.Key)
	if err == nil && id.cert != nil && stamp.Equal(id.stamp) {
		return id.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(id.files.Cert, id.files.Key)
	if err == nil {
		id.cert, id.stamp = &cert, stamp
	}
	if id.cert == nil {
		return nil, errors.Trace(err)
	}
	return id.cert, nil
}

// newest returns the latest time at which one of the files was written.
func newest(paths ...string) (time.Time, error) {
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
