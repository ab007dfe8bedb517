package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"

	jsonv2 "github.com/go-json-experiment/json"
)

// idlePerPeer is the number of unused connections kept to one peer.
const idlePerPeer = 16

// Client sends HTTP requests to other nodes. All its errors are *wire.Failure: one with Forwarded
// false says that no byte of the request was written.
type Client struct {
	keys      [][]byte
	limit     int64
	scheme    string
	pool      *pool
	transport *http.Transport
}

func newClient(c Config) *Client {
	p := newPool()
	k := &Client{keys: c.Keys, limit: c.Limits.ResponseBytes, scheme: "http", pool: p}
	k.transport = &http.Transport{
		DialContext: p.dial, TLSClientConfig: c.ClientTLS, TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: idlePerPeer, MaxConnsPerHost: c.Limits.PeerConnections,
		IdleConnTimeout: clientIdle, DisableCompression: true, MaxResponseHeaderBytes: headerBytes,
	}
	if c.ClientTLS != nil {
		k.scheme = "https"
	}
	return k
}

// Slice asks the home of a slice for its partial result.
func (k *Client) Slice(ctx context.Context, to netip.AddrPort, q wire.SliceQuery) (wire.SlicePartial, error) {
	var a wire.SlicePartial
	err := k.post(ctx, to, pathSlice, q, q.Deadline, &a)
	return a, err
}

// Order relays an order to the issuer of its key.
func (k *Client) Order(ctx context.Context, to netip.AddrPort, o wire.OrderRelay) (wire.OrderResult, error) {
	var a wire.OrderResult
	err := k.post(ctx, to, pathOrder, o, o.Deadline, &a)
	return a, err
}

// Execute asks the home of a slice to send an order to a backend server.
func (k *Client) Execute(ctx context.Context, to netip.AddrPort, e wire.Execute) (wire.ExecuteResult, error) {
	var a wire.ExecuteResult
	err := k.post(ctx, to, pathExecute, e, e.Deadline, &a)
	return a, err
}

// Document pulls the peer's configuration: the change from the document of that version and hash
// where the peer has it, or the whole document.
func (k *Client) Document(ctx context.Context, to netip.AddrPort, from uint64, hash string) (Document, error) {
	var d Document
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "hash": {hash}}
	err := k.do(ctx, to, http.MethodGet, pathConfig+"?"+q.Encode(), nil, &d)
	return d, err
}

// Feed gets the changes after a position of what the platform publishes.
func (k *Client) Feed(ctx context.Context, to netip.AddrPort, after feed.Position) (feed.Delta, error) {
	var d feed.Delta
	uri := fmt.Sprintf("%s?after=%d&config=%d", pathFeed, after.Revision, after.Version)
	err := k.do(ctx, to, http.MethodGet, uri, nil, &d)
	return d, err
}

// Table gets the peer's member table.
func (k *Client) Table(ctx context.Context, to netip.AddrPort) (fleet.Table, error) {
	var t fleet.Table
	err := k.do(ctx, to, http.MethodGet, pathMembers, nil, &t)
	return t, err
}

// post sends a body that is worthless after its deadline.
func (k *Client) post(
	ctx context.Context, to netip.AddrPort, path string, body any, deadline time.Time, answer any,
) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return wire.Refuse(wire.StepRelay, to.String(), wire.ReasonBadRequest, "encode: %v", err)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return k.do(ctx, to, http.MethodPost, path, encoded, answer)
}

// do sends one request and decodes the answer.
func (k *Client) do(ctx context.Context, to netip.AddrPort, method, uri string, body []byte, answer any) error {
	peer := to.String()
	if err := ctx.Err(); err != nil {
		return wire.Refuse(wire.StepRelay, peer, reasonOf(ctx), "before sending: %v", err)
	}
	t := &trace{}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.hooks()), method,
		k.scheme+"://"+peer+uri, bytes.NewReader(body))
	if err != nil {
		return wire.Refuse(wire.StepRelay, peer, wire.ReasonBadRequest, "%v", err)
	}
	auth := sign(k.keys[0], time.Now(), method, peer, r.URL.RequestURI(), body)
	r.Header.Set(wire.HeaderFleetAuth, auth)
	r.Header.Set(wire.HeaderFleetProtocol, wire.FleetProtocol)
	status, got, header, err := k.roundTrip(r, t)
	if err != nil {
		return k.fail(ctx, t, peer, err)
	}
	if !verifyResponse(k.keys, header.Get(wire.HeaderFleetAuth), auth, status, got) {
		return wire.Uncertain(wire.StepRelay, peer, wire.ReasonPeer, "answer with status %d is not signed by a fleet key", status)
	}
	if got, err = expand(got, header.Get("Content-Encoding"), k.limit); err != nil {
		return wire.Uncertain(wire.StepRelay, peer, wire.ReasonPeer, "expand answer: %v", err)
	}
	if status != http.StatusOK {
		f := &wire.Failure{}
		if err := jsonv2.Unmarshal(got, f); err != nil || f.Outcome == "" {
			return wire.Uncertain(wire.StepRelay, peer, wire.ReasonPeer, "status %d without a failure", status)
		}
		f.Forwarded = true
		return f
	}
	if err := jsonv2.Unmarshal(got, answer); err != nil {
		return wire.Uncertain(wire.StepRelay, peer, wire.ReasonPeer, "decode answer: %v", err)
	}
	return nil
}

// roundTrip sends the request and reads the whole answer.
func (k *Client) roundTrip(r *http.Request, t *trace) (status int, body []byte, header http.Header, err error) {
	resp, err := k.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	if body, err = readLimited(resp.Body, k.limit); err != nil {
		return 0, nil, nil, err
	}
	t.finish()
	return resp.StatusCode, body, resp.Header, nil
}

func readLimited(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Newf("answer over %d bytes", limit)
	}
	return body, err
}

// expand undoes the content coding of an answer.
func expand(body []byte, coding string, limit int64) ([]byte, error) {
	if coding != "gzip" {
		return body, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return readLimited(z, limit)
}

// fail classifies a request without an answer. A silent reused connection is replaced together with
// the idle ones to the same peer, which probably took the same path.
func (k *Client) fail(ctx context.Context, t *trace, peer string, err error) error {
	written, silent := t.abandon()
	if silent && ctx.Err() != nil {
		k.pool.dropIdle(peer)
	}
	if written {
		return wire.Uncertain(wire.StepRelay, peer, reasonOf(ctx), "no answer: %v", err)
	}
	return wire.Refuse(wire.StepRelay, peer, reasonOf(ctx), "no byte was sent: %v", err)
}

func reasonOf(ctx context.Context) wire.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.ReasonDeadline
	}
	return wire.ReasonPeer
}

// trace follows one request over the connections that the transport tries for it.
type trace struct {
	mu   sync.Mutex
	uses []use
}

// use is one connection with its counts when the request got it.
type use struct {
	conn          *conn
	written, read int64
	reused        bool
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := unwrap(info.Conn)
		if c == nil {
			return
		}
		c.users.Add(1)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.uses = append(t.uses, use{c, c.count(), c.read.Load(), info.Reused})
	}}
}

// finish marks the connections as unused after an answer.
func (t *trace) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		u.conn.users.Add(-1)
	}
}

// abandon seals the connections of a failed request. It reports whether any byte of the request was
// written, and whether a reused connection gave no byte of an answer.
func (t *trace) abandon() (written, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		wrote := u.conn.seal() > u.written
		written = written || wrote
		silent = silent || wrote && u.reused && u.conn.read.Load() == u.read
		u.conn.Close()
	}
	return written, silent
}
