package serve

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
)

// writePair writes a self-signed certificate for 127.0.0.1 and its key to dir and returns the file names.
func writePair(t *testing.T, dir string, serial int64) (certificate, key string) {
	t.Helper()
	is := is.New(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(k)
	is.NoErr(err)
	certificate, key = filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return certificate, key
}

func currentSerial(t *testing.T, c *Certificates) int64 {
	t.Helper()
	c.lastCheck = time.Time{}
	pair, err := c.Get(nil)
	is.New(t).NoErr(err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	is.New(t).NoErr(err)
	return leaf.SerialNumber.Int64()
}

// A renewed certificate must take effect without a restart, and a partially written file must not break TLS.
func TestCertificatesReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certificate, key := writePair(t, dir, 1)
	c, err := LoadCertificates(certificate, key)
	is.NoErr(err)
	is.Equal(currentSerial(t, c), int64(1))

	writePair(t, dir, 2)
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(key, later, later))
	is.Equal(currentSerial(t, c), int64(2))

	is.NoErr(os.WriteFile(certificate, []byte("broken"), 0o600))
	later = later.Add(time.Minute)
	is.NoErr(os.Chtimes(certificate, later, later))
	is.Equal(currentSerial(t, c), int64(2))
}

// With TLS configured, no listener may accept plain TCP, and peers must reach each other over TLS.
func TestFleetOverTLS(t *testing.T) {
	is := is.New(t)
	certificate, key := writePair(t, t.TempDir(), 1)
	f := startFleetSettings(t, fake.Layout{Shards: 2}, fake.ServerConfig{StartWarm: true}, func(s *conf.Settings) {
		s.TLS = conf.TLS{Certificate: certificate, Key: key, CA: certificate}
	}, "Lukang", "Yilan", "Chiayi")
	pool, err := LoadCertPool(certificate)
	is.NoErr(err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	for _, n := range f.nodes {
		f.eventually("successful query over TLS", func() bool {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				"https://"+n.CallerAddress().String()+"/v1/services/service-0/query", strings.NewReader(`{"Kind":"lookup","Query":"q"}`))
			is.NoErr(err)
			q.Header.Set("Authorization", "Bearer "+fake.CallerKey)
			r, err := client.Do(q)
			is.NoErr(err)
			defer r.Body.Close()
			return r.StatusCode == http.StatusOK
		})
	}
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.nodes[0].OpsAddress().String()+"/health", http.NoBody)
	is.NoErr(err)
	r, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	defer r.Body.Close()
	is.Equal(r.StatusCode, http.StatusBadRequest)
}
