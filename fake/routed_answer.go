package fake

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// routedRequestFaults holds the faults drawn for one request.
type routedRequestFaults struct {
	RoutedFaults
	hang, truncate, lose, extra, lateRejection, unframed, encoded, fail bool
}

func (s *RoutedServer) drawFaults() routedRequestFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	occurs := func(share float64) bool { return s.rand.Float64() < share }
	return routedRequestFaults{
		RoutedFaults: f, hang: occurs(f.Hang), truncate: occurs(f.TruncateBody), lose: occurs(f.ResetAfterRun),
		extra: occurs(f.ExtraResponse), lateRejection: occurs(f.LateRejection),
		unframed: occurs(f.Unframed), encoded: occurs(f.Encoded), fail: occurs(f.InternalError),
	}
}

// answer processes one request, sends the response and reports whether the connection remains open.
func (s *RoutedServer) answer(c net.Conn, in *bufio.Reader, r *http.Request, body []byte) bool {
	names := &s.config.Headers
	h := http.Header{}
	h.Set(names.RequestID, r.Header.Get(names.RequestID))
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	h.Set(names.Instance, id)
	if target := r.Header.Get(names.Target); target != "" && target != id {
		return s.write(c, r, http.StatusMisdirectedRequest, h, nil)
	}
	rejected := s.announce(h)
	deadline := s.deadline(r)
	slot := slotRejected
	if !rejected {
		slot = s.waitForSlot(c, in, deadline)
	}
	switch slot {
	case slotAcquired:
	case slotCanceled:
		return false
	case slotRejected:
		return s.reject(c, r, h)
	}
	defer func() { <-s.slots }()
	run := s.recordRun(r, body)
	d := s.drawFaults()
	if d.CrashURI != "" && r.RequestURI == d.CrashURI {
		s.crash()
		return false
	}
	if open := s.simulateWork(c, in, run, d, deadline); !open || d.lose || d.hang {
		s.setBrokenOff(run, open && d.lose)
		reset(c)
		return false
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		h.Set(names.Seal, RoutedSeal(id, run.RequestID))
		return s.write(c, r, http.StatusGatewayTimeout, h, nil)
	}
	if d.Cold > 0 {
		h.Set(names.ColdRemaining, strconv.FormatInt(d.Cold.Milliseconds(), 10))
	}
	if d.fail {
		h.Set(names.Seal, RoutedSeal(id, run.RequestID))
		return s.write(c, r, cmp.Or(d.FailureStatus, http.StatusInternalServerError), h, nil)
	}
	s.setBrokenOff(run, d.truncate)
	return s.writeSuccess(c, r, h, d)
}

// announce records the arrival of a request, adds to the headers of its response what the server announces, and reports
// whether the request must be rejected.
func (s *RoutedServer) announce(h http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived = append(s.arrived, time.Now())
	if s.faults.Leaving {
		h.Set(s.config.Headers.Leaving, wire.LeavingValue)
	}
	return s.faults.Reject > 0 && s.rand.Float64() < s.faults.Reject
}

// reject sends a rejection and reports whether the connection remains open.
func (s *RoutedServer) reject(c net.Conn, r *http.Request, h http.Header) bool {
	h.Set(s.config.Headers.NotRun, "1")
	s.mu.Lock()
	wait := s.faults.RetryAfter
	s.mu.Unlock()
	if wait > 0 {
		h.Set(s.config.Headers.RetryAfter, strconv.FormatFloat(wait.Round(time.Millisecond).Seconds(), 'f', -1, 64))
	}
	return s.write(c, r, http.StatusServiceUnavailable, h, nil) && s.repeatLate(c, r, h)
}

// repeatLate draws whether a second copy of a rejection is sent before the next response on the connection.
func (s *RoutedServer) repeatLate(c net.Conn, r *http.Request, h http.Header) bool {
	if !s.drawFaults().lateRejection {
		return true
	}
	b, err := encodeResponse(r, http.StatusServiceUnavailable, h, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late[c] = b
	return err == nil
}

// writeLate sends the second copy that is due on the connection, if any.
func (s *RoutedServer) writeLate(c net.Conn) bool {
	s.mu.Lock()
	b := s.late[c]
	delete(s.late, c)
	s.mu.Unlock()
	_, err := c.Write(b)
	return err == nil
}

func (s *RoutedServer) recordRun(r *http.Request, body []byte) *RoutedRun {
	names := &s.config.Headers
	left, _ := strconv.Atoi(r.Header.Get(names.Timeout))
	run := &RoutedRun{
		At: time.Now(), RequestID: r.Header.Get(names.RequestID), Method: r.Method, URI: r.RequestURI,
		Body: string(body), Timeout: time.Duration(left) * time.Millisecond,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return run
}

// simulateWork waits for the processing time of a request, until the deadline at most. It returns false if the sender has
// closed the connection. It returns true early when further data arrives on the connection.
func (s *RoutedServer) simulateWork(
	c net.Conn, in *bufio.Reader, run *RoutedRun, d routedRequestFaults, deadline time.Time,
) bool {
	work := s.workTime(run, d)
	s.mu.Lock()
	run.Work = work
	s.mu.Unlock()
	if !deadline.IsZero() {
		work = min(work, max(0, time.Until(deadline)))
	}
	open := isOpenAfter(c, in, work)
	s.mu.Lock()
	run.Ended = time.Now()
	s.mu.Unlock()
	if open && d.hang {
		open = isOpenAfter(c, in, time.Minute)
	}
	if !open {
		s.mu.Lock()
		run.Canceled = true
		s.mu.Unlock()
	}
	return open
}

func (s *RoutedServer) workTime(run *RoutedRun, d routedRequestFaults) time.Duration {
	p := s.config.LongPrefix
	switch {
	case s.config.Work != nil:
		return s.config.Work()
	case p != "" && strings.HasPrefix(run.URI, p):
		return s.config.LongDelay
	}
	return s.config.Delay + d.Slow
}

func (s *RoutedServer) setBrokenOff(run *RoutedRun, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.BrokenOff = broken
}

// RoutedBody returns the response body of the server with the ID for the URI: the given number of 16-byte records.
func RoutedBody(id, uri string, records int) []byte {
	seed := rand.NewPCG(uint64(len(uri)), uint64(len(id)))
	for _, b := range []byte(id + uri) {
		seed = rand.NewPCG(seed.Uint64()+uint64(b), seed.Uint64())
	}
	body := make([]byte, 0, 16*records)
	for range records {
		body = binary.BigEndian.AppendUint64(body, seed.Uint64())
		body = binary.BigEndian.AppendUint64(body, seed.Uint64())
	}
	return body
}

// RoutedSeal returns the seal of the response of the server with the ID to a request.
func RoutedSeal(id, requestID string) string { return "seal-" + id + "-" + requestID }

func (s *RoutedServer) writeSuccess(c net.Conn, r *http.Request, h http.Header, d routedRequestFaults) bool {
	names := &s.config.Headers
	id := h.Get(names.Instance)
	body := RoutedBody(s.config.ID, r.RequestURI, s.config.Records)
	h.Set(names.Seal, RoutedSeal(id, r.Header.Get(names.RequestID)))
	if d.encoded {
		h.Set("Content-Encoding", "gzip")
	}
	switch {
	case d.truncate:
		return s.writeTruncated(c, r, h, body)
	case d.unframed:
		return s.writeUnframed(c, h, body)
	}
	open := s.write(c, r, http.StatusOK, h, body)
	if d.extra && open {
		other := h.Clone()
		other.Set(names.RequestID, "another")
		return s.write(c, r, http.StatusOK, other, slices.Repeat([]byte{0xff}, len(body)))
	}
	return open
}

func (s *RoutedServer) write(c net.Conn, r *http.Request, status int, h http.Header, body []byte) bool {
	b, err := encodeResponse(r, status, h, body)
	if err == nil {
		_, err = c.Write(b)
	}
	return err == nil
}

func encodeResponse(r *http.Request, status int, h http.Header, body []byte) ([]byte, error) {
	resp := &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: r,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	var b bytes.Buffer
	err := resp.Write(&b)
	return b.Bytes(), err
}

// writeTruncated sends a response that ends in the middle of its body.
func (s *RoutedServer) writeTruncated(c net.Conn, r *http.Request, h http.Header, body []byte) bool {
	if b, err := encodeResponse(r, http.StatusOK, h, body); err == nil {
		_, _ = c.Write(b[:len(b)-len(body)/2])
	}
	return false
}

// writeUnframed sends a response without a length, which ends when the connection is closed.
func (s *RoutedServer) writeUnframed(c net.Conn, h http.Header, body []byte) bool {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	if h.Write(&b) == nil {
		b.WriteString("\r\n")
		b.Write(body)
		_, _ = c.Write(b.Bytes())
	}
	return false
}
