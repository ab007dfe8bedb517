package fake

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// limitReads wraps a read handler. It counts the read and applies the rate limit and the Slow and Down faults.
func (p *Platform) limitReads(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.reads.allow(time.Now()) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
			return
		}
		f := p.Faults()
		if !clock.Sleep(r.Context(), f.Slow.Std()) {
			return
		}
		if f.Down {
			http.Error(w, "configuration service is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) getConfig(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		visible, f, changed := p.visibleDocument()
		if f.Down {
			http.Error(w, "configuration service is down", http.StatusServiceUnavailable)
			return
		}
		if visible.version > after {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(visible.raw)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-p.closed:
			http.Error(w, "configuration service is stopping", http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchParameters parses the query parameters after (0 if absent) and wait (0 if absent, at most MaxWait).
func watchParameters(r *http.Request) (after uint64, wait time.Duration, err error) {
	q := r.URL.Query()
	if s := q.Get("after"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, errors.Newf("fake: after=%q is not a version", s)
		}
	}
	if s := q.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil || wait < 0 {
			return 0, 0, errors.Newf("fake: wait=%q is not a duration", s)
		}
	}
	return after, min(wait, MaxWait), nil
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	domain := r.URL.Query().Get("domain")
	list := wire.VMList{VMs: []wire.VM{}}
	for _, v := range p.visibleVMs(time.Now()) {
		if domain == "" || v.FailureDomain == domain {
			list.VMs = append(list.VMs, v)
		}
	}
	writeJSON(w, list)
}

// visibleVMs returns the newest VM list that is at least VMDelay old, or else the oldest retained one.
func (p *Platform) visibleVMs(now time.Time) []wire.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := now.Add(-p.faults.VMDelay.Std())
	visible := p.lists[0].vms
	for _, l := range p.lists {
		if !l.at.After(latest) {
			visible = l.vms
		}
	}
	return visible
}

func (p *Platform) getReads(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Reads())
}

func (p *Platform) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if k := p.config.OperatorKey; k != "" && r.Header.Get("Authorization") != "Bearer "+k {
			http.Error(w, "only operators may write", http.StatusForbidden)
			return
		}
		next(w, r)
	}
}

func (p *Platform) putConfig(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxDocument))
	if err != nil {
		http.Error(w, "document is too large or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	if err := p.PublishRaw(raw); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var list wire.VMList
	if !readJSON(w, r, &list) {
		return
	}
	p.SetVMs(list.VMs)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
