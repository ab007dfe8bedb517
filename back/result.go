package back

import (
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Outcome is the outcome of one attempt.
type Outcome int

// Outcomes of attempts.
const (
	// OK means that a complete and matching answer arrived.
	OK Outcome = iota + 1
	// NotRun means that the server reports that it did not run the request. Reason gives the cause.
	NotRun
	// Unsent means that no byte of the request was written.
	Unsent
	// Broken means that the attempt failed after a byte was written and no other outcome applies.
	Broken
	// Crashed means that the connection broke as for Broken or within the body, and that a fresh
	// connection was refused or /health returned another incarnation.
	Crashed
	// TimedOut means that the deadline passed after a byte was written, on a fresh connection or
	// within an answer.
	TimedOut
	// Silent means that no byte arrived on a reused connection before the deadline. This is a failure of
	// the connection and does not show the state of the server.
	Silent
	// Invalid means that the answer is for another request, shard, key or version, or is truncated, too
	// large or malformed.
	Invalid
	// Canceled means that the context was canceled after a byte was written.
	Canceled
)

var outcomeNames = [...]string{
	OK: "OK", NotRun: "NotRun", Unsent: "Unsent", Broken: "Broken", Crashed: "Crashed",
	TimedOut: "TimedOut", Silent: "Silent", Invalid: "Invalid", Canceled: "Canceled",
}

// String returns the name of the outcome.
func (c Outcome) String() string {
	if c < OK || c > Canceled {
		return "None"
	}
	return outcomeNames[c]
}

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	// Reason is the server's reason when Outcome is NotRun.
	Reason wire.BackendReason
	// IndexVersion is the server's index version in a refusal with reason Version.
	IndexVersion string
	// Incarnation is the incarnation that the server reported, or empty if there was no answer.
	Incarnation string
	// Warm and Draining are the state that the server reported. They are valid if Outcome is OK.
	Warm     bool
	Draining bool
	// ColdRemaining is the remaining time for which the server reports to be cold.
	ColdRemaining time.Duration
	// Leaving means that the server has answered, with any status, that it is about to stop.
	Leaving bool
	// RetryAfter is the time for which the server wants no further requests from this client, 0 if it named none. Only
	// rejections with status 503 carry it.
	RetryAfter time.Duration
	// NewConnection means that the connection had neither been idle nor returned an answer before this attempt.
	NewConnection bool
	// Opened is the time at which the connection was opened that Forward used, zero if none was.
	Opened time.Time
	// Refused means that the server refused, reset or closed a connection.
	Refused bool
	// Reset means that the server reset a connection before a byte was written, as servers do above
	// their connection limit.
	Reset bool
	// Local means that an Unsent attempt failed in the client, because no connection became free within
	// the connection limit, the deadline passed or the request was canceled. It does not show the state
	// of the server.
	Local bool
	// MayHaveRun is false if it is certain that the server did not and will not run the request.
	MayHaveRun bool
	// ConnectionWait is the time until a connection was acquired.
	ConnectionWait time.Duration
	// Latency is the time from the start of the write to the end of the attempt.
	Latency time.Duration
	// Message describes a failure in human-readable form.
	Message string
}

func (r *Result) fail(c Outcome, message string) {
	r.Outcome = c
	r.Message = message
	r.MayHaveRun = c != Unsent && c != NotRun
}
