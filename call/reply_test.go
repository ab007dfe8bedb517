package call

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// FuzzOrderReply guards against a reply that is classified as a result or as a closed key although its
// contents do not say so.
func FuzzOrderReply(f *testing.F) {
	f.Add(200, []byte(`{"Key":"k","Outcome":"Answered","Result":1}`))
	f.Add(503, []byte(`{"Outcome":"Refused","NotRun":true,"Step":"lease","Reason":"NoHome"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		r := reply{sent: true}
		r.read(&http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))})
		var result OrderResult
		outcome := r.orderOutcome("k", &result)
		if outcome == keyAnswered && status != http.StatusOK {
			t.Fatal("error status classified as a result")
		}
		if outcome == keyClosed && (r.failure == nil || !r.failure.NotRun || r.failure.Outcome != wire.Refused) {
			t.Fatal("key classified as closed without a refusal")
		}
		if outcome != keyAnswered && r.asFailure().Reason == "" {
			t.Fatal("failure without a reason")
		}
	})
}

// Guards against sending the caller's key without TLS, or to a node whose certificate is from another
// authority.
func TestCallerTLS(t *testing.T) {
	is := is.New(t)
	n := newNode(t, answer)
	secure := httptest.NewTLSServer(n.Config.Handler)
	t.Cleanup(secure.Close)
	n.address = netip.MustParseAddrPort(secure.Listener.Addr().String())
	n.addresses = []string{n.address.String()}
	authorities := x509.NewCertPool()
	authorities.AddCert(secure.Certificate())

	// The TLS handshake is the only slow step of this test. On a busy machine it has taken more than 1 s.
	const longTimeout = 20 * time.Second
	c := newClient(t, n, func(config *Config) {
		config.TLS = &tls.Config{RootCAs: authorities}
		config.Timeout, config.ConnectTimeout = longTimeout, longTimeout
	})
	_, err := c.Query(context.Background(), "ledger", wire.Query{Kind: "lookup"})
	is.NoErr(err)

	c = newClient(t, n, func(config *Config) { config.TLS = &tls.Config{RootCAs: x509.NewCertPool()} })
	_, err = c.Query(context.Background(), "ledger", wire.Query{Kind: "lookup"})
	is.True(wire.AsFailure(err).NotRun)
	is.Equal(len(n.queriesSent()), 1)
}
