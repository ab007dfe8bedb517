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
	// maxReplyBytes bounds the memory that one reply takes.
	maxReplyBytes = 16 << 20
	// idleConnections is kept below the connection limit of a node for many callers.
	idleConnections = 16
	// idleFor retires connections before middleboxes usually drop their state.
	idleFor = 15 * time.Second
	// probes is the number of keepalive probes within the silence.
	probes = 3
)

func newTransport(config Config) *http.Transport {
	dialer := net.Dialer{
		Timeout: config.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(time.Second, config.Silence/probes),
			Interval: max(time.Second, config.Silence/probes),
			Count:    probes,
		},
		Control: limitSilence(config.Silence),
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config.TLS.Clone(),
		TLSHandshakeTimeout: config.ConnectTimeout,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleFor,
	}
}

// refuseRedirect keeps a redirect from sending an order to a place that no node named.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// reply is the result of one attempt: a complete body, a failure that the node sent, or err.
type reply struct {
	peer    netip.AddrPort
	body    []byte
	failure *wire.Failure
	err     error
	// sent is true if a byte of the request may have reached the node.
	sent bool
}

// asFailure returns the failure of an attempt that brought no usable result.
func (r reply) asFailure() *wire.Failure {
	switch {
	case r.failure != nil:
		return r.failure
	case r.sent:
		return wire.Uncertain(wire.StepRelay, r.peer.String(), wire.ReasonPeer, "%v", r.err)
	default:
		return wire.Refuse(wire.StepRelay, r.peer.String(), wire.ReasonPeer, "%v", r.err)
	}
}

// send makes one attempt at one address within the time. A nil body makes a GET request.
func (c *Client) send(ctx context.Context, peer netip.AddrPort, path string, body any, limit time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// The transport writes only after it has handed out a connection, so a request that was
	// given none has sent nothing.
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
		c.failed(peer, path, r.err)
		if reused.Load() && ctx.Err() != nil {
			// Other idle connections may have gone silent in the same way.
			c.http.CloseIdleConnections()
		}
		return r
	}
	defer response.Body.Close()
	r.read(response)
	if r.err != nil {
		c.failed(peer, path, r.err)
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
		return nil, errors.Wrap(err, "call: make request")
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// read takes the body of a response. A body that is cut short or that is not a failure under an
// error status becomes err.
func (r *reply) read(response *http.Response) {
	b, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		r.err = errors.Wrapf(err, "call: read reply of %s", r.peer)
		return
	case len(b) > maxReplyBytes:
		r.err = errors.Newf("call: reply of %s has more than %d bytes", r.peer, maxReplyBytes)
		return
	case response.StatusCode == http.StatusOK:
		r.body = b
		return
	}
	var f wire.Failure
	if err := json.Unmarshal(b, &f); err != nil {
		r.err = errors.Wrapf(err, "call: reply of %s with status %d", r.peer, response.StatusCode)
		return
	}
	if f.Reason == "" || f.Outcome != wire.Refused && f.Outcome != wire.Unknown {
		r.err = errors.Newf("call: reply of %s with status %d and no reason", r.peer, response.StatusCode)
		return
	}
	r.failure = &f
}

// decode reads the body of a reply into v. A body that does not decode becomes err.
func (r *reply) decode(v any) bool {
	if r.err != nil || r.failure != nil {
		return false
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		r.reject(errors.Wrapf(err, "call: decode reply of %s", r.peer))
		return false
	}
	return true
}

// reject turns a reply with wrong contents into an attempt without a result.
func (r *reply) reject(err error) {
	r.body, r.err = nil, err
}

func (c *Client) failed(peer netip.AddrPort, path string, err error) {
	c.shun(peer)
	c.config.Log.Warn("attempt failed", "peer", peer.String(), "path", path, "error", err.Error())
}
