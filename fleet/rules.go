package fleet

import "time"

// Protocol timing. The design page gives the reasons for the values.
const (
	// LeaseDuration is how long a promise is valid, measured by the voter's clock.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the time between two claims of the same slice.
	RenewInterval = 500 * time.Millisecond
	// HeartbeatInterval is the default time between two heartbeats to a watched member.
	HeartbeatInterval = time.Second
	// TickInterval is the interval at which Tick should be called. It bounds how long a node delays a
	// flooded item.
	TickInterval = 100 * time.Millisecond
)

// rules are the parameters of the protocol. Tests change them one at a time to verify that the
// invariant checks detect a violation.
type rules struct {
	// promiseDuration is how long a voter's promise is valid.
	promiseDuration time.Duration
	// holderDuration is how long the holder may use a lease, measured from when it sent the claim. It
	// is 10% below promiseDuration to tolerate clocks that run at different rates.
	holderDuration time.Duration
	// startAbstention is how long a node gives no new promise after its start.
	startAbstention time.Duration
	// voterAbstention is how long a node that has replaced another node as a voter of a slice gives
	// new promises for it only to the current holder.
	voterAbstention time.Duration
	// provisionalDuration is how long promises of a node that replaced a voter are provisional while
	// that voter is Down but still listed by the platform. It exceeds the length of usual partitions.
	provisionalDuration time.Duration
	// documentAbstention is how long a node that became a voter of a slice because of a new document
	// gives no new promise for it, not even to the holder. It exceeds the time that a document needs
	// to reach all nodes.
	documentAbstention time.Duration
	// observers is the number of distinct observers that must suspect a member before it is declared
	// Down.
	observers int
	// refuteTimeout is how long a suspected member has to refute the suspicion.
	refuteTimeout time.Duration
	// heartbeat is the time between two heartbeats to a watched member.
	heartbeat time.Duration
	// missLimit is the number of consecutive unanswered heartbeats that raise a suspicion.
	missLimit int
	// pauseThreshold is the time between two calls above which the process is considered to have
	// been paused.
	pauseThreshold time.Duration
	// digestMismatchLimit is the number of consecutive exchanges with different digests after which
	// the peer's table is fetched.
	digestMismatchLimit int
	// accepts reports whether a document of version next may replace one of version current.
	accepts func(current, next uint64) bool
	// quorum returns the number of members of a group that form a majority.
	quorum func(group int) int
}

func defaultRules() rules {
	return rules{
		promiseDuration: LeaseDuration, holderDuration: LeaseDuration * 9 / 10,
		startAbstention: LeaseDuration, voterAbstention: LeaseDuration, documentAbstention: 10 * time.Second,
		provisionalDuration: 10 * time.Minute,
		observers:           2, refuteTimeout: time.Second,
		heartbeat: HeartbeatInterval, missLimit: 3, pauseThreshold: time.Second,
		digestMismatchLimit: 10,
		accepts:             func(current, next uint64) bool { return next > current },
		quorum:              func(group int) int { return group/2 + 1 },
	}
}
