package sched

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

// JobID names a submitted request.
type JobID uint64

// AttemptID names one request to one backend server.
type AttemptID uint64

// Task is the work of a request on one shard. Servers are the replicas that may do it.
type Task struct {
	Shard   string
	Servers []netip.AddrPort
}

// Request is a request to schedule.
type Request struct {
	RequestID string
	Kind      string
	Worth     float64
	Deadline  time.Time
	// Idempotent allows hedges, and retries after failures that may have run.
	Idempotent  bool
	Fingerprint guard.Fingerprint
	// Proven means that the planner knows the fingerprint to be harmless, so no canary runs.
	Proven bool
	Tasks  []Task
}

// Class is how an attempt ended.
type Class string

// Classes of attempts.
const (
	// OK is a valid answer.
	OK Class = "OK"
	// NotRun means that the server said that it did not run the request.
	NotRun Class = "NotRun"
	// Unsent means that no byte was written.
	Unsent Class = "Unsent"
	// Broken means that the connection failed after a byte was written.
	Broken Class = "Broken"
	// Crashed means that the server itself failed while it ran the request.
	Crashed Class = "Crashed"
	// TimedOut means that a fresh connection gave no answer in time.
	TimedOut Class = "TimedOut"
	// Silent means that a reused connection gave no byte. It says nothing about the server.
	Silent Class = "Silent"
	// Invalid means that the answer did not belong to the request or was truncated.
	Invalid Class = "Invalid"
	// Cancelled means that the scheduler asked for the end of the attempt.
	Cancelled Class = "Cancelled"
)

// Result is the end of an attempt.
type Result struct {
	Class  Class
	Reason wire.BackendReason
	// Local means that an Unsent attempt ended at this node and says nothing about the server.
	Local bool
	// Incarnation, Warm and Draining are what the answer says of the server; an empty
	// Incarnation means that there was no answer.
	Incarnation string
	Warm        bool
	Draining    bool
	Detail      string
}

// certain reports whether the request is known not to have run.
func (r Result) certain() bool {
	return r.Class == NotRun || r.Class == Unsent
}

// Purpose is why an attempt is sent.
type Purpose string

// Purposes of attempts.
const (
	Primary Purpose = "primary"
	Canary  Purpose = "canary"
	Hedge   Purpose = "hedge"
	Retry   Purpose = "retry"
)

// Send asks for one request to a backend server.
type Send struct {
	Attempt   AttemptID
	Job       JobID
	RequestID string
	Shard     string
	Server    netip.AddrPort
	Deadline  time.Time
	Purpose   Purpose
	// Choices is the number of replicas that could have been chosen.
	Choices int
}

// Missing is a shard of a request without an answer.
type Missing struct {
	Shard  string
	Reason wire.Reason
}

// Finished is the end of a request. Failure is set when the request as a whole was refused or is
// uncertain; otherwise all shards but Missing have been accepted.
type Finished struct {
	Job     JobID
	Failure *wire.Failure
	Missing []Missing
	// Sent tells whether a byte of the request may have reached a backend server.
	Sent bool
	// Stale means that a server no longer has the index version.
	Stale bool
}

// Event is a decision or observation to log that is not tied to a send.
type Event struct {
	Name      string
	RequestID string
	Server    netip.AddrPort
	Detail    string
}

// Actions is what the caller of the scheduler must carry out.
type Actions struct {
	Sends    []Send
	Cancels  []AttemptID
	Finished []Finished
	Events   []Event
	// Notes are marks of requests that crashed servers, to be passed to the peers.
	Notes []*guard.Note
	// Accepted tells, after Done, that the answer is the first for its shard.
	Accepted bool
}
