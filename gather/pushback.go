package gather

import (
	"slices"
	"time"
)

// A server that rejects a request may ask for no requests for a time. During this pushback the node sends it nothing, no
// hedge, retry or trial request either. Only attempts that had just obtained a connection when the rejection arrived may
// still reach it.

// pushbackJitter is the random fraction that is added to the end of a pushback in the Retry-After of callers, so that
// they do not all come back at once.
const pushbackJitter = 0.1

func (s *server) hasPushback(now time.Time) bool { return now.Before(s.pushbackUntil) }

// recordPushback records that the server of an attempt has asked for no requests for a time. A shorter time does not end
// a longer one. If the server has been restarted since the attempt was sent, the request does not concern it.
func (e *Engine) recordPushback(now time.Time, a *attempt, wait time.Duration, act *Actions) {
	s, until := a.server, now.Add(wait)
	if !a.startTime.Equal(s.StartTime) || !until.After(s.pushbackUntil) {
		return
	}
	if !s.hasPushback(now) {
		act.Events = append(act.Events, Event{
			Name: "server pushback", Job: a.job.id, Pool: s.pool.name, Server: s.ID,
			Detail: "no requests for " + milliseconds(wait) + ", asked for in the rejection of a " + string(a.purpose) + " attempt",
		})
	}
	s.pushbackUntil = until
	if until.After(e.pushbackUntil) {
		e.pushbackUntil = until
	}
}

// MaySend reports whether an attempt whose request has not been written yet may still be sent: its server neither leaves
// nor wants no requests.
func (e *Engine) MaySend(now time.Time, id AttemptID) bool {
	a := e.attempts[id]
	return a != nil && a.server.isListed() && !a.server.hasPushback(now)
}

// readyAt returns the earliest time, now or later, at which a listed server of the pool to which the task may be sent wants
// requests. It returns false if there is no such server. A nil task stands for one that has not been sent yet.
func (p *pool) readyAt(now time.Time, t *task) (time.Time, bool) {
	var first time.Time
	for _, s := range p.servers {
		switch {
		case !s.isListed() || t != nil && !t.mayEverSendTo(s):
		case !s.hasPushback(now):
			return now, true
		case first.IsZero() || s.pushbackUntil.Before(first):
			first = s.pushbackUntil
		}
	}
	return first, !first.IsZero()
}

// mayEverSendTo reports whether the limit of servers allows the task to be sent to this one, now or after a delay.
func (t *task) mayEverSendTo(s *server) bool {
	return len(t.attempts) == 0 || t.maySendToAnother() || slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.server == s })
}

// coverageDelay returns the time until enough shards of a request have a server that wants requests, and the name of a
// shard that has none now. The time is 0 if enough shards have one, or if the others have no listed server.
func (e *Engine) coverageDelay(now time.Time, j *job) (string, time.Duration) {
	if !now.Before(e.pushbackUntil) {
		return "", 0
	}
	ready, name := 0, ""
	var ends []time.Time
	for _, n := range j.Pools {
		p := e.pools[n]
		if p == nil {
			continue
		}
		at, ok := p.readyAt(now, nil)
		switch {
		case !ok:
		case at.After(now):
			ends, name = append(ends, at), n
		default:
			ready++
		}
	}
	if j.coversEnough(ready) {
		return "", 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	for i, end := range ends {
		if j.coversEnough(ready + i + 1) {
			return name, end.Sub(now)
		}
	}
	return "", 0
}

// callerRetryAfter returns the time after which the caller of a request that could not be served may retry.
func (e *Engine) callerRetryAfter(now time.Time, j *job) time.Duration {
	_, wait := e.coverageDelay(now, j)
	if wait == 0 {
		return retryAfter
	}
	return time.Duration(float64(wait) * (1 + pushbackJitter*e.rand.Float64()))
}
