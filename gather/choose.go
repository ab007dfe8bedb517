package gather

import (
	"math"
	"time"
)

const (
	// declineScore is the score from which on a relay leaves a shard to the node that asked, which
	// can reach servers in all failure domains.
	declineScore = 5.0
	// domainPenalty is what a server in another failure domain must be faster by: the round trip
	// between domains, which a measured latency already has, and the cost of the bytes that cross.
	domainPenalty = 2.5
	// stallShare of the tail latency of a class is the time without an answer after which a server
	// counts as stalled.
	stallShare = 1.2
	// stallSlowness is the slowness of a stalled server, and coldSlowness of a cold one.
	stallSlowness = 8.0
	coldSlowness  = 1.6
	// retryCost is what a failed attempt costs in typical latencies when the request can be sent again, and
	// failureCost when it cannot, so that its caller gets no answer.
	retryCost   = 3.0
	failureCost = 40.0
	// fullSlowness is the slowness from which on a node sends a server only as many requests as it runs at
	// once, and halfSlowness that from which on half as many.
	fullSlowness = 1.5
	halfSlowness = 4.0
)

// choose returns the server for the next attempt of a task, or nil when none can take it now. A nil
// task is one that has not been sent yet.
func (e *Engine) choose(now time.Time, j *job, p *pool, t *task) *server {
	if p == nil {
		return nil
	}
	var best, spare *server
	least, leastSpare := 0.0, 0.0
	for _, s := range p.servers {
		if t != nil && !t.mayReach(now, s) || !e.usable(now, s) || j.Relayed && s.FailureDomain != e.config.FailureDomain {
			continue
		}
		v := e.score(now, j, s)
		if s.ejected(now) {
			if spare == nil || v < leastSpare {
				spare, leastSpare = s, v
			}
			continue
		}
		if best == nil || v < least {
			best, least = s, v
		}
	}
	if j.Relayed && len(p.servers) > 1 && (best == nil || least > declineScore) {
		return nil
	}
	if best == nil {
		// An ejected server is better than none.
		return spare
	}
	return best
}

// usable reports whether the server may get another request from this node.
func (e *Engine) usable(now time.Time, s *server) bool {
	return s.isListed() && s.hasRoom(now, e.share(now, coldWindow))
}

// hasRoom reports whether a connection, room at the server and, in a cold start, a part of its rate
// is left.
func (s *server) hasRoom(now time.Time, coldShare float64) bool {
	if s.Connections > 0 && len(s.open) >= s.Connections || s.window > 0 && len(s.open) >= s.window {
		return false
	}
	if now.Before(s.fullUntil) {
		return false
	}
	if len(s.open) >= s.queueLimit(now) {
		return false
	}
	if s.ColdRate > 0 && s.cold(now) {
		return float64(s.sent.count(now)+1) <= s.ColdRate*coldShare
	}
	return true
}

// queueLimit returns how many requests the node may have at the server at once. The longer they take, the
// fewer: what waits at the node can still be sent elsewhere or left out, and what waits at the server
// cannot.
func (s *server) queueLimit(now time.Time) int {
	v := s.slownessNow(now)
	switch {
	case s.Slots <= 0 || v <= fullSlowness:
		return math.MaxInt
	case v <= halfSlowness:
		return s.Slots
	default:
		return max(1, s.Slots/2)
	}
}

// score ranks a server for a request, the best one with the least score.
func (e *Engine) score(now time.Time, j *job, s *server) float64 {
	v := e.slowness(now, j, s)
	cost := retryCost
	if !j.Idempotent {
		cost = failureCost
	}
	v *= 1 + cost*s.failingNow(now)
	if s.FailureDomain != e.config.FailureDomain {
		v *= domainPenalty
	}
	// Equal servers share the load.
	return v * (1 + tieSpread*e.rand.Float64())
}

// slowness is the expected latency of a request at a server relative to the typical one of its class.
func (e *Engine) slowness(now time.Time, j *job, s *server) float64 {
	v := s.slownessNow(now)
	if s.cold(now) {
		v = max(v, coldSlowness)
	}
	if wait := time.Duration(stallShare * float64(j.class.tail())); s.stalled(now, wait) {
		v = max(v, stallSlowness)
	}
	if queue := len(s.open) + 1 - s.Slots; queue > 0 && s.Slots > 0 {
		v *= 1 + float64(queue)/float64(s.Slots)
	}
	return v
}

// tieSpread is the part of a score that is drawn, so that nodes with equal views do not choose alike.
const tieSpread = 0.1
