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

// classify sets the outcome of a complete answer. Only a failure with the ID of the request and a reason
// that belongs to the status counts as NotRun.
func (k *Client) classify(status int, s *scratch, r *Result) {
	if status == http.StatusOK {
		r.Outcome = OK
		r.MayHaveRun = true
		if s.sent.decodeAnswer != nil {
			s.sent.decodeAnswer(s.in.Bytes(), r)
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
	case !reasonFitsStatus(status, f.Reason), f.RequestID != s.sent.id:
		r.fail(Invalid, message)
	case f.NotRun:
		r.fail(NotRun, message)
	case f.Reason == wire.BackendDeadline:
		r.fail(TimedOut, message)
	default:
		r.fail(Broken, message)
	}
}

// reasonFitsStatus reports whether backend servers send the reason with the status. A response from
// anything else on the network path must not be classified as NotRun.
func reasonFitsStatus(status int, reason wire.BackendReason) bool {
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

// classifyError classifies an attempt that failed after a byte was written. It retires the connection,
// or replaces it with a fresh one if the server closed it.
func (k *Client) classifyError(
	ctx context.Context, p *pool, c *conn, begin time.Time, err error, r *Result,
) {
	message := errors.Wrapf(err, "back: request to %s", p.host).Error()
	var e *readError
	reading := errors.As(err, &e)
	switch {
	case isCanceled(ctx):
		p.retire(c)
		r.fail(Canceled, message)
	case isTimeout(err):
		p.retire(c)
		if !reading || !e.beforeAnswer || c.answers == 0 {
			r.fail(TimedOut, message)
			return
		}
		p.retireIdleBefore(begin)
		k.config.Logger.Warn("no data on reused connection before the deadline", "server", p.host, "step", "backend")
		r.fail(Silent, message)
	case isClosedByServer(err):
		r.Refused = errors.Is(err, syscall.ECONNRESET)
		r.fail(Broken, message)
		if reading && e.inBody {
			r.fail(Invalid, message)
		}
		k.checkCrash(p, c, r)
	default:
		p.retire(c)
		r.fail(Invalid, message)
	}
}

// isClosedByServer reports whether the server closed or reset the connection.
func isClosedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkCrash opens a fresh connection to the server that closed c and sets the outcome Crashed if the
// connection is refused or /health returns another incarnation. The fresh connection replaces c in the
// count of open connections.
func (k *Client) checkCrash(p *pool, c *conn, r *Result) {
	before := c.incarnation
	c.raw.Close()
	v, err := connect(p.config, p.address, k.config.ProbeTimeout)
	if err != nil {
		p.release()
		if isRefused(err) {
			p.setIncarnation("")
			r.Refused = true
			k.failCrashed(p, r, "new connection refused")
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
	p.setIncarnation(h.Incarnation)
	if before != "" && before != h.Incarnation {
		k.failCrashed(p, r, "server incarnation changed")
	}
}

func (k *Client) failCrashed(p *pool, r *Result, cause string) {
	k.config.Logger.Error("backend server crashed", "server", p.host, "step", "backend",
		"cause", cause)
	r.fail(Crashed, r.Message+": "+cause)
}

// health requests /health on a fresh connection.
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
	status, reusable, err := c.readAnswer(s, maxHeaderBytes)
	c.answers++
	if err != nil {
		return h, errors.Wrapf(err, "back: health of %s", host)
	}
	if status != http.StatusOK || !reusable {
		return h, errors.Newf("back: health of %s: status %d", host, status)
	}
	return h, errors.Wrapf(json.Unmarshal(s.in.Bytes(), &h), "back: health of %s", host)
}
