package back

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// rejection is the answer of a server that has not run a forwarded request.
func rejection(id string) string {
	return "HTTP/1.1 503 Busy\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// lateRejecter rejects the first send of each request and runs the others. It sends a second copy of each rejection:
// after delay, or before the answer to the next request on the connection where delay is negative.
type lateRejecter struct {
	delay time.Duration
	mu    sync.Mutex
	seen  map[string]bool
	ran   map[string]int
}

func newLateRejecter(delay time.Duration) *lateRejecter {
	return &lateRejecter{delay: delay, seen: make(map[string]bool), ran: make(map[string]int)}
}

func (s *lateRejecter) serve(c net.Conn) {
	var pending string
	serveRequests(func(_ int, q *http.Request, c net.Conn) bool {
		id := q.Header.Get("Request-Id")
		late := pending
		pending = ""
		s.mu.Lock()
		rejected := !s.seen[id]
		s.seen[id] = true
		if !rejected {
			s.ran[id]++
		}
		s.mu.Unlock()
		if _, err := fmt.Fprint(c, late); err != nil {
			return false
		}
		if !rejected {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
			return err == nil
		}
		if _, err := fmt.Fprint(c, rejection(id)); err != nil {
			return false
		}
		if s.delay < 0 {
			pending = rejection(id)
			return true
		}
		time.Sleep(s.delay)
		_, err := fmt.Fprint(c, rejection(id))
		return err == nil
	})(c)
}

func (s *lateRejecter) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// Guards against the late second copy of a rejection that is taken for the answer to the next send of the same request:
// the server runs the request, which is then reported as not run and sent once more.
func TestLateRejectionIsNotTheAnswerToTheNextSend(t *testing.T) {
	t.Parallel()
	for _, connections := range []int{1, 2} {
		for _, nonIdempotent := range []bool{true, false} {
			for _, delay := range []time.Duration{-1, 0, 3 * time.Millisecond, 15 * time.Millisecond} {
				t.Run(fmt.Sprint(connections, " connections, not idempotent ", nonIdempotent, ", after ", delay), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newLateRejecter(delay)
					address := listen(t, s.serve)
					k := NewClient(Config{})
					defer k.Close()
					k.SetServers([]Server{{Address: address, Connections: connections}})
					for i := range 3 * maxRejected {
						f := newForward(fmt.Sprint("r", i))
						f.NonIdempotent = nonIdempotent
						_, r := k.Forward(context.Background(), address, deadlineIn(time.Second), f)
						if i == 0 {
							is.Equal(r.Outcome, NotRun)
						}
						first := r
						_, r = k.Forward(context.Background(), address, deadlineIn(time.Second), f)
						if s.runs(f.RequestID) > 0 && !first.MayHaveRun && !r.MayHaveRun {
							t.Fatalf("request %s has run, and its outcomes are %s and %s: %s", f.RequestID, first.Outcome, r.Outcome, r.Message)
						}
					}
				})
			}
		}
	}
}

// Guards against an order that waits for the only connection to the server although that connection must not be used for
// it again, and against the loss of the connection for other orders.
func TestRejectedOrderIsSentOnAnotherConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var mu sync.Mutex
	sent := make(map[string][]string)
	address := listen(t, serveRequests(func(_ int, q *http.Request, c net.Conn) bool {
		key := decodeBody[wire.BackendOrder](q).Key
		mu.Lock()
		sent[key] = append(sent[key], c.RemoteAddr().String())
		first := len(sent[key]) == 1
		mu.Unlock()
		if first {
			return writeReply(c, http.StatusServiceUnavailable, wire.BackendFailure{
				RequestID: key, Reason: wire.BackendShed, NotRun: true, Incarnation: "i1",
			})
		}
		return writeReply(c, http.StatusOK, wire.BackendOrderAnswer{Key: key, Incarnation: "i1", Complete: true})
	}))
	k := testClient(t, 1, address)
	order := func(key string) Outcome {
		_, r := k.Order(t.Context(), address, time.Now().Add(time.Second), wire.BackendOrder{Key: key, Body: []byte(`1`)})
		return r.Outcome
	}
	is.Equal(order("a"), NotRun)
	is.Equal(order("b"), NotRun)
	is.Equal(order("a"), OK)
	is.Equal(sent["a"][0], sent["b"][0]) // the connection stays in use for other orders
	is.True(sent["a"][0] != sent["a"][1])
}
