package sched

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/limit"
	"github.com/arbutusthread/arbutusthread/route"
)

const (
	// DefaultMaxAttempts is the default maximum number of attempts for one shard, excluding hedges.
	DefaultMaxAttempts = 3
	// DefaultOvercommit is the default ratio of committed load to the concurrency limit of a server. A
	// ratio above 1 keeps permits in use while admitted requests wait for their last shards.
	DefaultOvercommit = 1.25
	// budgetBurst is the burst size of the hedge budget and of the retry budget, in requests.
	budgetBurst = 10
	// MaxClockSkew is the assumed maximum clock skew between two VMs. Attempts must end this much
	// before the lease does.
	MaxClockSkew = 50 * time.Millisecond
)

// Config configures a slice. Nil policies and zero values of Outlier, Overcommit and MaxAttempts are
// replaced by defaults.
type Config struct {
	Service     string
	Slice       int
	Seed        uint64
	Preset      conf.Preset
	Replica     route.Policy[[]route.Candidate, int]
	Hedge       route.Policy[route.HedgeInput, time.Time]
	Outlier     route.OutlierConfig
	Guard       guard.Config
	Overcommit  float64
	MaxAttempts int
	// DisableAdmission disables admission control. It is used for baseline measurements.
	DisableAdmission bool
	// DisableSlowStart disables slow start, so each server always gets its full Slots. It is used for
	// baseline measurements.
	DisableSlowStart bool
	// LimitOverride, if set, returns the current concurrency limit of a server and replaces slow start. It is
	// used for baseline measurements.
	LimitOverride func(netip.AddrPort) int
}

func (c *Config) setDefaults() {
	if c.Replica == nil {
		c.Replica = route.NewLeastScore(c.Seed)
	}
	if c.Hedge == nil {
		c.Hedge = route.AdaptiveHedge{}
	}
	if c.Outlier == (route.OutlierConfig{}) {
		c.Outlier = route.DefaultOutlierConfig()
	}
	if c.Overcommit == 0 {
		c.Overcommit = DefaultOvercommit
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
}

// Slice is the scheduler of one slice. It is not safe for concurrent use.
type Slice struct {
	config      Config
	servers     map[netip.AddrPort]*server
	jobs        map[JobID]*job
	attempts    map[AttemptID]*attempt
	queue       *limit.Queue[*job]
	timers      timers
	hedgeBudget *route.Budget
	retryBudget *route.Budget
	latencies   *route.Distribution
	// serviceTimes holds the times from start to completion of requests; completionInterval is the
	// average time between two completions while requests are queued.
	serviceTimes       *route.Distribution
	completionInterval route.MovingAverage
	lastCompletion     time.Time
	outlier            *route.OutlierDetector
	warmup             limit.WarmupHistory
	guard              *guard.Guard[JobID]
	rand               *rand.Rand
	leaseEnd           time.Time
	draining           bool
	lastID             uint64
	// serversVersion is incremented on each change of the server set.
	serversVersion uint64
	cands          []route.Candidate
	candServers    []*server
}

// New returns a slice without servers or a lease.
func New(c Config) *Slice {
	c.setDefaults()
	return &Slice{
		config:         c,
		servers:        make(map[netip.AddrPort]*server),
		jobs:           make(map[JobID]*job),
		attempts:       make(map[AttemptID]*attempt),
		queue:          limit.NewQueue[*job](c.Preset.QueueLimit),
		hedgeBudget:    route.NewBudget(c.Preset.HedgeBudget, budgetBurst),
		retryBudget:    route.NewBudget(c.Preset.RetryBudget, budgetBurst),
		latencies:      route.NewDistribution(),
		serviceTimes:   route.NewDistribution(),
		outlier:        route.NewOutlierDetector(c.Outlier),
		guard:          guard.New[JobID](c.Guard),
		rand:           rand.New(rand.NewPCG(c.Seed, c.Seed+1)),
		serversVersion: 1,
	}
}

// SetPreset applies the parameters of a preset to subsequent requests.
func (s *Slice) SetPreset(p conf.Preset) {
	s.config.Preset = p
	s.queue.SetLimit(p.QueueLimit)
	s.hedgeBudget.SetShare(p.HedgeBudget)
	s.retryBudget.SetShare(p.RetryBudget)
}

// SetLease sets the end of the lease, until which the slice may send work. Attempts already in flight
// have deadlines before the end of the lease under which they were sent.
func (s *Slice) SetLease(end time.Time) {
	s.leaseEnd = end
}

// MarkAllCold marks all servers cold, because a new lease holder has no observations of them.
func (s *Slice) MarkAllCold() {
	for _, v := range s.servers {
		v.permits.SetCold(limit.ColdFirstContact)
	}
}

// Unfinished returns the number of requests in flight or queued.
func (s *Slice) Unfinished() int {
	return len(s.jobs)
}

// Outstanding returns the number of outstanding attempts at backend servers.
func (s *Slice) Outstanding() int {
	return len(s.attempts)
}

// NextTick returns the time at which Tick is next due, or the zero time if no timer is set.
func (s *Slice) NextTick() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].at
}

// Tick runs all timers that are due and then admits queued requests.
func (s *Slice) Tick(now time.Time) Actions {
	var out Actions
	for {
		t, ok := s.timers.popDue(now)
		if !ok {
			break
		}
		switch t.kind {
		case deadlineTimer:
			s.expire(now, t.job, &out)
		case hedgeTimer:
			s.trySendHedge(now, t.task, &out)
		case retryTimer:
			t.task.retryPending = false
			s.launch(now, t.task, t.task.purpose(), &out)
		}
	}
	s.admitQueued(now, &out)
	return out
}

func (s *Slice) sendLimit() time.Time {
	return s.leaseEnd.Add(-MaxClockSkew)
}

func (s *Slice) newID() uint64 {
	s.lastID++
	return s.lastID
}
