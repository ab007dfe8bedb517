// Package gather decides how a request is served by backend servers: which replica of each shard
// it is sent to, when a hedge or a retry is sent, and when it is answered with the shards received so
// far. A request to one server is a request with one shard. The engine is a state machine without input
// or output: each call takes the current time and returns the actions to carry out. It is not safe for
// concurrent use.
package gather

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config holds the parameters of an engine.
type Config struct {
	// FailureDomain is the failure domain of this node. Servers in it are preferred.
	FailureDomain string
	// Cores is the processor capacity of this node, 0 for one core.
	Cores float64
	// Budget limits hedges and retries to each pool.
	Budget BudgetConfig
	// Start is the time at which the node started. FirstStart is set if all nodes started at the same time.
	Start      time.Time
	FirstStart bool
	Seed       uint64
}

// Engine distributes requests over the servers of its pools.
type Engine struct {
	config  Config
	rand    *rand.Rand
	pools   map[string]*pool
	servers map[string]*server
	// delisted holds the servers that were removed from the list within delistedRetention.
	delisted map[string]*server
	// leaving holds the processes that have announced that they leave.
	leaving leavingProcesses
	// pushbackUntil is the latest end of a pushback of any server.
	pushbackUntil time.Time
	classes       map[string]*latencyClass
	jobs          map[JobID]*job
	// attempts holds the direct attempts that have not ended, including those of jobs that have ended.
	attempts map[AttemptID]*attempt
	relays   map[netip.AddrPort]*relayNode
	// relayDomains holds the relays by failure domain.
	relayDomains map[string][]*relayNode
	relayCalls   map[RelayID]*relayCall
	nodes        int
	// stopAt is the time at which the node stops, zero if no stop is planned.
	stopAt    time.Time
	lastJob   JobID
	lastSent  AttemptID
	lastRelay RelayID
}

// New returns an engine without pools.
func New(c Config) *Engine {
	return &Engine{
		config: c, rand: rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15)),
		pools: make(map[string]*pool), servers: make(map[string]*server), delisted: make(map[string]*server),
		leaving: make(leavingProcesses), classes: make(map[string]*latencyClass),
		jobs: make(map[JobID]*job), attempts: make(map[AttemptID]*attempt), nodes: 1,
		relayCalls: make(map[RelayID]*relayCall),
	}
}

// JobID identifies a request.
type JobID uint64

// AttemptID identifies one send of a shard of a request to a server.
type AttemptID uint64

// Purpose is the reason for an attempt.
type Purpose string

// Purposes of attempts.
const (
	Primary Purpose = "primary"
	Hedge   Purpose = "hedge"
	Retry   Purpose = "retry"
)

// Send is an attempt for the caller of the engine to send.
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

// Actions are the actions that the caller of the engine must carry out.
type Actions struct {
	Sends  []Send
	Relays []RelaySend
	// Cancels are attempts that must be ended at once, because the caller has disconnected or the server has stopped
	// answering. Drops are attempts whose answers are no longer used; they may run on for a short time.
	Cancels []AttemptID
	Drops   []AttemptID
	// RelayCancels and RelayDrops are the same for calls to relays.
	RelayCancels []RelayID
	RelayDrops   []RelayID
	// Rescheduled holds other requests for which NextTick may return an earlier time than before.
	Rescheduled []JobID
	// FailedTasks holds the indexes of the shards that can no longer be answered.
	FailedTasks []int
	// Finished is set when the request has ended.
	Finished *Finished
	// Accepted is set by Done if the answer must be used as the answer of its shard, and by RelayReport if the part of
	// the relay must be used.
	Accepted bool
	// Events are decisions to log.
	Events []Event
}

// Event is a decision or observation to log.
type Event struct {
	Name string
	// Job is the request, 0 if the event concerns no single request.
	Job    JobID
	Pool   string
	Server string
	// Detail describes the measurements or errors behind the decision.
	Detail string
}

// End is how a request ended.
type End string

// Ends of requests.
const (
	// Complete means that all shards have answered.
	Complete End = "complete"
	// Partial means that the answer lacks some shards but covers enough of them.
	Partial End = "partial"
	// Failed means that too few shards can still be answered to reach the minimum coverage.
	Failed End = "failed"
	// Expired means that the deadline has passed.
	Expired End = "expired"
	// Refused means that the request could not be served and was not sent.
	Refused End = "refused"
)

// Finished is the result of a request that has ended.
type Finished struct {
	Job JobID
	End End
	// Answered and Total count shards.
	Answered, Total int
	// Sends is the number of attempts. Hedges and Retries are those sent for these purposes, Remote those sent
	// directly to servers in other failure domains, and Relayed those sent through relays.
	Sends, Hedges, Retries, Remote, Relayed int
	// MayHaveRun is set if a server may have run the request or a part of it.
	MayHaveRun bool
	// RetryAfter is the time after which the caller may retry. It is set if the request was not answered and no server
	// can have run any part of it.
	RetryAfter time.Duration
	// Reason describes the cause of a failure for the log.
	Reason string
	// Missing describes the attempts and state of the first unanswered shards, up to 4.
	Missing []string
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	// OK is a complete, successful answer that belongs to the request.
	OK Outcome = "ok"
	// Answered is a complete answer that is neither a success nor a server error.
	Answered Outcome = "answered"
	// ServerError is a complete answer that reports a server error. The request counts as run.
	ServerError Outcome = "server error"
	// NotRun means that the server reported that it has not run the request.
	NotRun Outcome = "not run"
	// OtherServer means that another process listens on the address. It has not run the request.
	OtherServer Outcome = "other server"
	// Unsent means that no byte was written, because no connection could be opened.
	Unsent Outcome = "unsent"
	// Busy means that no byte was written because this node had reached its connection limit. It says nothing about
	// the health of the server.
	Busy Outcome = "busy"
	// Full means that the server reset a connection above its connection limit before a byte was written.
	Full Outcome = "full"
	// Broken means that the connection failed or the answer was invalid after a byte was written.
	Broken Outcome = "broken"
	// TimedOut means that no answer arrived before the deadline.
	TimedOut Outcome = "timed out"
	// Canceled means that the engine canceled the attempt.
	Canceled Outcome = "canceled"
)

// mayHaveRun reports whether a server may have run an attempt with this outcome.
func (c Outcome) mayHaveRun() bool {
	switch c {
	case NotRun, OtherServer, Unsent, Busy, Full:
		return false
	}
	return true
}

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	// Latency is the time from the first byte written to the end of the attempt, 0 if nothing was written.
	Latency time.Duration
	// Refused means that the address of the server refused the connection, with the outcome Unsent.
	Refused bool
	// ColdRemaining is the remaining time of the cold start as reported by the server.
	ColdRemaining time.Duration
	// Leaving means that the server has announced in its answer that it leaves and must get no new requests.
	Leaving bool
	// RetryAfter is the time for which the server has asked for no requests when it rejected this one, 0 if it has not.
	RetryAfter time.Duration
	Detail     string
}

// SetBudget replaces the limits on hedges and retries. If the length of the window changes, the counts of all pools are
// reset.
func (e *Engine) SetBudget(c BudgetConfig) {
	if c.Window != e.config.Budget.Window {
		for _, p := range e.pools {
			p.budget = budget{}
		}
	}
	e.config.Budget = c
}

// SetNodes sets the number of nodes that share the servers. The slack of retry budgets and the rate limits of cold
// servers are divided by it. 0 means that the number is not known yet; the node's share is then 0.
func (e *Engine) SetNodes(n int) { e.nodes = n }

// Load holds the current counts of an engine.
type Load struct {
	// Requests and Attempts are in flight. Waiting is the number of shards that wait for capacity at a server or for
	// the retry budget.
	Requests, Attempts, Waiting int
	// Servers is the number of listed servers, of which Ejected are currently ejected as outliers, Leaving have
	// announced that they leave, and Pushback want no requests for a time.
	Servers, Ejected, Leaving, Pushback int
	// Nodes is the number of nodes that share the limits, 0 if it is not known.
	Nodes int
}

// Load returns the current counts.
func (e *Engine) Load(now time.Time) Load {
	l := Load{Requests: len(e.jobs), Attempts: len(e.attempts), Servers: len(e.servers), Nodes: e.nodes}
	for _, s := range e.servers {
		if s.ejected(now) {
			l.Ejected++
		}
		if s.isLeaving() {
			l.Leaving++
		}
		if s.hasPushback(now) {
			l.Pushback++
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
