package stand

import (
	"sync"
	"time"
)

// secondsKept bounds the seconds of which the reads are kept one by one.
const secondsKept = 600

// Reads counts the reads of a Platform. A waiting watch counts as one read.
type Reads struct {
	Total uint64 `json:"Total"`
	// Limited is the part of Total that was answered with 429.
	Limited uint64 `json:"Limited"`
	// LastSecond is the number of reads in the last full second.
	LastSecond int `json:"LastSecond"`
	// MostInSecond is the largest number of reads in one second.
	MostInSecond int `json:"MostInSecond"`
	// Seconds are the seconds with reads, oldest first, at most the last 600.
	Seconds []SecondReads `json:"Seconds"`
}

// SecondReads is the number of reads in one second, given as Unix time.
type SecondReads struct {
	Second int64 `json:"Second"`
	Reads  int   `json:"Reads"`
}

type readCounter struct {
	limit int

	mu      sync.Mutex
	total   uint64
	limited uint64
	most    int
	seconds []SecondReads
}

func newReadCounter(limit int) *readCounter {
	return &readCounter{limit: limit}
}

// take counts a read and reports whether it is within the limit of its second.
func (c *readCounter) take(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	s := now.Unix()
	if n := len(c.seconds); n == 0 || c.seconds[n-1].Second < s {
		c.seconds = append(c.seconds, SecondReads{Second: s})
	}
	if len(c.seconds) > secondsKept {
		c.seconds = c.seconds[1:]
	}
	last := &c.seconds[len(c.seconds)-1]
	last.Reads++
	c.most = max(c.most, last.Reads)
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
		Total: c.total, Limited: c.limited, MostInSecond: c.most,
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
