package fake

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// slotResult is the result of waiting for a slot.
type slotResult int

const (
	slotAcquired slotResult = iota
	// slotRejected means that the queue is full or the deadline has passed.
	slotRejected
	// slotCanceled means that the sender has closed the connection.
	slotCanceled
)

// slotPollInterval is the interval at which a queued request checks its connection and its deadline.
const slotPollInterval = 10 * time.Millisecond

// deadline returns the time at which the server ends a request, zero if it never does.
func (s *RoutedServer) deadline(r *http.Request) time.Time {
	ms, err := strconv.Atoi(r.Header.Get(s.config.Headers.Timeout))
	if !s.config.EnforceTimeout || err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// waitForSlot acquires a slot, waiting in the queue if necessary.
func (s *RoutedServer) waitForSlot(c net.Conn, in *bufio.Reader, deadline time.Time) slotResult {
	select {
	case s.slots <- struct{}{}:
		return slotAcquired
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.config.Queue {
		s.shed++
		s.mu.Unlock()
		return slotRejected
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	if !s.config.EnforceTimeout {
		s.slots <- struct{}{}
		return slotAcquired
	}
	for {
		select {
		case s.slots <- struct{}{}:
			return slotAcquired
		case <-time.After(slotPollInterval):
		}
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return slotRejected
		}
		if !isOpenAfter(c, in, time.Microsecond) {
			return slotCanceled
		}
	}
}

// isOpenAfter waits, and reports whether the sender has kept the connection open. It returns early when further data
// arrives on the connection.
func isOpenAfter(c net.Conn, in *bufio.Reader, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var n net.Error
	return err == nil || errors.As(err, &n) && n.Timeout()
}
