package feed

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted is returned when the platform no longer has the changes after a revision, so that a full load is
// required.
var ErrCompacted = errors.New("feed: the platform has dropped its history")

// ErrIncomplete is returned when the platform's answer has begun but cannot be read to its end. The answer to the same
// request is likely to fail again, because it only grows; the newest state comes in pages of limited size.
var ErrIncomplete = errors.New("feed: the platform's answer cannot be read to its end")

const (
	// watchWait is how long the platform holds a watch open when there are no changes. Each answer confirms that the
	// replica is current, so the wait bounds the age of the data.
	watchWait = time.Second
	// confirmWait is the wait of a watch on a node whose data is older than confirmAge, for example when it takes over
	// from another reader. The short wait confirms the data before further nodes take over.
	confirmWait = time.Millisecond
	confirmAge  = watchWait / 2
	// minWatchInterval is the pause after a watch that returned changes, so that changes in quick succession are read in
	// few calls.
	minWatchInterval = 300 * time.Millisecond
	// idleInterval is how often an idle node checks whether it should read.
	idleInterval = 100 * time.Millisecond
	// initialBackoff is the pause after the first failure. It doubles with each further failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	// recoveryWindow is the time after a platform outage in which removals are treated as lapsed entries.
	recoveryWindow = 3 * time.Second
	// staleFraction times the apply time is the age of the data from which a node that is not a reader reads the platform
	// itself. With a working reader, the watch and the heartbeats that distribute its data keep the age below this. The
	// remaining time is enough for the read.
	staleFraction = 0.6
	// defaultApplyTime is the apply time where the settings give none.
	defaultApplyTime = 5 * time.Second
	// takeOverStagger is the extra delay of a take-over for each rank, so that only a few nodes of a failure domain take
	// over.
	takeOverStagger = 200 * time.Millisecond
	// maxTakeOverRank is the highest rank that takes over. If the nodes up to this rank cannot read, the platform is down.
	maxTakeOverRank = 5
	// blindThreshold is the number of consecutive failures after which a reader is blind: it hands over to other nodes
	// and only checks, at intervals of at most maxBackoff, whether it can read again.
	blindThreshold = 2
	maxBackoff     = 2 * time.Second
	// joinWait is how long a node that has just started waits for a peer's data before it reads the platform.
	joinWait = 200 * time.Millisecond
	// firstJoinWait replaces joinWait when the whole fleet starts for the first time.
	firstJoinWait = 600 * time.Millisecond
	// rankSettleTime is the time after a node's start in which it knows too few other nodes for its reader rank to be
	// reliable.
	rankSettleTime = 3 * time.Second
)

// Reader decides when and how a node reads the platform. It is not safe for concurrent use.
type Reader struct {
	// started is the start time of the process.
	started time.Time
	// seed means that starting nodes contact this node first, so that it reads without joinWait.
	seed     bool
	joinWait time.Duration
	// staleAge is the age of the data from which a node that is not a reader reads the platform.
	staleAge time.Duration
	// lastRevision is the revision of the last successful read, 0 before the first load. The next watch starts after it.
	lastRevision Revision
	// reload is set when the changes after lastRevision can't be read: the platform has dropped them or come back from a
	// copy, or its answer was incomplete.
	reload bool
	// fresh is set after an incomplete answer, as a stale load would need the changes after it, which may be incomplete too,
	// and at a new era, as a stale answer may be of the one before.
	fresh    bool
	failures int
	// recoveredAt is the end of the last outage.
	recoveredAt time.Time
	// notBefore is the earliest time of the next read.
	notBefore time.Time
}

// ReaderConfig holds the parameters of a reader.
type ReaderConfig struct {
	Started time.Time
	// Seed means that other nodes contact this one first when they start.
	Seed bool
	// FirstStart means that the whole fleet starts for the first time, so that peers need time to load the data too.
	FirstStart bool
	// ApplyTime is the time within which a change must take effect; 0 means 5 s.
	ApplyTime time.Duration
}

// NewReader returns a reader that has not read the platform yet.
func NewReader(c ReaderConfig) *Reader {
	if c.ApplyTime <= 0 {
		c.ApplyTime = defaultApplyTime
	}
	r := &Reader{
		started: c.Started, seed: c.Seed, joinWait: joinWait,
		staleAge: time.Duration(staleFraction * float64(c.ApplyTime)),
	}
	if c.FirstStart {
		r.joinWait = firstJoinWait
	}
	return r
}

// Step is what a reader does next.
type Step int

// Steps of a reader.
const (
	// Idle means to call Plan again after Plan.Wait.
	Idle Step = iota
	// Load means to read a full snapshot.
	Load
	// Watch means to watch for changes after revision Plan.After for up to Plan.Wait.
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

// Plan is the next step of a reader with its parameters.
type Plan struct {
	Step  Step
	After Revision
	Wait  time.Duration
	// Fresh means that a load must return the newest state, without a watch for the changes after it.
	Fresh bool
}

// Input holds the node state that a plan depends on.
type Input struct {
	// Rank is 0 for a reader of the platform, and for other nodes the order in which they take over.
	Rank int
	// Revision is the revision of the node's replica, 0 when it has none.
	Revision Revision
	// Age is the time since the replica was last confirmed as current; Known is false if it never was.
	Age   time.Duration
	Known bool
}

// Plan returns the next step of the reader.
func (r *Reader) Plan(now time.Time, in Input) Plan {
	if !r.shouldRead(now, in) {
		return Plan{Step: Idle, Wait: idleInterval}
	}
	if now.Before(r.notBefore) {
		return Plan{Step: Idle, Wait: r.notBefore.Sub(now)}
	}
	after := max(r.lastRevision, in.Revision)
	if after == 0 || r.reload {
		return Plan{Step: Load, Fresh: r.fresh}
	}
	wait := watchWait
	if !in.Known || in.Age > confirmAge {
		wait = confirmWait
	}
	return Plan{Step: Watch, After: after, Wait: wait}
}

// shouldRead reports whether the node should read the platform.
func (r *Reader) shouldRead(now time.Time, in Input) bool {
	if in.Revision == 0 {
		return r.seed || now.Sub(r.started) >= r.joinWait
	}
	if in.Rank == 0 && (r.seed || now.Sub(r.started) >= rankSettleTime) {
		return true
	}
	if r.IsBlind() {
		return true
	}
	limit := r.staleAge + time.Duration(max(in.Rank-1, 0))*takeOverStagger
	return !in.Known || in.Rank <= maxTakeOverRank && in.Age > limit
}

// IsBlind reports whether at least the last two reads have failed.
func (r *Reader) IsBlind() bool { return r.failures >= blindThreshold }

// RecordSuccess records a successful read that returned d. It marks the removals in d as lapsed when they may result
// from a recent outage.
func (r *Reader) RecordSuccess(now time.Time, d *Delta) {
	if r.failures > 0 {
		r.recoveredAt = now
	}
	r.failures = 0
	r.lastRevision = max(r.lastRevision, d.To)
	r.reload, r.fresh = false, false
	r.notBefore = time.Time{}
	if len(d.Changes) > 0 {
		r.notBefore = now.Add(minWatchInterval)
	}
	if r.recoveredAt.IsZero() || now.Sub(r.recoveredAt) > recoveryWindow {
		return
	}
	d.Lapsed = true
	for i := range d.Changes {
		d.Changes[i].Lapsed = d.Changes[i].Removed != ""
	}
}

// RecordFailure records a failed read and schedules the next one with exponential backoff. The jitter, from 0 to 1,
// sets the pause between 0.5 and 1 times the backoff. After ErrCompacted, and after the first ErrIncomplete or ErrRestored,
// the next read is a full load without a pause: the platform answers, so that the node is not cut off from it.
func (r *Reader) RecordFailure(now time.Time, err error, jitter float64) {
	if errors.Is(err, ErrCompacted) {
		r.reload = true
		return
	}
	if errors.IsAny(err, ErrIncomplete, ErrRestored) {
		first := !r.fresh
		r.reload, r.fresh = true, true
		if first {
			return
		}
	}
	// The load that follows must not be of an earlier era once more.
	r.fresh = r.fresh || errors.Is(err, ErrEarlierEra)
	r.failures++
	pause := min(maxBackoff, initialBackoff<<min(r.failures-1, 10))
	r.notBefore = now.Add(time.Duration((0.5 + jitter/2) * float64(pause)))
}

// Failures returns the number of consecutive failures.
func (r *Reader) Failures() int { return r.failures }
