package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certificateCheck is how often the files are looked at, so that a handshake costs no file access.
const certificateCheck = time.Second

// Certificates holds a TLS certificate and key that are read again when their files change.
type Certificates struct {
	certificate, key string

	mu      sync.Mutex
	loaded  *tls.Certificate
	changed time.Time
	checked time.Time
}

// LoadCertificates reads the files. It fails when they are missing or do not belong together.
func LoadCertificates(certificate, key string) (*Certificates, error) {
	c := &Certificates{certificate: certificate, key: key}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Get returns the current certificate for a handshake. A changed pair that cannot be read leaves
// the last good one in use.
func (c *Certificates) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= certificateCheck {
		c.checked = now
		if t := c.modified(); !t.Equal(c.changed) {
			_ = c.load()
		}
	}
	return c.loaded, nil
}

// load keeps the last good pair on an error.
func (c *Certificates) load() error {
	changed := c.modified()
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return errors.Wrapf(err, "serve: load certificate %s", c.certificate)
	}
	c.loaded, c.changed = &pair, changed
	return nil
}

func (c *Certificates) modified() time.Time {
	var latest time.Time
	for _, f := range []string{c.certificate, c.key} {
		if s, err := os.Stat(f); err == nil && s.ModTime().After(latest) {
			latest = s.ModTime()
		}
	}
	return latest
}

// LoadPool reads certificates of authorities.
func LoadPool(file string) (*x509.CertPool, error) {
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
