package fake

import (
	"sync"
	"time"
)

// maxSeconds is the number of seconds for which per-second read counts are retained.
const maxSeconds = 600

// Reads holds the read counters of a Platform. A watch counts as one read.
type Reads struct {
	Total uint64 `json:"Total"`
	// Limited is the number of reads in Total that were rejected with status 429.
	Limited uint64 `json:"Limited"`
	// LastSecond is the number of reads in the last full second.
	LastSecond int `json:"LastSecond"`
	// MaxPerSecond is the maximum number of reads in one second.
	MaxPerSecond int `json:"MostInSecond"`
	// Seconds holds the counts of the last 600 seconds with reads, oldest first.
	Seconds []SecondReads `json:"Seconds"`
}

// SecondReads is the number of reads in one second. Second is in Unix time.
type SecondReads struct {
	Second int64 `json:"Second"`
	Reads  int   `json:"Reads"`
}

type readCounter struct {
	limit int

	mu           sync.Mutex
	total        uint64
	limited      uint64
	mostInSecond int
	seconds      []SecondReads
}

func newReadCounter(limit int) *readCounter {
	return &readCounter{limit: limit}
}

// allow counts a read and reports whether it is within the limit for the current second.
func (c *readCounter) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	s := now.Unix()
	if n := len(c.seconds); n == 0 || c.seconds[n-1].Second < s {
		c.seconds = append(c.seconds, SecondReads{Second: s})
	}
	if len(c.seconds) > maxSeconds {
		c.seconds = c.seconds[1:]
	}
	last := &c.seconds[len(c.seconds)-1]
	last.Reads++
	c.mostInSecond = max(c.mostInSecond, last.Reads)
	if last.Reads > c.limit {
		c.limited++
		return false
	}
	return true
}

func (c *readCounter) snapshot() Reads {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Reads{
		Total: c.total, Limited: c.limited, MaxPerSecond: c.mostInSecond,
		Seconds: append([]SecondReads{}, c.seconds...),
	}
	full := time.Now().Unix() - 1
	for _, s := range r.Seconds {
		if s.Second == full {
			r.LastSecond = s.Reads
		}
	}
	return r
}
