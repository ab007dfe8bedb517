package sched

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

// JobID identifies a submitted request.
type JobID uint64

// AttemptID identifies one attempt, a single request to a backend server.
type AttemptID uint64

// Task is the part of a request for one shard. Servers lists the replicas of the shard.
type Task struct {
	Shard   string
	Servers []netip.AddrPort
}

// Request is a request to be scheduled.
type Request struct {
	RequestID string
	Kind      string
	Worth     float64
	Deadline  time.Time
	// Idempotent allows hedges, and retries after attempts that failed but may have run.
	Idempotent  bool
	Fingerprint guard.Fingerprint
	// SkipCanary means that the planner has classified the fingerprint as harmless, so no canary is run.
	SkipCanary bool
	Tasks      []Task
}

// Outcome is the outcome of an attempt.
type Outcome string

// Outcomes of attempts.
const (
	// OK means that the server returned a valid response.
	OK Outcome = "OK"
	// NotRun means that the server reported that it did not run the request.
	NotRun Outcome = "NotRun"
	// Unsent means that no byte was written.
	Unsent Outcome = "Unsent"
	// Broken means that the connection failed after a byte was written.
	Broken Outcome = "Broken"
	// Crashed means that the server itself failed while it ran the request.
	Crashed Outcome = "Crashed"
	// TimedOut means that there was no response in time on a new connection.
	TimedOut Outcome = "TimedOut"
	// Silent means that no byte was received on a reused connection. It is no evidence about the
	// server.
	Silent Outcome = "Silent"
	// Invalid means that the response did not match the request or was truncated.
	Invalid Outcome = "Invalid"
	// Cancelled means that the scheduler cancelled the attempt.
	Cancelled Outcome = "Cancelled"
)

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	Reason  wire.BackendReason
	// Local means that an Unsent attempt failed on this node, which is no evidence about the server.
	Local bool
	// Incarnation, Warm and Draining are the server state reported in the response; an empty
	// Incarnation means that there was no response.
	Incarnation string
	Warm        bool
	Draining    bool
	Detail      string
}

// certain reports whether the request is known not to have run.
func (r Result) certain() bool {
	return r.Outcome == NotRun || r.Outcome == Unsent
}

// Purpose is the reason why an attempt is sent.
type Purpose string

// Purposes of attempts.
const (
	Primary Purpose = "primary"
	Canary  Purpose = "canary"
	Hedge   Purpose = "hedge"
	Retry   Purpose = "retry"
)

// Send is an action to send one request to a backend server.
type Send struct {
	Attempt   AttemptID
	Job       JobID
	RequestID string
	Shard     string
	Server    netip.AddrPort
	Deadline  time.Time
	Purpose   Purpose
	// Choices is the number of candidate replicas for the attempt.
	Choices int
}

// Missing is a shard of a request without a response.
type Missing struct {
	Shard  string
	Reason wire.Reason
}

// Finished reports the completion of a request. Failure is set if the request as a whole was refused or
// its outcome is uncertain; otherwise the responses of all shards except Missing have been accepted.
type Finished struct {
	Job     JobID
	Failure *wire.Failure
	Missing []Missing
	// Sent reports whether any byte of the request may have reached a backend server.
	Sent bool
	// Stale means that a server no longer has the requested index version.
	Stale bool
}

// Event is a decision or observation to be logged that does not belong to a send.
type Event struct {
	Name      string
	RequestID string
	Server    netip.AddrPort
	Detail    string
}

// Actions lists the actions that the user of the scheduler must execute.
type Actions struct {
	Sends    []Send
	Cancels  []AttemptID
	Finished []Finished
	Events   []Event
	// PoisonMarks are the new and changed marks of requests that crashed servers, to be sent to the peers.
	PoisonMarks []*guard.PoisonMark
	// Accepted is set by Done if the response is the first valid one for its shard.
	Accepted bool
}
