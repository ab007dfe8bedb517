package peer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Counters are the numbers of datagrams, and of bytes in SentBytes, since the start of the node.
type Counters struct {
	Sent      uint64 `json:"Sent"`
	SentBytes uint64 `json:"SentBytes"`
	Received  uint64 `json:"Received"`
	// Unsent counts datagrams that could not be encoded or written to the socket.
	Unsent uint64 `json:"Unsent"`
	// The remaining fields count refused datagrams by reason.
	WrongSize     uint64 `json:"WrongSize"`
	WrongProtocol uint64 `json:"WrongProtocol"`
	WrongKey      uint64 `json:"WrongKey"`
	Undecodable   uint64 `json:"Undecodable"`
	RateLimited   uint64 `json:"RateLimited"`
}

type counters struct {
	sent, sentBytes, received, unsent                            atomic.Uint64
	wrongSize, wrongProtocol, wrongKey, undecodable, rateLimited atomic.Uint64
}

// countRefused counts a refused datagram by the reason in err.
func (c *counters) countRefused(err error) {
	switch {
	case errors.Is(err, errDatagramSize):
		c.wrongSize.Add(1)
	case errors.Is(err, errUnknownProtocol):
		c.wrongProtocol.Add(1)
	case errors.Is(err, errUnknownKey):
		c.wrongKey.Add(1)
	default:
		c.undecodable.Add(1)
	}
}

func (c *counters) snapshot() Counters {
	return Counters{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), Unsent: c.unsent.Load(),
		WrongSize: c.wrongSize.Load(), WrongProtocol: c.wrongProtocol.Load(), WrongKey: c.wrongKey.Load(),
		Undecodable: c.undecodable.Load(), RateLimited: c.rateLimited.Load(),
	}
}

// rateLimiter limits the datagrams per second, by source and in total. It uses fixed windows of one second and
// clears all sources at the start of a window, so that it holds at most total sources.
type rateLimiter struct {
	perSource, total int
	windowStart      time.Time
	count            int
	sources          map[netip.AddrPort]int
}

func newRateLimiter(source, total int) *rateLimiter {
	return &rateLimiter{perSource: source, total: total, sources: make(map[netip.AddrPort]int)}
}

// allow reports whether another datagram from the source is within both limits, and counts it if so.
func (m *rateLimiter) allow(now time.Time, from netip.AddrPort) bool {
	if now.Sub(m.windowStart) >= time.Second {
		m.windowStart, m.count = now, 0
		clear(m.sources)
	}
	if m.count >= m.total || m.sources[from] >= m.perSource {
		return false
	}
	m.count++
	m.sources[from]++
	return true
}
