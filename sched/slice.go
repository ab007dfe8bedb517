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
	// DefaultMaxTries bounds the attempts for one shard, hedges not counted.
	DefaultMaxTries = 3
	// DefaultOvercommit is the share of a server's allowance that admitted requests may expect
	// to use. Above 1 keeps permits in use while an admitted request waits for its last shards.
	DefaultOvercommit = 1.25
	// budgetBurst bounds the hedges or retries that saved-up budget allows at once.
	budgetBurst = 10
	// ClockDifference is the assumed bound on the difference between the clocks of two VMs. A
	// dispatch ends by this much before the lease.
	ClockDifference = 50 * time.Millisecond
)

// Config holds the policies of a slice. Nil policies are replaced by those in use.
type Config struct {
	Service    string
	Slice      int
	Seed       uint64
	Preset     conf.Preset
	Replica    route.Policy[[]route.Candidate, int]
	Hedge      route.Policy[route.HedgeInput, time.Time]
	Outlier    route.OutlierConfig
	Guard      guard.Config
	Overcommit float64
	MaxTries   int
	// AdmitAll turns admission off; it is a baseline.
	AdmitAll bool
	// IgnoreCold gives each server its full slots always; it is a baseline.
	IgnoreCold bool
	// Bears, when it is set, returns what a server bears now, which replaces the ramp; it is a
	// baseline.
	Bears func(netip.AddrPort) int
}

func (c *Config) setDefaults() {
	if c.Replica == nil {
		c.Replica = route.NewLeastScore(c.Seed)
	}
	if c.Hedge == nil {
		c.Hedge = route.AdaptiveHedge{}
	}
	if c.Outlier == (route.OutlierConfig{}) {
		c.Outlier = route.DefaultOutlier()
	}
	if c.Overcommit == 0 {
		c.Overcommit = DefaultOvercommit
	}
	if c.MaxTries == 0 {
		c.MaxTries = DefaultMaxTries
	}
}

// Slice schedules the requests of one slice.
type Slice struct {
	config    Config
	servers   map[netip.AddrPort]*server
	jobs      map[JobID]*job
	attempts  map[AttemptID]*attempt
	queue     *limit.Queue[*job]
	timers    timers
	hedges    *route.Budget
	retries   *route.Budget
	latencies *route.Distribution
	// holds are times from start to end of requests; gap is the time between two ends while
	// requests wait.
	holds    *route.Distribution
	gap      route.Average
	lastEnd  time.Time
	outlier  *route.Outlier
	warming  limit.Warming
	guard    *guard.Guard[JobID]
	rand     *rand.Rand
	lease    time.Time
	draining bool
	lastID   uint64
	// moves counts the changes of the set of servers.
	moves  uint64
	cands  []route.Candidate
	places []*server
}

// New returns a slice without servers and without a lease.
func New(c Config) *Slice {
	c.setDefaults()
	return &Slice{
		config:    c,
		servers:   make(map[netip.AddrPort]*server),
		jobs:      make(map[JobID]*job),
		attempts:  make(map[AttemptID]*attempt),
		queue:     limit.NewQueue[*job](c.Preset.QueueLimit),
		hedges:    route.NewBudget(c.Preset.HedgeBudget, budgetBurst),
		retries:   route.NewBudget(c.Preset.RetryBudget, budgetBurst),
		latencies: route.NewDistribution(),
		holds:     route.NewDistribution(),
		outlier:   route.NewOutlier(c.Outlier),
		guard:     guard.New[JobID](c.Guard),
		rand:      rand.New(rand.NewPCG(c.Seed, c.Seed+1)),
		moves:     1,
	}
}

// SetPreset puts the parameters of a preset in force for the requests that follow.
func (s *Slice) SetPreset(p conf.Preset) {
	s.config.Preset = p
	s.queue.SetLimit(p.QueueLimit)
	s.hedges.SetShare(p.HedgeBudget)
	s.retries.SetShare(p.RetryBudget)
}

// SetLease sets the time until which the slice may send work. Work that is in flight already has
// deadlines before the end of the lease under which it was sent.
func (s *Slice) SetLease(end time.Time) {
	s.lease = end
}

// Restart makes all servers count as cold: a new holder of the permits knows nothing of them.
func (s *Slice) Restart() {
	for _, v := range s.servers {
		v.permits.SetCold(limit.ColdFirstContact)
	}
}

// Busy returns the number of requests in flight or waiting.
func (s *Slice) Busy() int {
	return len(s.jobs)
}

// Outstanding returns the number of attempts at backend servers.
func (s *Slice) Outstanding() int {
	return len(s.attempts)
}

// NextWake returns the time at which Tick is due; zero means that nothing is due.
func (s *Slice) NextWake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].at
}

// Tick carries out what is due.
func (s *Slice) Tick(now time.Time) Actions {
	var out Actions
	for {
		t, ok := s.timers.due(now)
		if !ok {
			break
		}
		switch t.kind {
		case deadlineTimer:
			s.expire(now, t.job, &out)
		case hedgeTimer:
			s.hedge(now, t.task, &out)
		case retryTimer:
			t.task.paused = false
			s.launch(now, t.task, t.task.purpose(), &out)
		}
	}
	s.pump(now, &out)
	return out
}

func (s *Slice) sendLimit() time.Time {
	return s.lease.Add(-ClockDifference)
}

func (s *Slice) newID() uint64 {
	s.lastID++
	return s.lastID
}
