package back

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/arbutusthread/arbutusthread/wire"
)

// classify sets the class of an answer that was read in full.
func (k *Client) classify(status int, s *scratch, r *Result) {
	if status == http.StatusOK {
		r.Class = OK
		r.MayHaveRun = true
		if s.sent.accept != nil {
			s.sent.accept(s.in.Bytes(), r)
		}
		return
	}
	var f wire.BackendFailure
	if !decode(s.in.Bytes(), &f, r) {
		return
	}
	r.Reason, r.IndexVersion, r.Incarnation = f.Reason, f.IndexVersion, f.Incarnation
	message := fmt.Sprintf("back: status %d, reason %s", status, f.Reason)
	switch {
	case !known(status, f.Reason), f.RequestID != s.sent.id:
		r.fail(Invalid, message)
	case f.NotRun:
		r.fail(NotRun, message)
	case f.Reason == wire.BackendDeadline:
		r.fail(TimedOut, message)
	default:
		r.fail(Broken, message)
	}
}

// known reports whether a backend server gives the reason with the status. A body from anything
// else on the way must not count as "not run".
func known(status int, reason wire.BackendReason) bool {
	switch reason {
	case wire.BackendShed, wire.BackendDraining, wire.BackendCold:
		return status == http.StatusServiceUnavailable
	case wire.BackendVersion:
		return status == http.StatusConflict
	case wire.BackendDeadline:
		return status == http.StatusGatewayTimeout
	case wire.BackendBadRequest:
		return status == http.StatusBadRequest
	}
	return false
}

func decode(b []byte, v any, r *Result) bool {
	if err := json.Unmarshal(b, v); err != nil {
		r.fail(Invalid, "back: decode answer: "+err.Error())
		return false
	}
	return true
}

// broken classifies an attempt that failed after a byte was written and disposes of its
// connection.
func (k *Client) broken(
	ctx context.Context, p *pool, c *conn, begin time.Time, err error, r *Result,
) {
	message := errors.Wrapf(err, "back: request to %s", p.host).Error()
	var e *readError
	inAnswer := errors.As(err, &e)
	switch {
	case canceled(ctx):
		p.retire(c)
		r.fail(Canceled, message)
	case isTimeout(err):
		p.retire(c)
		if !inAnswer || !e.silent || c.served == 0 {
			r.fail(TimedOut, message)
			return
		}
		p.distrust(begin)
		k.config.Logger.Warn("connection is silent", "server", p.host, "step", "backend")
		r.fail(Silent, message)
	case ended(err):
		r.Refused = errors.Is(err, syscall.ECONNRESET)
		r.fail(Broken, message)
		if inAnswer && e.body {
			r.fail(Invalid, message)
		}
		k.probe(p, c, r)
	default:
		p.retire(c)
		r.fail(Invalid, message)
	}
}

// ended reports whether the server closed or reset the connection.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// probe finds out whether the server that ended c crashed. The fresh connection takes the place of
// c under the cap.
func (k *Client) probe(p *pool, c *conn, r *Result) {
	before := c.incarnation
	c.raw.Close()
	v, err := connect(p.config, p.address, k.config.ProbeTimeout)
	if err != nil {
		p.release()
		if refused(err) {
			p.learn("")
			r.Refused = true
			k.crashed(p, r, "a fresh connection is refused")
		}
		return
	}
	h, err := v.health(p.host, k.config.ProbeTimeout)
	if err != nil {
		p.retire(v)
		return
	}
	p.put(v)
	if h.Incarnation == "" {
		return
	}
	p.learn(h.Incarnation)
	if before != "" && before != h.Incarnation {
		k.crashed(p, r, "the server has another incarnation")
	}
}

func (k *Client) crashed(p *pool, r *Result, cause string) {
	k.config.Logger.Error("backend server crashed", "server", p.host, "step", "backend",
		"cause", cause)
	r.fail(Crashed, r.Message+": "+cause)
}

// health asks for the server's health on a fresh connection.
func (c *conn) health(host string, timeout time.Duration) (wire.Health, error) {
	var h wire.Health
	if err := c.raw.SetDeadline(time.Now().Add(timeout)); err != nil {
		return h, errors.Wrapf(err, "back: health of %s", host)
	}
	s := newScratch()
	if err := s.encode(request{path: "/health"}, host, time.Now().Add(timeout), 0); err != nil {
		return h, errors.Wrapf(err, "back: health of %s", host)
	}
	if _, err := c.stream.Write(s.out.Bytes()); err != nil {
		return h, errors.Wrapf(err, "back: health of %s", host)
	}
	status, reusable, err := c.read(s, maxHead)
	c.served++
	if err != nil {
		return h, errors.Wrapf(err, "back: health of %s", host)
	}
	if status != http.StatusOK || !reusable {
		return h, errors.Newf("back: health of %s: status %d", host, status)
	}
	return h, errors.Wrapf(json.Unmarshal(s.in.Bytes(), &h), "back: health of %s", host)
}
