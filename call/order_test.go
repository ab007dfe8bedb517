package call

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

var (
	overload      = forwarded(wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "queue full"))
	closed        = wire.Refuse(wire.StepOrderKey, "", wire.ReasonKeyClosed, "never runs")
	notReady      = wire.Refuse(wire.StepReady, "", wire.ReasonNotReady, "starting")
	foreign       = wire.Refuse(wire.StepOrderKey, "", wire.ReasonKeyForeign, "another incarnation")
	forbidden     = wire.Refuse(wire.StepAuth, "", wire.ReasonForbidden, "not allowed")
	unknown       = wire.UnknownOutcome(wire.StepDispatch, "", wire.ReasonBackend, "no answer")
	unreachable   = &wire.Failure{Outcome: wire.Unknown, Step: wire.StepRelay, Reason: wire.ReasonPeer}
	late          = forwarded(wire.Refuse(wire.StepDecode, "", wire.ReasonDeadline, "arrived too late"))
	noLeaseHolder = wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no lease")
	quarantined   = forwarded(wire.Refuse(wire.StepCanary, "", wire.ReasonQuarantine, "crashes servers"))
)

// Guards against running an order twice, by using a new key after the order may have run, and against a
// "not run" that is not certain. The field keys is the number of distinct keys that the node receives.
func TestOrderRules(t *testing.T) {
	tests := []struct {
		name    string
		script  []action
		outcome wire.Outcome
		sends   int
		keys    int
	}{
		{"answered", []action{answer}, wire.Answered, 1, 1},
		{"same key after a broken connection", []action{closeConnection, answer}, wire.Answered, 2, 1},
		{"same key after a truncated reply", []action{truncate, answer}, wire.Answered, 2, 1},
		{"same key after a duplicated reply", []action{duplicate, answer}, wire.Answered, 2, 1},
		{"same key after the result of another order", []action{otherOrder, answer}, wire.Answered, 2, 1},
		{"same key after unknown", []action{fail(unknown), fail(unknown), fail(unknown), fail(unknown), answer}, wire.Answered, 5, 1},
		{"same key after an unresponsive node", []action{delay(1500*time.Millisecond, closeConnection), answer}, wire.Answered, 2, 1},
		{"new key after not run", []action{fail(overload), answer}, wire.Answered, 2, 2},
		{"new key after a closed key", []action{closeConnection, fail(closed), answer}, wire.Answered, 3, 2},
		{"new key when no attempt was forwarded", []action{fail(unreachable), fail(unreachable), fail(unreachable), answer}, wire.Answered, 4, 2},
		{"new key when no attempt passed a relay", []action{fail(notReady), fail(unreachable), fail(notReady), answer}, wire.Answered, 4, 2},
		{"new key after a restart of the issuer", []action{fail(foreign), answer}, wire.Answered, 2, 2},
		{"no new key after a restart of the issuer if the order may have run", []action{
			closeConnection, fail(foreign), answer,
		}, wire.Unknown, 2, 1},
		{"no new key after a refusal by a relay if the order may have run", []action{
			closeConnection, fail(forbidden), answer,
		}, wire.Unknown, 2, 1},
		{"unreachable issuer of an order that may have run", []action{closeConnection, fail(unreachable)}, wire.Unknown, -1, 1},
		{"unknown until the timeout", []action{fail(unknown)}, wire.Unknown, -1, 1},
		{"no new key after a refusal of a late resend", []action{closeConnection, fail(late)}, wire.Unknown, -1, 1},
		{"same key after a refusal of a late first send", []action{fail(late), answer}, wire.Answered, 2, 1},
		{"new key when the issuer finds no lease holder", []action{closeConnection, fail(noLeaseHolder), answer}, wire.Answered, 3, 2},
		{"retries while a slice has no lease holder", []action{
			fail(noLeaseHolder), fail(noLeaseHolder), fail(noLeaseHolder), fail(noLeaseHolder), fail(noLeaseHolder), answer,
		}, wire.Answered, 6, 6},
		{"no retry of a forbidden order", []action{fail(forbidden)}, wire.Refused, 1, 1},
		{"no retry of a quarantined order", []action{fail(quarantined)}, wire.Refused, 1, 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := newNode(t, x.script...)
			r := newClient(t, n, nil).Order(context.Background(), "ledger", Order{Kind: "place-order", Body: json.RawMessage(`1`)})
			is.Equal(r.Outcome, x.outcome)
			sent := n.keysSent()
			distinct := map[string]bool{}
			for _, k := range sent {
				distinct[k] = true
			}
			is.Equal(len(distinct), x.keys)
			is.Equal(r.Key, sent[len(sent)-1]) // the caller looks up the outcome of the last key
			if x.sends > 0 {
				is.Equal(len(sent), x.sends)
			}
			switch x.outcome {
			case wire.Answered:
				is.NoErr(r.Err())
				is.Equal(string(r.Result), `"cut"`)
			case wire.Refused:
				is.True(r.Failure.NotRun)
			case wire.Unknown:
				is.True(!r.Failure.NotRun)
			}
		})
	}
}

// Guards against unbounded use of new keys while nodes refuse orders.
func TestOrderRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	n := newNode(t, fail(overload))
	r := newClient(t, n, nil).Order(context.Background(), "ledger", Order{Kind: "place-order"})
	is.Equal(r.Outcome, wire.Refused)
	is.True(len(n.keysSent()) <= 25)
}

// Guards against an Unknown outcome when no connection could be opened, and against waiting for an issuer
// that is unreachable.
func TestOrderToUnreachableNodes(t *testing.T) {
	is := is.New(t)
	lost, live := newNode(t, answer), newNode(t, fail(unreachable), fail(unreachable), fail(unreachable), answer)
	live.addresses = []string{lost.address.String(), live.address.String()}
	c := newClient(t, live, nil)
	lost.Close()
	r := c.Order(context.Background(), "ledger", Order{Kind: "place-order"})
	is.Equal(r.Outcome, wire.Answered)

	live.Close()
	// A request on a connection that is closed at the same time may have been read by the node.
	c.http.CloseIdleConnections()
	r = c.Order(context.Background(), "ledger", Order{Kind: "place-order", Timeout: 300 * time.Millisecond})
	is.Equal(r.Outcome, wire.Refused)
	is.True(r.Failure.NotRun)
	again := c.Resend(context.Background(), "ledger", wire.OrderKey{Key: "k", Expires: time.Now().Add(time.Minute)},
		Order{Kind: "place-order", Timeout: 300 * time.Millisecond})
	is.Equal(again.Outcome, wire.Unknown) // an earlier attempt may have run
}

// Guards against an order that is refused because the issuer of its key is unreachable, although other
// nodes issue keys: a caller that allows many attempts would retry the same key until its timeout.
func TestOrderNewKeyForUnreachableIssuer(t *testing.T) {
	is := is.New(t)
	var script []action
	for range maxUnsentAttempts {
		script = append(script, fail(unreachable))
	}
	n := newNode(t, append(script, answer)...)
	c := newClient(t, n, func(config *Config) { config.MaxAttempts = 100 })
	r := c.Order(context.Background(), "ledger", Order{Kind: "place-order"})
	is.Equal(r.Outcome, wire.Answered)
	keys := n.keysSent()
	is.True(keys[len(keys)-1] != keys[0])
}

// Guards against fetching a key before each order, and against using keys that expire before the
// timeout of the order.
func TestOrderKeysAreFetchedAhead(t *testing.T) {
	is := is.New(t)
	n := newNode(t, answer)
	c := newClient(t, n, func(config *Config) { config.KeyBatchSize = 4 })
	for range 8 {
		is.Equal(c.Order(context.Background(), "ledger", Order{Kind: "place-order"}).Outcome, wire.Answered)
	}
	n.mu.Lock()
	is.True(n.issued <= 16)
	n.keyLife = time.Second
	n.mu.Unlock()
	// A new client has no fetch in flight that could return keys with the longer lifetime.
	c = newClient(t, n, func(config *Config) { config.KeyBatchSize = 4 })
	r := c.Order(context.Background(), "ledger", Order{Kind: "place-order", Timeout: 1500 * time.Millisecond})
	is.Equal(r.Outcome, wire.Refused)
	is.Equal(r.Failure.Step, wire.StepOrderKey)
	is.Equal(len(n.keysSent()), 8)
}

// Guards against a lookup that runs the order, or that reports "not run" without reaching the issuer.
func TestLookup(t *testing.T) {
	for _, x := range []struct {
		script  []action
		outcome wire.Outcome
	}{
		{[]action{closeConnection, answer}, wire.Answered},
		{[]action{fail(closed)}, wire.Refused},
		{[]action{fail(overload)}, wire.Refused},
		{[]action{fail(unreachable)}, wire.Unknown},
		{[]action{fail(notReady)}, wire.Unknown},
		{[]action{fail(foreign)}, wire.Unknown},
		{[]action{fail(unknown)}, wire.Unknown},
	} {
		is := is.New(t)
		n := newNode(t, x.script...)
		is.Equal(newClient(t, n, nil).Lookup(context.Background(), "ledger", "some key").Outcome, x.outcome)
		is.Equal(len(n.keysSent()), 0)
	}
}
