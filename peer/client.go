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

// maxIdleConnsPerPeer is the number of idle connections kept open to one peer.
const maxIdleConnsPerPeer = 16

// Client sends HTTP requests to other nodes. All its errors are of type *wire.Failure. Forwarded is false in an
// error if no byte of the request was written.
type Client struct {
	keys             [][]byte
	maxResponseBytes int64
	scheme           string
	conns            *connTracker
	transport        *http.Transport
}

func newClient(c Config) *Client {
	p := newConnTracker()
	k := &Client{keys: c.Keys, maxResponseBytes: c.Limits.ResponseBytes, scheme: "http", conns: p}
	k.transport = &http.Transport{
		DialContext: p.dial, TLSClientConfig: c.ClientTLS, TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer, MaxConnsPerHost: c.Limits.PeerConnections,
		IdleConnTimeout: clientIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	if c.ClientTLS != nil {
		k.scheme = "https"
	}
	return k
}

// Slice requests the partial result of a slice from its lease holder. Errors are of type *wire.Failure.
func (k *Client) Slice(ctx context.Context, to netip.AddrPort, q wire.SliceQuery) (wire.SliceResult, error) {
	var a wire.SliceResult
	err := k.post(ctx, to, pathSlice, q, q.Deadline, &a)
	return a, err
}

// Order relays an order to the node that issued its key. Errors are of type *wire.Failure.
func (k *Client) Order(ctx context.Context, to netip.AddrPort, o wire.OrderRelay) (wire.OrderResult, error) {
	var a wire.OrderResult
	err := k.post(ctx, to, pathOrder, o, o.Deadline, &a)
	return a, err
}

// Execute asks the lease holder of a slice to send an order to a backend server. Errors are of type *wire.Failure.
func (k *Client) Execute(ctx context.Context, to netip.AddrPort, e wire.ExecuteOrder) (wire.ExecuteResult, error) {
	var a wire.ExecuteResult
	err := k.post(ctx, to, pathExecute, e, e.Deadline, &a)
	return a, err
}

// Document pulls the peer's configuration: the delta from the document with the given version and hash if the
// peer has it, otherwise the whole document. Errors are of type *wire.Failure.
func (k *Client) Document(ctx context.Context, to netip.AddrPort, from uint64, hash string) (Document, error) {
	var d Document
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "hash": {hash}}
	err := k.do(ctx, to, http.MethodGet, pathConfig+"?"+q.Encode(), nil, &d)
	return d, err
}

// Feed pulls the changes of the platform feed after a position. Errors are of type *wire.Failure.
func (k *Client) Feed(ctx context.Context, to netip.AddrPort, after feed.Position) (feed.Delta, error) {
	var d feed.Delta
	uri := fmt.Sprintf("%s?after=%d&config=%d", pathFeed, uint64(after.Revision), after.Version)
	err := k.do(ctx, to, http.MethodGet, uri, nil, &d)
	return d, err
}

// Table pulls the peer's member table. Errors are of type *wire.Failure.
func (k *Client) Table(ctx context.Context, to netip.AddrPort) (fleet.Table, error) {
	var t fleet.Table
	err := k.do(ctx, to, http.MethodGet, pathMembers, nil, &t)
	return t, err
}

// post sends a JSON body and cancels the request at the deadline.
func (k *Client) post(
	ctx context.Context, to netip.AddrPort, path string, body any, deadline time.Time, response any,
) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return wire.Refuse(wire.StepRelay, to.String(), wire.ReasonBadRequest, "encode: %v", err)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return k.do(ctx, to, http.MethodPost, path, encoded, response)
}

// do sends one signed request, verifies the signature of the response and decodes it into
// response.
func (k *Client) do(ctx context.Context, to netip.AddrPort, method, uri string, body []byte, response any) error {
	peer := to.String()
	if err := ctx.Err(); err != nil {
		return wire.Refuse(wire.StepRelay, peer, contextReason(ctx), "before sending: %v", err)
	}
	t := &connTrace{}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.hooks()), method,
		k.scheme+"://"+peer+uri, bytes.NewReader(body))
	if err != nil {
		return wire.Refuse(wire.StepRelay, peer, wire.ReasonBadRequest, "%v", err)
	}
	auth := signRequest(k.keys[0], time.Now(), method, peer, r.URL.RequestURI(), body)
	r.Header.Set(wire.HeaderFleetAuth, auth)
	r.Header.Set(wire.HeaderFleetProtocol, wire.FleetProtocol)
	status, respBody, header, err := k.roundTrip(r, t)
	if err != nil {
		return k.classifyError(ctx, t, peer, err)
	}
	if !verifyResponse(k.keys, header.Get(wire.HeaderFleetAuth), auth, status, respBody) {
		return wire.UnknownOutcome(wire.StepRelay, peer, wire.ReasonPeer,
			"response with status %d is not signed by a fleet key", status)
	}
	if respBody, err = decompress(respBody, header.Get("Content-Encoding"), k.maxResponseBytes); err != nil {
		return wire.UnknownOutcome(wire.StepRelay, peer, wire.ReasonPeer, "decompress response: %v", err)
	}
	if status != http.StatusOK {
		f := &wire.Failure{}
		if err := jsonv2.Unmarshal(respBody, f); err != nil || f.Outcome == "" {
			return wire.UnknownOutcome(wire.StepRelay, peer, wire.ReasonPeer,
				"response with status %d has no valid failure body", status)
		}
		f.Forwarded = true
		return f
	}
	if err := jsonv2.Unmarshal(respBody, response); err != nil {
		return wire.UnknownOutcome(wire.StepRelay, peer, wire.ReasonPeer, "decode response: %v", err)
	}
	return nil
}

// roundTrip sends the request and reads the whole response body, which must not exceed maxResponseBytes.
func (k *Client) roundTrip(r *http.Request, t *connTrace) (status int, body []byte, header http.Header, err error) {
	resp, err := k.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	if body, err = readLimited(resp.Body, k.maxResponseBytes); err != nil {
		return 0, nil, nil, err
	}
	t.release()
	return resp.StatusCode, body, resp.Header, nil
}

func readLimited(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Newf("response exceeds %d bytes", limit)
	}
	return body, err
}

// decompress decodes a response body with the given content coding. Codings other than gzip are returned as is.
func decompress(body []byte, coding string, limit int64) ([]byte, error) {
	if coding != "gzip" {
		return body, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return readLimited(z, limit)
}

// classifyError returns the failure of a request without a valid response. If the context ended and a reused
// connection returned nothing, the idle connections to the same peer are closed as well, because they probably
// use the same network path.
func (k *Client) classifyError(ctx context.Context, t *connTrace, peer string, err error) error {
	written, unresponsive := t.disableWrites()
	if unresponsive && ctx.Err() != nil {
		k.conns.closeIdle(peer)
	}
	if written {
		return wire.UnknownOutcome(wire.StepRelay, peer, contextReason(ctx), "no response: %v", err)
	}
	return wire.Refuse(wire.StepRelay, peer, contextReason(ctx), "no byte was sent: %v", err)
}

func contextReason(ctx context.Context) wire.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.ReasonDeadline
	}
	return wire.ReasonPeer
}

// connTrace records the connections that the transport tries for one request.
type connTrace struct {
	mu   sync.Mutex
	uses []connUse
}

// connUse is a connection with its byte counts at the time when it was assigned to the request.
type connUse struct {
	conn          *conn
	written, read int64
	reused        bool
}

func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := unwrap(info.Conn)
		if c == nil {
			return
		}
		c.requests.Add(1)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.uses = append(t.uses, connUse{c, c.writtenBytes(), c.bytesRead.Load(), info.Reused})
	}}
}

// release marks the connections as no longer used by the request, after a complete response.
func (t *connTrace) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		u.conn.requests.Add(-1)
	}
}

// disableWrites blocks further writes on the connections of a failed request and closes them. It reports whether
// any byte of the request was written, and whether a reused connection was written to without returning a byte
// of a response.
func (t *connTrace) disableWrites() (written, unresponsive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		wrote := u.conn.disableWrites() > u.written
		written = written || wrote
		unresponsive = unresponsive || wrote && u.reused && u.conn.bytesRead.Load() == u.read
		u.conn.Close()
	}
	return written, unresponsive
}
