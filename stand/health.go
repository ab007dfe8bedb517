package stand

import (
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// reportLimit bounds the reports that are kept for delayed health and load endpoints.
	reportLimit = 4096
	// reportStep is the least time between two reports with the same state.
	reportStep = 5 * time.Millisecond
)

type report struct {
	at     time.Time
	health wire.Health
}

// reports is the history that delayed health and load endpoints read.
type reports struct {
	list []report
}

func (r *reports) add(now time.Time, h wire.Health) {
	if n := len(r.list); n > 0 && r.list[n-1].health.State == h.State && now.Sub(r.list[n-1].at) < reportStep {
		r.list[n-1].health = h
		return
	}
	r.list = append(r.list, report{at: now, health: h})
	if len(r.list) > reportLimit {
		r.list = r.list[reportLimit/2:]
	}
}

// before returns the last report made at t or earlier, or else the oldest one.
func (r *reports) before(t time.Time) (wire.Health, bool) {
	if len(r.list) == 0 {
		return wire.Health{}, false
	}
	seen := r.list[0].health
	for _, p := range r.list {
		if p.at.After(t) {
			break
		}
		seen = p.health
	}
	return seen, true
}

// note keeps the present state for delayed reports. The caller holds the lock.
func (s *Server) note(now time.Time) {
	s.reported.add(now, s.health())
}

// health is the true state. The caller holds the lock.
func (s *Server) health() wire.Health {
	h := wire.Health{State: s.state()}
	if s.life == nil {
		return h
	}
	h.Incarnation = s.life.incarnation
	h.Load = min(1, float64(s.life.active())/float64(s.config.Slots))
	return h
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.reportedHealth(time.Now()))
}

func (s *Server) reportedHealth(now time.Time) wire.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.health()
	if d := s.faults.ReportDelay.Std(); d > 0 {
		if old, ok := s.reported.before(now.Add(-d)); ok {
			h = old
		}
	}
	if s.faults.SaysWarm && h.State == wire.ServerCold {
		h.State = wire.ServerReady
	}
	if s.faults.Report != nil {
		h = *s.faults.Report
	}
	return h
}
