package order

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// State is the state of a key in the table of its issuer.
type State int

// States of a key.
const (
	// Issued means that no order has been started with the key.
	Issued State = iota + 1
	// Running means that an attempt is in flight.
	Running
	// Done means that the order has run and its result is retained.
	Done
	// Closed means that the order has not run and never will.
	Closed
	// Unknown means that the order may have run. A late answer can still decide the outcome.
	Unknown
)

var stateNames = [...]string{
	Issued: "Issued", Running: "Running", Done: "Done", Closed: "Closed", Unknown: "Unknown",
}

// String returns the name of the state, or "None" for the zero value.
func (s State) String() string {
	if s < Issued || s > Unknown {
		return "None"
	}
	return stateNames[s]
}

// Request is an order that a caller has sent under a key.
type Request struct {
	Key     string
	Service string
	Caller  string
	Kind    string
	Body    json.RawMessage
}

// digest returns the hash of kind and body. Relays may change the white space and escapes of the JSON text,
// so it normalizes both first.
func (r Request) digest() [sha256.Size]byte {
	var b, e bytes.Buffer
	if json.Compact(&b, r.Body) == nil {
		json.HTMLEscape(&e, b.Bytes())
	} else {
		e.Write(r.Body)
	}
	h := sha256.New()
	h.Write([]byte(r.Kind))
	h.Write([]byte{0})
	h.Write(e.Bytes())
	return [sha256.Size]byte(h.Sum(nil))
}

// Attempt identifies one dispatch of an order. Only the latest attempt of a key changes its state.
type Attempt struct {
	Serial uint64
	Number int
}

// Outcome is the state of a key after a request.
type Outcome struct {
	State State
	// Dispatch means that whoever called Start must dispatch the order as Attempt. It is set for one call only.
	Dispatch bool
	Attempt  Attempt
	// Result is the backend server's result when State is Done.
	Result json.RawMessage
	// Failure is returned to the caller when State is neither Done nor Running. It is also set, with a
	// zero State, when the request does not match the key.
	Failure *wire.Failure
	// Settled is set when State is Running. It is closed when the state changes; LookUp then
	// returns the outcome.
	Settled <-chan struct{}
}

// entry is a key in the table, with its state.
type entry struct {
	key     Key
	state   State
	digest  [sha256.Size]byte
	attempt int
	result  json.RawMessage
	failure *wire.Failure
	settled chan struct{}
}

func (e *entry) start(digest [sha256.Size]byte) {
	e.state = Running
	e.digest = digest
	e.attempt = 1
	e.settled = make(chan struct{})
}

// settle changes the state to a final one and closes the channel if the state was Running. A late answer
// changes the state again, with the channel already closed.
func (e *entry) settle(s State) {
	if e.state == Running {
		close(e.settled)
	}
	e.state = s
}

func (e *entry) close(f *wire.Failure) {
	e.settle(Closed)
	e.failure = f
}

func (e *entry) outcome() Outcome {
	o := Outcome{State: e.state, Attempt: Attempt{Serial: e.key.Serial, Number: e.attempt}}
	switch e.state {
	case Issued:
		o.Failure = wire.UnknownOutcome(wire.StepOrderKey, "", wire.ReasonNotReady,
			"no order has been sent with the key yet")
	case Running:
		o.Settled = e.settled
	case Done:
		o.Result = e.result
	case Closed:
		o.Failure = e.failure
	case Unknown:
		o.Failure = wire.UnknownOutcome(wire.StepDispatch, "", wire.ReasonBackend,
			"the order may have run; look up its outcome")
	}
	return o
}

func (e *entry) expired(now time.Time) bool {
	return !now.Before(e.key.Expires)
}
