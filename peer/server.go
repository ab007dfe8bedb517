package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"

	jsonv2 "github.com/go-json-experiment/json"
)

// Paths of the HTTP API between nodes.
const (
	pathSlice   = "/peer/slice"
	pathOrder   = "/peer/order"
	pathExecute = "/peer/execute"
	pathConfig  = "/peer/config"
	pathMembers = "/peer/members"
	pathFeed    = "/peer/feed"
)

// Timeouts and limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	serverIdleTimeout = 90 * time.Second
	maxHeaderBytes    = 16 << 10
)

func newServer(n *Node) *http.Server {
	mux := http.NewServeMux()
	h := n.config.Handlers
	mux.Handle("POST "+pathSlice, endpoint(n, h.Slice, sliceDeadline, true))
	mux.Handle("POST "+pathOrder, endpoint(n, h.Order, orderDeadline, false))
	mux.Handle("POST "+pathExecute, endpoint(n, h.Execute, executeDeadline, false))
	mux.Handle("GET "+pathConfig, n.authenticated(n.handleConfig))
	mux.HandleFunc("POST "+pathGather, n.handleGather)
	mux.Handle("GET "+pathFeed, n.authenticated(n.handleFeed))
	mux.Handle("GET "+pathMembers, n.authenticated(func(*http.Request, []byte) (any, error) {
		return queryFleet(n, func(_ time.Time, f *fleet.Node) fleet.Table { return f.Table() }), nil
	}))
	return &http.Server{
		Handler: mux, MaxHeaderBytes: math.MaxInt32, // the gate has the limit
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: serverIdleTimeout,
		ConnState: func(c net.Conn, state http.ConnState) {
			n.gate.ConnState(c, state)
			n.conns.track(c, state)
		},
		ConnContext: n.gate.ConnContext,
		// An empty map disables HTTP/2. With one request at a time on a connection, the client can determine
		// whether bytes of a request were written.
		TLSNextProto: make(map[string]func(*http.Server, *tls.Conn, http.Handler)),
	}
}

func newGate(c Config) *gate.Gate {
	return gate.New(gate.Config{
		Listener: "peers", Pool: gate.Peers.Pool(c.Capacity), Metrics: c.Metrics, Log: c.Log,
	})
}

func sliceDeadline(q wire.SliceQuery) time.Time     { return q.Deadline }
func orderDeadline(o wire.OrderRelay) time.Time     { return o.Deadline }
func executeDeadline(e wire.ExecuteOrder) time.Time { return e.Deadline }

func (n *Node) serveHTTP() error {
	l := n.listener
	if n.config.ServerTLS != nil {
		l = tls.NewListener(l, n.config.ServerTLS)
	}
	err := n.server.Serve(n.gate.Listener(l))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "peer: serve HTTP")
}

// endpoint decodes the request body and calls the handler with a context that ends at the request's deadline. If
// cancelOnDisconnect is set, the context also ends when the client disconnects.
func endpoint[Q, A any](
	n *Node, handle func(context.Context, Q) (A, error), deadline func(Q) time.Time, cancelOnDisconnect bool,
) http.Handler {
	return n.authenticated(func(r *http.Request, body []byte) (any, error) {
		if handle == nil {
			return nil, n.refuse(wire.StepReady, wire.ReasonNotReady, "the node does not serve %s", r.URL.Path)
		}
		var q Q
		if err := jsonv2.Unmarshal(body, &q); err != nil {
			return nil, n.refuse(wire.StepDecode, wire.ReasonBadRequest, "%v", err)
		}
		end := deadline(q)
		if !time.Now().Before(end) {
			return nil, n.refuse(wire.StepDecode, wire.ReasonDeadline, "the deadline passed before the request arrived")
		}
		ctx := r.Context()
		if !cancelOnDisconnect {
			ctx = context.WithoutCancel(ctx)
		}
		ctx, stop := context.WithDeadline(ctx, end)
		defer stop()
		return handle(ctx, q)
	})
}

func (n *Node) refuse(step wire.Step, reason wire.Reason, format string, args ...any) *wire.Failure {
	return wire.Refuse(step, n.config.Member.Address.String(), reason, format, args...)
}

// authenticated returns a handler that authenticates requests, calls serve, and writes its result or failure as a
// signed response.
func (n *Node) authenticated(serve func(*http.Request, []byte) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := n.authenticate(w, r)
		var response any
		if err == nil {
			response, err = serve(r, body)
		}
		status := http.StatusOK
		if err != nil {
			f := wire.AsFailure(err)
			response, status = f, f.Status()
		}
		encoded, err := json.Marshal(response)
		if err != nil {
			n.config.Log.Error("peer: encode response", "path", r.URL.Path, "error", err)
			http.Error(w, "", http.StatusInternalServerError)
			return
		}
		encoded, coding := compress(encoded)
		if coding != "" {
			w.Header().Set("Content-Encoding", coding)
		}
		tag := responseTag(n.config.Keys[0], r.Header.Get(wire.HeaderFleetAuth), status, encoded)
		w.Header().Set(wire.HeaderFleetAuth, tag)
		w.Header().Set(wire.HeaderFleetProtocol, wire.FleetProtocol)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
		w.WriteHeader(status)
		if _, err := w.Write(encoded); err != nil {
			n.config.Log.Debug("peer: write response", "path", r.URL.Path, "peer", r.RemoteAddr, "error", err)
		}
	})
}

// authenticate reads the body and verifies protocol version, body size and signature. Its failures have NotRun
// set.
func (n *Node) authenticate(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if p := r.Header.Get(wire.HeaderFleetProtocol); p != wire.FleetProtocol {
		return nil, n.refuse(wire.StepAuth, wire.ReasonBadRequest, "protocol %q, want %q", p, wire.FleetProtocol)
	}
	var buf bytes.Buffer
	buf.Grow(int(min(max(r.ContentLength, 0), maxHeaderBytes)))
	if _, err := io.Copy(&buf, http.MaxBytesReader(w, r.Body, n.config.Limits.RequestBytes)); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, n.refuse(wire.StepDecode, wire.ReasonTooLarge, "request body exceeds %d bytes", large.Limit)
		}
		if errors.Is(err, gate.ErrRefused) {
			return nil, n.refuse(wire.StepDecode, wire.ReasonOverload, "%v", err)
		}
		return nil, n.refuse(wire.StepDecode, wire.ReasonBadRequest, "read request body: %v", err)
	}
	if err := gate.Received(r.Context()); err != nil {
		return nil, n.refuse(wire.StepDecode, wire.ReasonOverload, "%v", err)
	}
	err := verifyRequest(n.config.Keys, time.Now(), r.Header.Get(wire.HeaderFleetAuth),
		r.Method, n.config.Member.Address.String(), r.URL.RequestURI(), buf.Bytes())
	if err != nil {
		return nil, n.refuse(wire.StepAuth, wire.ReasonUnauthorized, "%v", err)
	}
	return buf.Bytes(), nil
}

func (n *Node) handleConfig(r *http.Request, _ []byte) (any, error) {
	if n.config.Handlers.Document == nil {
		return nil, n.refuse(wire.StepReady, wire.ReasonNotReady, "the node has no document")
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return nil, n.refuse(wire.StepDecode, wire.ReasonBadRequest, "from: %v", err)
	}
	return n.config.Handlers.Document(from, r.URL.Query().Get("hash"))
}

// handleFeed returns the changes after the position in the query parameters.
func (n *Node) handleFeed(r *http.Request, _ []byte) (any, error) {
	if n.config.Handlers.Feed == nil {
		return nil, n.refuse(wire.StepReady, wire.ReasonNotFound, "this node has no feed")
	}
	revision, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		return nil, n.refuse(wire.StepDecode, wire.ReasonBadRequest, "after: %v", err)
	}
	version, err := strconv.ParseUint(r.FormValue("config"), 10, 64)
	if err != nil {
		return nil, n.refuse(wire.StepDecode, wire.ReasonBadRequest, "config: %v", err)
	}
	return n.config.Handlers.Feed(feed.Position{Revision: feed.Revision(revision), Version: version}), nil
}

// minCompressBytes is the minimum size in bytes of a response body that is compressed. Smaller bodies do not
// benefit from compression.
const minCompressBytes = 1 << 10

// compress returns the body and its content coding, which is empty if the body is not compressed.
func compress(body []byte) ([]byte, string) {
	if len(body) < minCompressBytes {
		return body, ""
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(body); err != nil || z.Close() != nil {
		return body, ""
	}
	return b.Bytes(), "gzip"
}
