package feed

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrGone means that the platform no longer has the changes after a revision, so that everything
// must be loaded again.
var ErrGone = errors.New("feed: the platform has dropped its history")

const (
	// WatchTime is how long a watch waits at the platform. A watch that is answered shows that the
	// copy is current, so it bounds the age of the data.
	WatchTime = time.Second
	// confirmTime is the wait of a watch by a node whose data is older than oldAge, as when it takes over
	// from another reader. The answer comes before further nodes take over.
	confirmTime = time.Millisecond
	oldAge      = WatchTime / 2
	// batchTime is the least time between two watches, so that changes in quick succession take few
	// calls.
	batchTime = 300 * time.Millisecond
	// idleCheck is the time between two checks whether a node should read.
	idleCheck = 100 * time.Millisecond
	// firstRetry is the pause after the first failure. It doubles with each further one.
	firstRetry = 100 * time.Millisecond
	// returnTime is how long after an outage removals count as lapsed entries.
	returnTime = 3 * time.Second
	// staleShare of the time in which a change must be in force is the age of the data from which a
	// node that is no reader reads the platform itself. A watch and the heartbeats on the way from a
	// reader give less, and the rest is enough for the read.
	staleShare = 0.6
	// defaultApplyTime is used where no bound is set.
	defaultApplyTime = 5 * time.Second
	// staleStep delays the nodes of a failure domain in turn, so that few of them take over.
	staleStep = 200 * time.Millisecond
	// lastTakeOver is the last rank that takes over. When so many cannot read, the platform is away.
	lastTakeOver = 5
	// blindAfter is the number of failures in a row from which on a reader leaves its place to others
	// and only checks, at most blindRetry apart, whether it can read again.
	blindAfter = 2
	blindRetry = 2 * time.Second
	// JoinTime is how long a node that has just started waits for the data of a peer before it
	// reads the platform.
	JoinTime = 200 * time.Millisecond
	// FirstJoinTime is JoinTime when the whole fleet starts for the first time.
	FirstJoinTime = 600 * time.Millisecond
	// settleTime is how long a node that has just started knows too few others to trust its rank.
	settleTime = 3 * time.Second
)

// Reader decides when and how a node reads the platform. It is not safe for concurrent use.
type Reader struct {
	// started is the start of the process.
	started time.Time
	// seed means that others start by asking this node, so that it reads at once.
	seed     bool
	joinTime time.Duration
	// stale is the age of the data from which a node that is no reader reads.
	stale time.Duration
	// at is the revision after which the next watch begins, 0 before the first load.
	at uint64
	// reload is set when the platform no longer has the changes after at.
	reload   bool
	failures int
	// returned is the end of the last outage.
	returned time.Time
	next     time.Time
}

// ReaderConfig describes a reader.
type ReaderConfig struct {
	Started time.Time
	// Seed means that other nodes start by asking this one.
	Seed bool
	// FirstStart means that the whole fleet starts, so that peers need time too.
	FirstStart bool
	// ApplyTime is the time in which a change must be in force; 0 means 5 s.
	ApplyTime time.Duration
}

// NewReader returns a reader that has read nothing.
func NewReader(c ReaderConfig) *Reader {
	if c.ApplyTime <= 0 {
		c.ApplyTime = defaultApplyTime
	}
	r := &Reader{started: c.Started, seed: c.Seed, joinTime: JoinTime, stale: time.Duration(staleShare * float64(c.ApplyTime))}
	if c.FirstStart {
		r.joinTime = FirstJoinTime
	}
	return r
}

// Step is what a reader does next.
type Step int

// Steps of a reader.
const (
	// Idle means to ask again after Plan.Wait.
	Idle Step = iota
	// Load means to read everything.
	Load
	// Watch means to wait for changes after Plan.After.
	Watch
)

// String returns the name of the step.
func (s Step) String() string {
	switch s {
	case Load:
		return "load"
	case Watch:
		return "watch"
	default:
		return "idle"
	}
}

// Plan is the next step of a reader.
type Plan struct {
	Step  Step
	After uint64
	Wait  time.Duration
}

// Input is what a plan depends on.
type Input struct {
	// Rank is 0 for a node that reads the platform, and the place of others that take over.
	Rank int
	// Revision is that of the node's copy, 0 when it has none.
	Revision uint64
	// Age is how long ago the copy was known to be current; Known is false when it never was.
	Age   time.Duration
	Known bool
}

// Plan returns the next step.
func (r *Reader) Plan(now time.Time, in Input) Plan {
	if !r.isDue(now, in) {
		return Plan{Step: Idle, Wait: idleCheck}
	}
	if now.Before(r.next) {
		return Plan{Step: Idle, Wait: r.next.Sub(now)}
	}
	after := max(r.at, in.Revision)
	if after == 0 || r.reload {
		return Plan{Step: Load}
	}
	wait := WatchTime
	if !in.Known || in.Age > oldAge {
		wait = confirmTime
	}
	return Plan{Step: Watch, After: after, Wait: wait}
}

// isDue reports whether the node reads the platform.
func (r *Reader) isDue(now time.Time, in Input) bool {
	if in.Revision == 0 {
		return r.seed || now.Sub(r.started) >= r.joinTime
	}
	if in.Rank == 0 && (r.seed || now.Sub(r.started) >= settleTime) {
		return true
	}
	if r.IsBlind() {
		return true
	}
	limit := r.stale + time.Duration(max(in.Rank-1, 0))*staleStep
	return !in.Known || in.Rank <= lastTakeOver && in.Age > limit
}

// IsBlind reports whether the last reads have failed.
func (r *Reader) IsBlind() bool { return r.failures >= blindAfter }

// Succeed records an answer up to a revision, and marks its removals when they may be due to an
// outage.
func (r *Reader) Succeed(now time.Time, d *Delta) {
	if r.failures > 0 {
		r.returned = now
	}
	r.failures = 0
	r.at = max(r.at, d.To)
	r.reload = false
	r.next = time.Time{}
	if len(d.Changes) > 0 {
		r.next = now.Add(batchTime)
	}
	if r.returned.IsZero() || now.Sub(r.returned) > returnTime {
		return
	}
	d.Lapsed = true
	for i := range d.Changes {
		d.Changes[i].Lapsed = d.Changes[i].Removed != ""
	}
}

// Fail records a read that failed.
func (r *Reader) Fail(now time.Time, err error, jitter float64) {
	if errors.Is(err, ErrGone) {
		r.reload = true
		return
	}
	r.failures++
	pause := min(blindRetry, firstRetry<<min(r.failures-1, 10))
	r.next = now.Add(time.Duration((0.5 + jitter/2) * float64(pause)))
}

// Failures returns the number of failures in a row.
func (r *Reader) Failures() int { return r.failures }
