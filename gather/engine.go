// Package gather decides how a request is served by backend servers: which replica of each shard
// it is sent to, when a hedge or a retry is sent, and when it is answered with the parts that are
// in. A request to one server is a request with one shard. It is a state machine without input or
// output: each call takes the time and returns the actions to carry out. It is not safe for
// concurrent use.
package gather

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config holds the parameters of an engine.
type Config struct {
	// FailureDomain is that of the node. Servers in it are preferred.
	FailureDomain string
	// Budget bounds hedges and retries for each pool.
	Budget BudgetConfig
	// Start is when the node started, and FirstStart means that all nodes started with it.
	Start      time.Time
	FirstStart bool
	Seed       uint64
}

// Engine serves requests by the servers of pools.
type Engine struct {
	config  Config
	rand    *rand.Rand
	pools   map[string]*pool
	servers map[string]*server
	// absent are servers that were taken off the list a short time ago.
	absent  map[string]*server
	classes map[string]*class
	jobs    map[JobID]*job
	// attempts maps the attempts that have not ended, also those of jobs that have.
	attempts map[AttemptID]*attempt
	relays   map[netip.AddrPort]*relayNode
	// relayDomains lists the relays by failure domain.
	relayDomains map[string][]*relayNode
	relayCalls   map[RelayID]*relayCall
	nodes        int
	lastJob      JobID
	lastSent     AttemptID
	lastRelay    RelayID
}

// New returns an engine without pools.
func New(c Config) *Engine {
	return &Engine{
		config: c, rand: rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15)),
		pools: make(map[string]*pool), servers: make(map[string]*server), absent: make(map[string]*server),
		classes: make(map[string]*class),
		jobs:    make(map[JobID]*job), attempts: make(map[AttemptID]*attempt), nodes: 1,
		relayCalls: make(map[RelayID]*relayCall),
	}
}

// JobID names a request.
type JobID uint64

// AttemptID names one sending of a request to a server.
type AttemptID uint64

// Purpose is why an attempt is sent.
type Purpose string

// Purposes of attempts.
const (
	Primary Purpose = "primary"
	Hedge   Purpose = "hedge"
	Retry   Purpose = "retry"
)

// Send asks for one attempt.
type Send struct {
	Attempt AttemptID
	Job     JobID
	// Task is the index of the shard in the request.
	Task     int
	Pool     string
	Server   Server
	Purpose  Purpose
	Deadline time.Time
}

// Actions is what the caller of the engine must carry out.
type Actions struct {
	Sends  []Send
	Relays []RelaySend
	// Cancels are attempts whose caller has left: their work must end. Drops are attempts whose
	// answer is no longer used: they may go on to a near end.
	Cancels []AttemptID
	Drops   []AttemptID
	// RelayCancels and RelayDrops are the same for requests to relays.
	RelayCancels []RelayID
	RelayDrops   []RelayID
	// Lost are the shards that can no longer be answered.
	Lost []int
	// Finished is set when the request has ended.
	Finished *Finished
	// Accepted tells, after Done, that the answer is the first for its shard.
	Accepted bool
	// Events are decisions to log.
	Events []Event
}

// Event is a decision or observation to log.
type Event struct {
	Name string
	// Job is the request that it concerns, 0 for none.
	Job    JobID
	Pool   string
	Server string
	// Detail holds what decided it.
	Detail string
}

// End is how a request ended.
type End string

// Ends of requests.
const (
	// Complete means that all shards have answered.
	Complete End = "complete"
	// Partial means that the answer leaves shards out.
	Partial End = "partial"
	// Failed means that too few shards have answered and no further attempt is possible.
	Failed End = "failed"
	// Expired means that the deadline has passed.
	Expired End = "expired"
	// Refused means that the request cannot be served now and was not sent.
	Refused End = "refused"
)

// Finished is the end of a request.
type Finished struct {
	Job JobID
	End End
	// Answered and Total count shards.
	Answered, Total int
	// Sends counts attempts, of which Hedges and Retries are beyond the first of their shard, Remote
	// went to servers in other failure domains, and Relayed through relays.
	Sends, Hedges, Retries, Remote, Relayed int
	// Sent means that a server may have run the request or a part of it.
	Sent bool
	// RetryAfter is when room is expected; it is set when the request was refused.
	RetryAfter time.Duration
	// Reason names the cause of a failure for the log.
	Reason string
	// Missing tells for the first shards without an answer what they were waiting for.
	Missing []string
}

// Class is how an attempt ended.
type Class string

// Classes of attempts.
const (
	// OK is a complete answer that belongs to the request and is a success.
	OK Class = "ok"
	// Answered is a complete answer that is neither a success nor a fault of the server.
	Answered Class = "answered"
	// ServerError is a complete answer that reports a fault of the server. It counts as run.
	ServerError Class = "server error"
	// NotRun means that the server says it has not run the request.
	NotRun Class = "not run"
	// OtherServer means that another process has the address; it has not run the request.
	OtherServer Class = "other server"
	// Unsent means that no byte was written, because no connection could be opened.
	Unsent Class = "unsent"
	// Busy means that no byte was written for want of a connection under the cap. It says nothing
	// about the server.
	Busy Class = "busy"
	// Full means that the server has reset a connection above its cap, before a byte was written.
	Full Class = "full"
	// Broken means that the connection failed or the answer was invalid after a byte was written.
	Broken Class = "broken"
	// TimedOut means that no answer came before the deadline.
	TimedOut Class = "timed out"
	// Canceled means that the engine asked for the end of the attempt.
	Canceled Class = "canceled"
)

// mayHaveRun reports whether a server may have run an attempt that ended so.
func (c Class) mayHaveRun() bool {
	switch c {
	case NotRun, OtherServer, Unsent, Busy, Full:
		return false
	}
	return true
}

// Result is the end of an attempt.
type Result struct {
	Class Class
	// Latency is the time from the first byte written to the end, 0 when nothing was written.
	Latency time.Duration
	// ColdFor is how much longer the server says it stays cold.
	ColdFor time.Duration
	Detail  string
}

// SetBudget changes the bounds of hedges and retries. A window of another length begins anew.
func (e *Engine) SetBudget(c BudgetConfig) {
	if c.Window != e.config.Budget.Window {
		for _, p := range e.pools {
			p.budget = budget{}
		}
	}
	e.config.Budget = c
}

// SetNodes tells how many nodes share the servers. Budgets and cold rates are divided by it. 0 means that
// the number is not known yet, and the node has no part in them.
func (e *Engine) SetNodes(n int) { e.nodes = n }

// Load is what an engine has in hand.
type Load struct {
	// Requests and Attempts are in flight, and Waiting are shards without a server that has room.
	Requests, Attempts, Waiting int
	// Servers are listed, Ejected of them get no requests for a while.
	Servers, Ejected int
	// Nodes share the bounds; 0 means that their number is not known.
	Nodes int
}

// Load returns what the engine has in hand.
func (e *Engine) Load(now time.Time) Load {
	l := Load{Requests: len(e.jobs), Attempts: len(e.attempts), Servers: len(e.servers), Nodes: e.nodes}
	for _, s := range e.servers {
		if s.ejected(now) {
			l.Ejected++
		}
	}
	for _, j := range e.jobs {
		for i := range j.tasks {
			if j.tasks[i].waiting {
				l.Waiting++
			}
		}
	}
	return l
}
