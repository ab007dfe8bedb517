package peer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Counters count datagrams since the start.
type Counters struct {
	Sent      uint64 `json:"Sent"`
	SentBytes uint64 `json:"SentBytes"`
	Received  uint64 `json:"Received"`
	// Unsent could not be encoded or written.
	Unsent uint64 `json:"Unsent"`
	// The others were refused for the reason that the name tells.
	WrongSize     uint64 `json:"WrongSize"`
	WrongProtocol uint64 `json:"WrongProtocol"`
	WrongKey      uint64 `json:"WrongKey"`
	Undecodable   uint64 `json:"Undecodable"`
	RateLimited   uint64 `json:"RateLimited"`
}

type counters struct {
	sent, sentBytes, received, unsent                     atomic.Uint64
	wrongSize, wrongProtocol, wrongKey, undecodable, rate atomic.Uint64
}

// refuse counts a refused datagram by the reason.
func (c *counters) refuse(err error) {
	switch {
	case errors.Is(err, errSize):
		c.wrongSize.Add(1)
	case errors.Is(err, errProtocol):
		c.wrongProtocol.Add(1)
	case errors.Is(err, errKey):
		c.wrongKey.Add(1)
	default:
		c.undecodable.Add(1)
	}
}

func (c *counters) snapshot() Counters {
	return Counters{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), Unsent: c.unsent.Load(),
		WrongSize: c.wrongSize.Load(), WrongProtocol: c.wrongProtocol.Load(), WrongKey: c.wrongKey.Load(),
		Undecodable: c.undecodable.Load(), RateLimited: c.rate.Load(),
	}
}

// meter limits datagrams a second, by source and in total. It forgets all sources every second, so
// it holds at most total of them.
type meter struct {
	source, total int
	begin         time.Time
	count         int
	sources       map[netip.AddrPort]int
}

func newMeter(source, total int) *meter {
	return &meter{source: source, total: total, sources: make(map[netip.AddrPort]int)}
}

// allow reports whether one more datagram of the source is within the limits.
func (m *meter) allow(now time.Time, from netip.AddrPort) bool {
	if now.Sub(m.begin) >= time.Second {
		m.begin, m.count = now, 0
		clear(m.sources)
	}
	if m.count >= m.total || m.sources[from] >= m.source {
		return false
	}
	m.count++
	m.sources[from]++
	return true
}
