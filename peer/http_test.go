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

// Sockets and goroutines of a node must end with it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func soon() time.Time { return time.Now().Add(5 * time.Second) }

// failure returns the typed failure that every error of the client must be.
func failure(t *testing.T, err error) *wire.Failure {
	t.Helper()
	var f *wire.Failure
	if !errors.As(err, &f) {
		t.Fatalf("not a failure: %v", err)
	}
	return f
}

// accept runs a TCP server that hands each connection to serve.
func accept(t *testing.T, serve func(number int, c net.Conn)) netip.AddrPort {
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

// signed answers a request as a peer with the test key does.
func signed(w io.Writer, r *http.Request, body string) {
	tag := responseTag(testKey, r.Header.Get(wire.HeaderFleetAuth), http.StatusOK, []byte(body))
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderFleetAuth, tag, len(body), body)
}

// A peer that refuses connections, or that never completes the TLS handshake, has not got the
// request: a caller may send it elsewhere.
func TestRequestThatWasNotSent(t *testing.T) {
	is := is.New(t)
	silent := accept(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
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
		_, err := c.client.Execute(t.Context(), c.to, wire.Execute{Key: "k", Deadline: soon()})
		f := failure(t, err)
		t.Log(name, f)
		is.True(f.NotRun)
		is.True(!f.Forwarded)
		is.Equal(f.Outcome, wire.Refused)
	}
	_, err := testClient(t, nil).Order(t.Context(), silent, wire.OrderRelay{Deadline: time.Now().Add(-time.Second)})
	is.Equal(failure(t, err).Reason, wire.ReasonDeadline)
	is.True(failure(t, err).NotRun)
}

// A request that a peer may have got must never be reported as not run, whatever happens to the
// answer.
func TestRequestThatMayHaveArrived(t *testing.T) {
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
		"too large": func(c net.Conn, r *http.Request) { signed(c, r, `{"Key":"`+long+`"}`) },
		"no JSON":   func(c net.Conn, r *http.Request) { signed(c, r, "no") },
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := accept(t, func(_ int, c net.Conn) {
				if r, err := readRequest(c); err == nil {
					answer(c, r)
				}
			})
			k := testClient(t, func(c *Config) { c.Limits.ResponseBytes = 60 })
			began := time.Now()
			_, err := k.Execute(t.Context(), to, wire.Execute{Key: "k", Deadline: time.Now().Add(300 * time.Millisecond)})
			f := failure(t, err)
			is.True(time.Since(began) < 2*time.Second)
			is.True(!f.NotRun)
			is.True(f.Forwarded)
			is.Equal(f.Outcome, wire.Unknown)
		})
	}
}

// A connection that goes silent after it has worked, and the idle ones beside it, must be replaced:
// the next request has to use a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	both := make(chan struct{}, 2)
	to := accept(t, func(number int, c net.Conn) {
		r, err := readRequest(c)
		if err != nil {
			return
		}
		if number < 2 {
			// Both connections are in use at once, so that the client opens two.
			both <- struct{}{}
			for len(both) < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		signed(c, r, `{"Key":"k"}`)
		if number < 2 {
			_, _ = io.Copy(io.Discard, c)
		}
	})
	k := testClient(t, nil)
	var work sync.WaitGroup
	for range 2 {
		work.Go(func() {
			if _, err := k.Execute(t.Context(), to, wire.Execute{Deadline: soon()}); err != nil {
				t.Error(err)
			}
		})
	}
	work.Wait()
	_, err := k.Execute(t.Context(), to, wire.Execute{Deadline: time.Now().Add(200 * time.Millisecond)})
	is.True(failure(t, err).Forwarded)
	_, err = k.Execute(t.Context(), to, wire.Execute{Deadline: time.Now().Add(time.Second)})
	is.NoErr(err)
}

// Requests that are cancelled at any moment must be reported as not run only when no byte of them
// reached the peer.
func TestCancelledRequestsTellTheTruth(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	ran := make(map[string]bool)
	m := start(t, "a", func(c *Config) {
		c.Handlers.Execute = func(_ context.Context, e wire.Execute) (wire.ExecuteResult, error) {
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
		_, err := k.Execute(ctx, m.Self().Address, wire.Execute{Key: key, Deadline: soon()})
		cancel()
		if err != nil && failure(t, err).NotRun {
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

// The server must refuse what it cannot authenticate or read, and say truthfully that it has not
// run.
func TestServerRefuses(t *testing.T) {
	is := is.New(t)
	m := start(t, "a", func(c *Config) {
		c.Limits.RequestBytes = 1000
		c.Handlers.Execute = func(context.Context, wire.Execute) (wire.ExecuteResult, error) {
			t.Error("a refused request ran")
			return wire.ExecuteResult{}, nil
		}
	})
	to := m.Self().Address
	k := testClient(t, nil)
	_, err := k.Execute(t.Context(), to, wire.Execute{Key: strings.Repeat("x", 2000), Deadline: soon()})
	is.Equal(failure(t, err).Reason, wire.ReasonTooLarge)
	is.True(failure(t, err).NotRun)
	_, err = k.Slice(t.Context(), to, wire.SliceQuery{Deadline: soon()})
	is.Equal(failure(t, err).Reason, wire.ReasonNotReady)

	// The answer to a foreign key is signed with a key that the client does not know either.
	foreign := testClient(t, func(c *Config) { c.Keys = [][]byte{[]byte("another key of 16 bytes")} })
	_, err = foreign.Execute(t.Context(), to, wire.Execute{Deadline: soon()})
	is.Equal(failure(t, err).Outcome, wire.Unknown)

	now := time.Now()
	header := sign(testKey, now, "POST", to.String(), pathExecute, []byte("{}"))
	keys := [][]byte{[]byte("a key of the past"), testKey}
	is.NoErr(verify(keys, now, header, "POST", to.String(), pathExecute, []byte("{}")))
	is.True(verify(keys, now.Add(time.Minute), header, "POST", to.String(), pathExecute, []byte("{}")) != nil) // replayed late
	is.True(verify(keys, now, header, "POST", "127.0.0.1:9", pathExecute, []byte("{}")) != nil)                // redirected
	is.True(verify(keys, now, header, "POST", to.String(), pathOrder, []byte("{}")) != nil)                    // other path
	is.True(verify(keys, now, header, "POST", to.String(), pathExecute, []byte("{ }")) != nil)                 // other body
}

// A query ends when its planner goes away. An order goes on, because its outcome must be known.
func TestWorkOfAbsentClients(t *testing.T) {
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
	m := start(t, "a", func(c *Config) {
		c.Handlers.Slice = func(ctx context.Context, _ wire.SliceQuery) (wire.SlicePartial, error) {
			sliceEnded <- wait(ctx)
			return wire.SlicePartial{}, nil
		}
		c.Handlers.Order = func(ctx context.Context, _ wire.OrderRelay) (wire.OrderResult, error) {
			orderEnded <- wait(ctx)
			return wire.OrderResult{}, nil
		}
	})
	k := testClient(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := k.Slice(ctx, m.Self().Address, wire.SliceQuery{Deadline: soon()})
	is.True(failure(t, err).Forwarded)
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = k.Order(ctx, m.Self().Address, wire.OrderRelay{Deadline: soon()})
	is.True(failure(t, err).Forwarded)
	is.True(errors.Is(<-sliceEnded, context.Canceled))
	is.NoErr(<-orderEnded)
}

// With TLS on both sides requests must work, and a failure of the handler must arrive as it is.
func TestTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	refusal := wire.Refuse(wire.StepLease, "x", wire.ReasonNoHome, "not the home")
	m := start(t, "a", func(c *Config) {
		c.ServerTLS = server.TLS.Clone()
		c.ClientTLS = server.Client().Transport.(*http.Transport).TLSClientConfig
		c.Handlers.Execute = func(context.Context, wire.Execute) (wire.ExecuteResult, error) {
			return wire.ExecuteResult{}, refusal
		}
	})
	to := m.Self().Address
	table, err := m.Table(t.Context(), to)
	is.NoErr(err)
	is.Equal(table, fleet.Table{Members: m.Members()})
	_, err = m.Execute(t.Context(), to, wire.Execute{Deadline: soon()})
	f := failure(t, err)
	is.Equal(f.Reason, wire.ReasonNoHome)
	is.True(f.NotRun)
	is.True(f.Forwarded)
}

// A write that the transport begins after its request was given up must not reach the peer, since
// the request may have been reported as not sent.
func TestSealedConnectionWritesNothing(t *testing.T) {
	is := is.New(t)
	got := make(chan []byte, 1)
	to := accept(t, func(_ int, c net.Conn) {
		b, _ := io.ReadAll(c)
		got <- b
	})
	k := testClient(t, nil)
	raw, err := k.pool.dial(t.Context(), "tcp", to.String())
	is.NoErr(err)
	c := unwrap(raw)
	_, err = c.Write([]byte("before"))
	is.NoErr(err)
	is.Equal(c.seal(), int64(6))
	_, err = c.Write([]byte("after"))
	is.True(errors.Is(err, errSealed))
	is.NoErr(c.Close())
	is.Equal(string(<-got), "before")
	is.Equal(len(k.pool.open), 0)
}
