package peer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// Guards against goroutine leaks: the goroutines of a node, including those of its sockets, must end with it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testDeadline() time.Time { return time.Now().Add(5 * time.Second) }

// requireFailure returns err as a *wire.Failure, the type of every error of the client.
func requireFailure(t *testing.T, err error) *wire.Failure {
	t.Helper()
	var f *wire.Failure
	if !errors.As(err, &f) {
		t.Fatalf("error is not a *wire.Failure: %v", err)
	}
	return f
}

// startTCPServer runs a TCP server that calls serve for each connection, with its number counted from 0.
func startTCPServer(t *testing.T, serve func(number int, c net.Conn)) netip.AddrPort {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			work.Go(func() { serve(i, c) })
		}
	})
	t.Cleanup(work.Wait)
	t.Cleanup(func() { l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func testClient(t *testing.T, change func(*Config)) *Client {
	t.Helper()
	c := Config{Keys: [][]byte{testKey}}
	if change != nil {
		change(&c)
	}
	c.Limits.setDefaults()
	k := newClient(c)
	t.Cleanup(k.transport.CloseIdleConnections)
	return k
}

// writeSignedResponse writes a response with status 200, signed with the test key.
func writeSignedResponse(w io.Writer, r *http.Request, body string) {
	tag := responseTag(testKey, r.Header.Get(wire.HeaderFleetAuth), http.StatusOK, []byte(body))
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderFleetAuth, tag, len(body), body)
}

// If a peer refuses the connection or never completes the TLS handshake, the request was not sent and must be
// reported as not run, so that the caller may send it to another node.
func TestUnsentRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	silent := startTCPServer(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	cases := map[string]struct {
		to     netip.AddrPort
		client *Client
	}{
		"refused": {netip.MustParseAddrPort("127.0.0.1:1"), testClient(t, nil)},
		"silent during handshake": {silent, testClient(t, func(c *Config) {
			c.ClientTLS = server.Client().Transport.(*http.Transport).TLSClientConfig
		})},
	}
	for name, c := range cases {
		_, err := c.client.Execute(t.Context(), c.to, wire.ExecuteOrder{Key: "k", Deadline: testDeadline()})
		f := requireFailure(t, err)
		t.Log(name, f)
		is.True(f.NotRun)
		is.True(!f.Forwarded)
		is.Equal(f.Outcome, wire.Refused)
	}
	_, err := testClient(t, nil).Order(t.Context(), silent, wire.OrderRelay{Deadline: time.Now().Add(-time.Second)})
	is.Equal(requireFailure(t, err).Reason, wire.ReasonDeadline)
	is.True(requireFailure(t, err).NotRun)
}

// A request that may have reached the peer must never be reported as not run, whatever happens to the response.
func TestSentRequestIsUncertain(t *testing.T) {
	long := strings.Repeat("x", 100)
	cases := map[string]func(c net.Conn, r *http.Request){
		"silent": func(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) },
		"closed": func(c net.Conn, _ *http.Request) { c.Close() },
		"truncated": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{")
			c.Close()
		},
		"unsigned": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		},
		"unsigned error": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 15\r\n\r\n{\"NotRun\":true}")
		},
		"too large": func(c net.Conn, r *http.Request) { writeSignedResponse(c, r, `{"Key":"`+long+`"}`) },
		"no JSON":   func(c net.Conn, r *http.Request) { writeSignedResponse(c, r, "no") },
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := startTCPServer(t, func(_ int, c net.Conn) {
				if r, err := readRequest(c); err == nil {
					answer(c, r)
				}
			})
			k := testClient(t, func(c *Config) { c.Limits.ResponseBytes = 60 })
			began := time.Now()
			_, err := k.Execute(t.Context(), to, wire.ExecuteOrder{Key: "k", Deadline: time.Now().Add(300 * time.Millisecond)})
			f := requireFailure(t, err)
			is.True(time.Since(began) < 2*time.Second)
			is.True(!f.NotRun)
			is.True(f.Forwarded)
			is.Equal(f.Outcome, wire.Unknown)
		})
	}
}

// When a reused connection stops responding, it and the idle connections to the same peer must be closed, so that
// the next request uses a new connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	inUse := make(chan struct{}, 2)
	to := startTCPServer(t, func(number int, c net.Conn) {
		r, err := readRequest(c)
		if err != nil {
			return
		}
		if number < 2 {
			// Wait until both connections are in use, so that the client opens two.
			inUse <- struct{}{}
			for len(inUse) < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		writeSignedResponse(c, r, `{"Key":"k"}`)
		if number < 2 {
			_, _ = io.Copy(io.Discard, c)
		}
	})
	k := testClient(t, nil)
	var work sync.WaitGroup
	for range 2 {
		work.Go(func() {
			if _, err := k.Execute(t.Context(), to, wire.ExecuteOrder{Deadline: testDeadline()}); err != nil {
				t.Error(err)
			}
		})
	}
	work.Wait()
	_, err := k.Execute(t.Context(), to, wire.ExecuteOrder{Deadline: time.Now().Add(200 * time.Millisecond)})
	is.True(requireFailure(t, err).Forwarded)
	_, err = k.Execute(t.Context(), to, wire.ExecuteOrder{Deadline: time.Now().Add(time.Second)})
	is.NoErr(err)
}

// A request that is cancelled at an arbitrary time may be reported as not run only if no byte of it reached the
// peer. The test checks that the handler ran none of the requests reported as not run.
func TestCancelledRequestIsNotRunOnlyIfUnsent(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	ran := make(map[string]bool)
	m := startNode(t, "a", func(c *Config) {
		c.Handlers.Execute = func(_ context.Context, e wire.ExecuteOrder) (wire.ExecuteResult, error) {
			mu.Lock()
			defer mu.Unlock()
			ran[e.Key] = true
			return wire.ExecuteResult{Key: e.Key}, nil
		}
	})
	k := testClient(t, nil)
	rng := rand.New(rand.NewPCG(1, 2))
	unsent := make(map[string]bool)
	for i := range 3000 {
		key := fmt.Sprint("key", i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(600))*time.Microsecond)
		_, err := k.Execute(ctx, m.Self().Address, wire.ExecuteOrder{Key: key, Deadline: testDeadline()})
		cancel()
		if err != nil && requireFailure(t, err).NotRun {
			unsent[key] = true
		}
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d ran, %d reported as not run", len(ran), len(unsent))
	is.True(len(ran) > 0)
	is.True(len(unsent) > 0)
	for key := range unsent {
		is.True(!ran[key]) // reported as not run
	}
}

// The server must refuse requests that it cannot authenticate or read, and report them as not run.
func TestServerRejectsInvalidRequests(t *testing.T) {
	is := is.New(t)
	m := startNode(t, "a", func(c *Config) {
		c.Limits.RequestBytes = 1000
		c.Handlers.Execute = func(context.Context, wire.ExecuteOrder) (wire.ExecuteResult, error) {
			t.Error("a refused request ran")
			return wire.ExecuteResult{}, nil
		}
	})
	to := m.Self().Address
	k := testClient(t, nil)
	_, err := k.Execute(t.Context(), to, wire.ExecuteOrder{Key: strings.Repeat("x", 2000), Deadline: testDeadline()})
	is.Equal(requireFailure(t, err).Reason, wire.ReasonTooLarge)
	is.True(requireFailure(t, err).NotRun)
	_, err = k.Slice(t.Context(), to, wire.SliceQuery{Deadline: testDeadline()})
	is.Equal(requireFailure(t, err).Reason, wire.ReasonNotReady)

	// The response to a request with an unknown key is signed with a key that this client does not have, so the
	// client cannot verify it and reports an unknown outcome.
	foreign := testClient(t, func(c *Config) { c.Keys = [][]byte{[]byte("another key of 16 bytes")} })
	_, err = foreign.Execute(t.Context(), to, wire.ExecuteOrder{Deadline: testDeadline()})
	is.Equal(requireFailure(t, err).Outcome, wire.Unknown)

	now := time.Now()
	header := signRequest(testKey, now, "POST", to.String(), pathExecute, []byte("{}"))
	keys := [][]byte{[]byte("a key of the past"), testKey}
	is.NoErr(verifyRequest(keys, now, header, "POST", to.String(), pathExecute, []byte("{}")))
	is.True(verifyRequest(
		keys, now.Add(time.Minute), header, "POST", to.String(), pathExecute, []byte("{}"),
	) != nil) // replayed late
	is.True(verifyRequest(keys, now, header, "POST", "127.0.0.1:9", pathExecute, []byte("{}")) != nil) // redirected
	is.True(verifyRequest(keys, now, header, "POST", to.String(), pathOrder, []byte("{}")) != nil)     // other path
	is.True(verifyRequest(keys, now, header, "POST", to.String(), pathExecute, []byte("{ }")) != nil)  // other body
}

// A query must be cancelled when its planner disconnects. An order must continue, because its outcome must be
// recorded.
func TestHandlersAfterClientDisconnect(t *testing.T) {
	is := is.New(t)
	sliceEnded, orderEnded := make(chan error, 1), make(chan error, 1)
	wait := func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
			return nil
		}
	}
	m := startNode(t, "a", func(c *Config) {
		c.Handlers.Slice = func(ctx context.Context, _ wire.SliceQuery) (wire.SliceResult, error) {
			sliceEnded <- wait(ctx)
			return wire.SliceResult{}, nil
		}
		c.Handlers.Order = func(ctx context.Context, _ wire.OrderRelay) (wire.OrderResult, error) {
			orderEnded <- wait(ctx)
			return wire.OrderResult{}, nil
		}
	})
	k := testClient(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := k.Slice(ctx, m.Self().Address, wire.SliceQuery{Deadline: testDeadline()})
	is.True(requireFailure(t, err).Forwarded)
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = k.Order(ctx, m.Self().Address, wire.OrderRelay{Deadline: testDeadline()})
	is.True(requireFailure(t, err).Forwarded)
	is.True(errors.Is(<-sliceEnded, context.Canceled))
	is.NoErr(<-orderEnded)
}

// Requests must work with TLS on both sides, and a failure returned by the handler must reach the client with its
// reason and NotRun unchanged.
func TestTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	refusal := wire.Refuse(wire.StepLease, "x", wire.ReasonNoHome, "not the lease holder")
	m := startNode(t, "a", func(c *Config) {
		c.ServerTLS = server.TLS.Clone()
		c.ClientTLS = server.Client().Transport.(*http.Transport).TLSClientConfig
		c.Handlers.Execute = func(context.Context, wire.ExecuteOrder) (wire.ExecuteResult, error) {
			return wire.ExecuteResult{}, refusal
		}
	})
	to := m.Self().Address
	table, err := m.Table(t.Context(), to)
	is.NoErr(err)
	is.Equal(table, fleet.Table{Members: m.Members()})
	_, err = m.Execute(t.Context(), to, wire.ExecuteOrder{Deadline: testDeadline()})
	f := requireFailure(t, err)
	is.Equal(f.Reason, wire.ReasonNoHome)
	is.True(f.NotRun)
	is.True(f.Forwarded)
}

// A write that the transport starts after the request has failed must not reach the peer, because the request may
// already have been reported as not sent.
func TestDisabledConnectionWritesNothing(t *testing.T) {
	is := is.New(t)
	got := make(chan []byte, 1)
	to := startTCPServer(t, func(_ int, c net.Conn) {
		b, _ := io.ReadAll(c)
		got <- b
	})
	k := testClient(t, nil)
	raw, err := k.conns.dial(t.Context(), "tcp", to.String())
	is.NoErr(err)
	c := unwrap(raw)
	_, err = c.Write([]byte("before"))
	is.NoErr(err)
	is.Equal(c.disableWrites(), int64(6))
	_, err = c.Write([]byte("after"))
	is.True(errors.Is(err, errWritesDisabled))
	is.NoErr(c.Close())
	is.Equal(string(<-got), "before")
	is.Equal(len(k.conns.open), 0)
}
