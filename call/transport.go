package call

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// maxReplyBytes is the largest body of a reply. It bounds the memory of each reply.
	maxReplyBytes = 16 << 20
	// maxIdleConnections is the number of idle connections per node. It is low enough for many callers to
	// stay below the connection limit of a node.
	maxIdleConnections = 16
	// idleTimeout closes idle connections before middleboxes usually drop their state.
	idleTimeout = 15 * time.Second
	// keepAliveProbes is the number of keepalive probes that are sent within Config.Silence. A connection
	// is closed if none of them is answered.
	keepAliveProbes = 3
)

func newTransport(config Config) *http.Transport {
	dialer := net.Dialer{
		Timeout: config.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(time.Second, config.UserTimeout/keepAliveProbes),
			Interval: max(time.Second, config.UserTimeout/keepAliveProbes),
			Count:    keepAliveProbes,
		},
		Control: userTimeoutControl(config.UserTimeout),
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config.TLS.Clone(),
		TLSHandshakeTimeout: config.ConnectTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// refuseRedirect disables redirects, so that an order is not sent to an address that no node listed.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// reply is the result of one attempt: the body of a successful response, a failure sent by the node, or
// err.
type reply struct {
	peer    netip.AddrPort
	body    []byte
	failure *wire.Failure
	err     error
	// sent is set if a byte of the request may have reached the node.
	sent bool
}

// asFailure returns the failure of an attempt without a usable result.
func (r reply) asFailure() *wire.Failure {
	switch {
	case r.failure != nil:
		return r.failure
	case r.sent:
		return wire.UnknownOutcome(wire.StepRelay, r.peer.String(), wire.ReasonPeer, "%v", r.err)
	default:
		return wire.Refuse(wire.StepRelay, r.peer.String(), wire.ReasonPeer, "%v", r.err)
	}
}

// send makes one attempt at one address within the timeout. The request is a GET if body is nil and a
// POST otherwise.
func (c *Client) send(ctx context.Context, peer netip.AddrPort, path string, body any, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The transport writes a request only after GotConn. Without GotConn nothing was sent.
	var sent, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		sent.Store(true)
		reused.Store(i.Reused)
	}})
	r := reply{peer: peer}
	request, err := c.newRequest(ctx, peer, path, body)
	if err != nil {
		r.err = err
		return r
	}
	response, err := c.http.Do(request)
	r.sent = sent.Load()
	if err != nil {
		r.err = errors.Wrapf(err, "call: send to %s", peer)
		c.attemptFailed(peer, path, r.err)
		if reused.Load() && ctx.Err() != nil {
			// Other idle connections may have stopped responding in the same way.
			c.http.CloseIdleConnections()
		}
		return r
	}
	defer response.Body.Close()
	r.read(response)
	if r.err != nil {
		c.attemptFailed(peer, path, r.err)
	}
	return r
}

func (c *Client) newRequest(ctx context.Context, peer netip.AddrPort, path string, body any) (*http.Request, error) {
	scheme, method := "http", http.MethodGet
	if c.config.TLS != nil {
		scheme = "https"
	}
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "call: encode request")
		}
		method, content = http.MethodPost, bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+peer.String()+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "call: create request")
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// read reads the body of a response. It sets err if the body is truncated or too large, or if the body of
// an error status is not a valid failure.
func (r *reply) read(response *http.Response) {
	b, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		r.err = errors.Wrapf(err, "call: read response from %s", r.peer)
		return
	case len(b) > maxReplyBytes:
		r.err = errors.Newf("call: response from %s exceeds %d bytes", r.peer, maxReplyBytes)
		return
	case response.StatusCode == http.StatusOK:
		r.body = b
		return
	}
	var f wire.Failure
	if err := json.Unmarshal(b, &f); err != nil {
		r.err = errors.Wrapf(err, "call: decode response from %s with status %d", r.peer, response.StatusCode)
		return
	}
	if f.Reason == "" || f.Outcome != wire.Refused && f.Outcome != wire.Unknown {
		r.err = errors.Newf("call: response from %s with status %d has no valid reason or outcome", r.peer, response.StatusCode)
		return
	}
	r.failure = &f
}

// decode decodes the body of a reply into v and reports success. A decoding error is stored in err.
func (r *reply) decode(v any) bool {
	if r.err != nil || r.failure != nil {
		return false
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		r.reject(errors.Wrapf(err, "call: decode response from %s", r.peer))
		return false
	}
	return true
}

// reject discards the body of a reply and sets err.
func (r *reply) reject(err error) {
	r.body, r.err = nil, err
}

func (c *Client) attemptFailed(peer netip.AddrPort, path string, err error) {
	c.avoidPeer(peer)
	c.config.Log.Warn("attempt failed", "peer", peer.String(), "path", path, "error", err.Error())
}
