package fleet

import "time"

// Times of the protocol. The design page gives the reasons for the values.
const (
	// LeaseTime is how long a promise lasts by the clock of the seat.
	LeaseTime = 2 * time.Second
	// RenewEvery is the time between two claims of the same slice.
	RenewEvery = 500 * time.Millisecond
	// HeartbeatEvery is the time between two heartbeats to a watched member.
	HeartbeatEvery = time.Second
	// TickEvery is how often Tick should be called. It bounds the delay of a flooded item at a node.
	TickEvery = 100 * time.Millisecond
)

// rules are the parameters of the protocol. Tests change single ones to prove that the checks
// notice a broken rule.
type rules struct {
	// promiseTime is how long a seat keeps a promise.
	promiseTime time.Duration
	// holderTime is how long the holder uses a lease, counted from the sending of its claim. It is
	// 10% below promiseTime, so that clocks may run at different rates.
	holderTime time.Duration
	// startAbstention is how long a started node promises nothing.
	startAbstention time.Duration
	// seatAbstention is how long a node promises nothing for a slice whose seat it has taken over
	// from another node, except to the holder.
	seatAbstention time.Duration
	// provisionalTime is how long a member that is Down, but still listed by the platform, makes the
	// promises of the node that took over its seat provisional. It exceeds the usual partition.
	provisionalTime time.Duration
	// documentAbstention is how long a node promises nothing at all for a slice whose seat it has
	// taken because of another document. It exceeds the time in which a document reaches all nodes.
	documentAbstention time.Duration
	// observers is the number of distinct observers whose suspicion makes a member Down.
	observers int
	// refuteTime is how long a suspected member may refute.
	refuteTime time.Duration
	// heartbeat is the time between two heartbeats to a watched member.
	heartbeat time.Duration
	// misses is the number of unanswered heartbeats in a row that raise a suspicion.
	misses int
	// pauseGap is the time between two calls above which the node counts as having paused.
	pauseGap time.Duration
	// digestStreak is the number of exchanges in a row with different digests after which the
	// table is fetched.
	digestStreak int
	// accepts decides whether a document of version next may replace one of version current.
	accepts func(current, next uint64) bool
	// quorum is the number out of a group that decides for it.
	quorum func(group int) int
}

func defaultRules() rules {
	return rules{
		promiseTime: LeaseTime, holderTime: LeaseTime * 9 / 10,
		startAbstention: LeaseTime, seatAbstention: LeaseTime, documentAbstention: 10 * time.Second,
		provisionalTime: 10 * time.Minute,
		observers:       2, refuteTime: time.Second, heartbeat: HeartbeatEvery, misses: 3, pauseGap: time.Second,
		digestStreak: 10,
		accepts:      func(current, next uint64) bool { return next > current },
		quorum:       func(group int) int { return group/2 + 1 },
	}
}
