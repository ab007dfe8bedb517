package back

import (
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Class is the outcome of one attempt.
type Class int

// Classes of attempts.
const (
	// OK means that a complete and matching answer arrived.
	OK Class = iota + 1
	// NotRun means that the server states that it did not run the request. Reason tells why.
	NotRun
	// Unsent means that no byte of the request was written.
	Unsent
	// Broken means that the attempt failed after a byte was written.
	Broken
	// Crashed means Broken, and a fresh connection was refused or /health shows another
	// incarnation.
	Crashed
	// TimedOut means that the deadline passed after a byte was written, on a fresh connection or
	// within an answer.
	TimedOut
	// Silent means that a reused connection gave no byte until the deadline. It says nothing
	// about the server.
	Silent
	// Invalid means that the answer names another request, shard, key or version, or is
	// truncated or too large.
	Invalid
	// Canceled means that the context was canceled after a byte was written.
	Canceled
)

var classNames = [...]string{
	OK: "OK", NotRun: "NotRun", Unsent: "Unsent", Broken: "Broken", Crashed: "Crashed",
	TimedOut: "TimedOut", Silent: "Silent", Invalid: "Invalid", Canceled: "Canceled",
}

// String returns the name of the class.
func (c Class) String() string {
	if c < OK || c > Canceled {
		return "None"
	}
	return classNames[c]
}

// Result tells what happened to one attempt.
type Result struct {
	Class Class
	// Reason is the server's reason when Class is NotRun.
	Reason wire.BackendReason
	// IndexVersion is the version that the server names in a refusal with reason Version.
	IndexVersion string
	// Incarnation is what the server said of itself, empty without an answer.
	Incarnation string
	// Warm and Draining are what the server said of itself. They are valid when Class is OK.
	Warm     bool
	Draining bool
	// ColdFor is how much longer the server says it stays cold.
	ColdFor time.Duration
	// Fresh means that the connection was opened for this attempt and has never been idle.
	Fresh bool
	// Refused means that the server refused or reset a connection.
	Refused bool
	// Reset means that the server reset a connection before a byte was written, as it does above its
	// cap.
	Reset bool
	// Local means that an Unsent attempt ended here, for want of a free connection under the cap or
	// by its cancellation. It says nothing about the server.
	Local bool
	// MayHaveRun is false when the server certainly did not and will not run the request.
	MayHaveRun bool
	// Wait is the time until a connection was available.
	Wait time.Duration
	// Latency is the time from the first byte written to the end of the attempt.
	Latency time.Duration
	// Message describes a failure for people.
	Message string
}

func (r *Result) fail(c Class, message string) {
	r.Class = c
	r.Message = message
	r.MayHaveRun = c != Unsent && c != NotRun
}
