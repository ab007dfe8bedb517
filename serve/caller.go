package serve

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/wire"
)

// maxRequestID is the maximum length in bytes of a request ID set by a caller.
const maxRequestID = 128

// request is a request of an authenticated caller for a service to which it has access.
type request struct {
	iris.Context
	caller  *conf.Caller
	service string
	started time.Time
}

// callerHandler returns the HTTP handler for callers.
func (n *Node) callerHandler() http.Handler {
	app := iris.New()
	app.Logger().SetOutput(io.Discard)
	app.Get("/v1/services/{service}/addresses", n.handle("addresses", n.addresses))
	app.Post("/v1/services/{service}/query", n.handle("query", n.query))
	app.Post("/v1/services/{service}/order-keys", n.handle("order-keys", n.orderKeys))
	app.Post("/v1/services/{service}/orders", n.handle(pathOrders, n.order))
	app.Get("/v1/services/{service}/orders/{key}", n.handle(pathOutcome, n.outcome))
	app.OnErrorCode(iris.StatusNotFound, func(c iris.Context) {
		n.writeFailure(c, wire.Refuse(wire.StepDecode, "", wire.ReasonNotFound, "unknown path"))
	})
	if err := app.Build(); err != nil {
		n.log.Error("failed to build the routes for callers", "Error", err)
	}
	return app
}

// Names of the paths that accept order keys.
const (
	pathOrders  = "orders"
	pathOutcome = "outcome"
)

// withUnknownOutcome sets the outcome of a request that was refused before its order key was checked to Unknown. An
// earlier attempt with the same key may have run, so the response must not say "not run".
func withUnknownOutcome(f *wire.Failure) *wire.Failure {
	f.Outcome, f.NotRun, f.Forwarded = wire.Unknown, false, false
	return f
}

type handler func(*request) (any, *wire.Failure)

// handle checks authentication, access and readiness before the body of a request is decoded.
func (n *Node) handle(name string, next handler) iris.Handler {
	return func(c iris.Context) {
		r := &request{Context: c, service: c.Params().Get("service"), started: time.Now()}
		c.Request().Body = http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, int64(n.settings.Limits.BodyBytes))
		f := n.authorize(r)
		if f == nil && c.Request().ContentLength == 0 {
			f = r.received()
		}
		if f != nil && (name == pathOrders || name == pathOutcome) {
			f = withUnknownOutcome(f)
		}
		var body any
		if f == nil {
			body, f = next(r)
		}
		outcome := wire.Answered
		if f != nil {
			outcome = f.Outcome
			n.writeFailure(c, f)
		} else if err := c.JSON(body); err != nil {
			n.log.Debug("failed to write the response", "Path", name, "Error", err)
		}
		n.metrics.Count("requests", "path", name, "outcome", string(outcome))
		n.metrics.ObserveDuration("request_time", time.Since(r.started), "path", name)
	}
}

func (n *Node) writeFailure(c iris.Context, f *wire.Failure) {
	if f.Peer == "" {
		f.Peer = n.settings.Name
	}
	if f.RequestID != "" {
		n.decisions.Add(f.RequestID, Decision{Name: "outcome " + string(f.Outcome), Detail: f.Error()})
	}
	c.StatusCode(f.Status())
	if err := c.JSON(f); err != nil {
		n.log.Debug("failed to write the error response", "Error", err)
	}
}

func (n *Node) authorize(r *request) *wire.Failure {
	v := n.active.Load()
	if v == nil {
		return n.checkReady()
	}
	key, ok := strings.CutPrefix(r.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return wire.Refuse(wire.StepAuth, "", wire.ReasonUnauthorized, "Authorization: Bearer KEY is missing")
	}
	if r.caller, ok = v.callers.Authenticate(key); !ok {
		return wire.Refuse(wire.StepAuth, "", wire.ReasonUnauthorized, "unknown key")
	}
	if !r.caller.Allows(r.service) {
		return wire.Refuse(wire.StepAuth, "", wire.ReasonForbidden, "caller %s may not reach service %q", r.caller.Name, r.service)
	}
	if v.catalog.Service(r.service) == nil {
		return wire.Refuse(wire.StepPlan, "", wire.ReasonNotFound, "unknown service %q", r.service)
	}
	return n.checkReady()
}

// decode reads the body, and records that the request is complete.
func (r *request) decode(v any) *wire.Failure {
	if f := decode(r.Request().Body, v); f != nil {
		return f
	}
	return r.received()
}

// received records that the request is complete. It fails if there was no room for the request.
func (r *request) received() *wire.Failure {
	if err := gate.Received(r.Request().Context()); err != nil {
		return wire.Refuse(wire.StepDecode, "", wire.ReasonOverload, "%v", err)
	}
	return nil
}

// decode reads a body that must contain exactly one JSON value without unknown fields.
func decode(body io.Reader, v any) *wire.Failure {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, more := d.Token(); errors.Is(more, io.EOF) {
			return nil
		}
		return wire.Refuse(wire.StepDecode, "", wire.ReasonBadRequest, "body has more than one value")
	}
	var large *http.MaxBytesError
	if errors.Is(err, gate.ErrRefused) {
		return wire.Refuse(wire.StepDecode, "", wire.ReasonOverload, "%v", err)
	}
	if errors.As(err, &large) {
		return wire.Refuse(wire.StepDecode, "", wire.ReasonTooLarge, "body is larger than %d bytes", large.Limit)
	}
	return wire.Refuse(wire.StepDecode, "", wire.ReasonBadRequest, "body: %v", err)
}

func (n *Node) addresses(r *request) (any, *wire.Failure) {
	out := wire.Addresses{Service: r.service, TTL: n.settings.AddressTTL, Addresses: []string{}}
	for _, a := range n.peer.Addresses(r.service) {
		out.Addresses = append(out.Addresses, a.String())
	}
	if len(out.Addresses) == 0 {
		return nil, wire.Refuse(wire.StepAddresses, "", wire.ReasonNoHome, "no node serves %q now", r.service)
	}
	return out, nil
}

func (n *Node) query(r *request) (any, *wire.Failure) {
	var q wire.Query
	if f := r.decode(&q); f != nil {
		return nil, f
	}
	if f := n.prepare(&q); f != nil {
		return nil, f
	}
	answer, f := n.answerQuery(r.Request().Context(), r.caller, r.service, q)
	if f != nil {
		f.RequestID = q.RequestID
		return nil, f
	}
	n.decisions.Add(q.RequestID, Decision{Name: "outcome Answered", Detail: answer.IndexVersion})
	return answer, nil
}

func (n *Node) prepare(q *wire.Query) *wire.Failure {
	if len(q.RequestID) > maxRequestID {
		return wire.Refuse(wire.StepDecode, "", wire.ReasonBadRequest, "RequestId: longer than %d bytes", maxRequestID)
	}
	if q.RequestID == "" {
		q.RequestID = rand.Text()
	}
	if q.TopK > n.settings.Limits.TopK {
		return wire.Refuse(wire.StepDecode, "", wire.ReasonBadRequest, "TopK: more than %d", n.settings.Limits.TopK)
	}
	return nil
}

func (n *Node) orderKeys(r *request) (any, *wire.Failure) {
	var b struct {
		Count int `json:"Count"`
	}
	if f := r.decode(&b); f != nil {
		return nil, f
	}
	keys, f := n.orders.issue(r.service, r.caller.Name, max(1, b.Count))
	return wire.OrderKeys{Keys: keys}, f
}

func (n *Node) order(r *request) (any, *wire.Failure) {
	var b wire.Order
	if f := r.decode(&b); f != nil {
		return nil, withUnknownOutcome(f)
	}
	k := n.active.Load().catalog.Service(r.service).Kind(b.Kind)
	if k == nil || k.Idempotent {
		return nil, withUnknownOutcome(wire.Refuse(wire.StepOrderKey, "", wire.ReasonBadRequest,
			"Kind: %q is not a kind of order", b.Kind))
	}
	return n.handleOrder(r, wire.OrderRelay{Order: b, Deadline: r.started.Add(query.Timeout(k, b.Timeout))})
}

// lookUpTimeout bounds the lookup of the outcome of an order.
const lookUpTimeout = 2 * time.Second

func (n *Node) outcome(r *request) (any, *wire.Failure) {
	return n.handleOrder(r, wire.OrderRelay{
		Order: wire.Order{Key: r.Params().Get("key")}, Deadline: r.started.Add(lookUpTimeout), LookUp: true,
	})
}

func (n *Node) handleOrder(r *request, o wire.OrderRelay) (any, *wire.Failure) {
	o.RequestID, o.Caller, o.Service = rand.Text(), r.caller.Name, r.service
	result, f := n.orders.handle(r.Request().Context(), o)
	if f != nil {
		f.RequestID = o.RequestID
		return nil, f
	}
	return result, nil
}
