package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world holds the stand-ins of a case and what they saw. The environment variable RECORD names the file for the record,
// REPOSITORY the root of the repository.
type world struct {
	dir     string
	started time.Time
	store   *store
	fleet   *fleetOf
	record  *os.File

	mu    sync.Mutex
	runs  []*run
	seals map[string]sealed
	count int
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, started: time.Now(), record: f, seals: make(map[string]sealed)}
	if w.store, err = newStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	if w.fleet != nil {
		w.fleet.stopAll()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// since returns a time as seconds since the start of the case.
func (w *world) since(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.started).Seconds()) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) recordRun(x *exchange) *run {
	r := &run{
		at: time.Now(), id: x.id, server: x.server.id, service: x.server.service, method: x.request.Method,
		host: x.request.Host, uri: x.request.RequestURI, sum: sumOf(x.body), left: x.left,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	return r
}

func (w *world) seal(x *exchange, status int, body []byte) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	s := fmt.Sprintf("%x.%s.%d.%s", w.count, sumOf([]byte(x.id+x.server.id)), status, sumOf(body))
	w.seals[s] = sealed{x.id, x.server.id, x.server.service, status, body}
	return s
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []run
	for _, r := range w.runs {
		if r.id == id {
			list = append(list, *r)
		}
	}
	return list
}

// checkMerged returns what is wrong with a success on a route with shards, or "".
func (w *world) checkMerged(a *attempt, o outcome, set []string, topK int, minCoverage float64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var parts []string
	for _, v := range o.header.Values("X-Part-Seals") {
		for p := range strings.SplitSeq(v, ",") {
			parts = append(parts, strings.TrimSpace(p))
		}
	}
	missing, _ := strconv.Atoi(o.header.Get("X-Missing-Parts"))
	seen := make(map[string]bool)
	var all [][]byte
	for _, p := range parts {
		s, ok := w.seals[p]
		switch {
		case !ok:
			return "a seal that no server gave: " + strconv.Quote(p)
		case s.id != a.id:
			return "a seal for another request"
		case s.status < 200 || s.status > 299:
			return fmt.Sprintf("the seal of the failure %d of %s is named as a part", s.status, s.server)
		case seen[s.service] || !slices.Contains(set, s.service):
			return "two parts of one service, or a part of a service that is not in the set"
		}
		seen[s.service] = true
		for b := s.body; len(b) >= 16; b = b[16:] {
			all = append(all, b[:16])
		}
	}
	if len(parts)+missing != len(set) || float64(len(parts)) < minCoverage*float64(len(set))-1e-9 {
		return fmt.Sprintf("%d parts and %d missing of %d", len(parts), missing, len(set))
	}
	sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
	want := bytes.Join(all[:min(topK, len(all))], nil)
	if !bytes.Equal(want, o.body) {
		return "the body is not the greatest records of the parts"
	}
	return ""
}

// checkSingle returns what is wrong with an answer on a route to one server, or "".
func (w *world) checkSingle(a *attempt, o outcome) string {
	v := o.header.Get("X-Server-Seal")
	if v == "" {
		if o.status >= 200 && o.status < 300 {
			return "a success without a seal"
		}
		return ""
	}
	w.mu.Lock()
	s, ok := w.seals[v]
	w.mu.Unlock()
	switch {
	case !ok:
		return "a seal that no server gave"
	case s.id != a.id:
		return "the answer belongs to another request"
	case s.status != o.status:
		return fmt.Sprintf("status %d where the server gave %d", o.status, s.status)
	case !bytes.Equal(s.body, o.body):
		return "the body is not the server's"
	}
	return ""
}

// promises reports whether the status says that a request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
