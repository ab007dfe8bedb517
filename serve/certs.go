package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certificateCheckInterval is the minimum time between checks of the files for changes, so that most handshakes need no
// file access.
const certificateCheckInterval = time.Second

// Certificates provides a TLS certificate and key that are reloaded when their files change.
type Certificates struct {
	certificate, key string

	mu        sync.Mutex
	loaded    *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// LoadCertificates reads the files. It returns an error if they cannot be read or the key does not match the
// certificate.
func LoadCertificates(certificate, key string) (*Certificates, error) {
	c := &Certificates{certificate: certificate, key: key}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Get returns the current certificate for a handshake. If a changed pair cannot be loaded, the last valid one stays in
// use. The error is always nil.
func (c *Certificates) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= certificateCheckInterval {
		c.lastCheck = now
		if t := c.latestModTime(); !t.Equal(c.modTime) {
			_ = c.load()
		}
	}
	return c.loaded, nil
}

// load reads the pair. On an error the last valid pair is kept.
func (c *Certificates) load() error {
	modTime := c.latestModTime()
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return errors.Wrapf(err, "serve: load certificate %s", c.certificate)
	}
	c.loaded, c.modTime = &pair, modTime
	return nil
}

func (c *Certificates) latestModTime() time.Time {
	var latest time.Time
	for _, f := range []string{c.certificate, c.key} {
		if s, err := os.Stat(f); err == nil && s.ModTime().After(latest) {
			latest = s.ModTime()
		}
	}
	return latest
}

// LoadCertPool reads the CA certificates in a PEM file. It returns an error if the file cannot be read or has none.
func LoadCertPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "serve: read CA %s", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("serve: no certificate in CA %s", file)
	}
	return pool, nil
}
