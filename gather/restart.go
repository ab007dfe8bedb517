package gather

import (
	"net/netip"
	"time"
)

// A server whose address refuses connections has ended. The process that listens there next is cold. It may have the ID of
// the earlier one, which the list shows until the new entry has been read: at some nodes only after the new process has
// begun to accept requests. Until then the limits of a cold start hold for the server.

// restart holds what is known of the end of a server process and of the start of the next one.
type restart struct {
	// endedAt is the time at which the address last refused a connection, zero if a process has answered since.
	endedAt time.Time
	// coldUntil is the end of the cold start of the next process as far as the node can tell without its entry.
	coldUntil time.Time
}

func (r *restart) cold(now time.Time) bool { return !r.endedAt.IsZero() || now.Before(r.coldUntil) }

// recordAnswer records an answer to a request that was sent at the given time. Only an answer shows that there is a process
// again: a write succeeds on a connection of the ended one too.
func (r *restart) recordAnswer(now, sentAt time.Time, coldTime time.Duration) {
	if r.endedAt.IsZero() || sentAt.Before(r.endedAt) {
		return
	}
	r.endedAt, r.coldUntil = time.Time{}, now.Add(coldTime)
}

// ServerEnded records that an address refuses connections. Done records it for attempts.
func (e *Engine) ServerEnded(now time.Time, address netip.AddrPort) Actions {
	var act Actions
	for _, s := range e.servers {
		if s.Address == address {
			s.recordEnded(now, &act)
		}
	}
	return act
}

func (s *server) recordEnded(now time.Time, act *Actions) {
	if s.restart.endedAt.IsZero() {
		act.Events = append(act.Events, Event{
			Name: "server ended", Pool: s.pool.name, Server: s.ID, Detail: "its address refuses connections; the next process is cold",
		})
	}
	s.restart.endedAt = now
}

// recordRefused records that the address of an attempt's server refused the connection. If the server has been restarted
// since the attempt was sent, that does not concern the present process. The attempt takes none of the rate of the next
// process, which it has not reached.
func (e *Engine) recordRefused(now time.Time, a *attempt, act *Actions) {
	a.server.recentSends.remove(a.sentAt)
	if a.startTime.Equal(a.server.StartTime) {
		a.server.recordEnded(now, act)
	}
}
