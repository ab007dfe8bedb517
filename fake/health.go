package fake

import (
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// maxHealthReports is the number of reports retained for delayed health and load endpoints.
	maxHealthReports = 4096
	// minReportInterval is the minimum interval between two reports with the same state; a report within
	// it replaces the previous one.
	minReportInterval = 5 * time.Millisecond
)

type healthReport struct {
	at     time.Time
	health wire.Health
}

// healthHistory holds the past reports for delayed health and load endpoints, oldest first.
type healthHistory struct {
	list []healthReport
}

func (r *healthHistory) add(now time.Time, h wire.Health) {
	if n := len(r.list); n > 0 && r.list[n-1].health.State == h.State && now.Sub(r.list[n-1].at) < minReportInterval {
		r.list[n-1].health = h
		return
	}
	r.list = append(r.list, healthReport{at: now, health: h})
	if len(r.list) > maxHealthReports {
		r.list = r.list[maxHealthReports/2:]
	}
}

// latestAt returns the latest report made at t or earlier, or the oldest one if there is none. It
// returns false when the history is empty.
func (r *healthHistory) latestAt(t time.Time) (wire.Health, bool) {
	if len(r.list) == 0 {
		return wire.Health{}, false
	}
	latest := r.list[0].health
	for _, report := range r.list {
		if report.at.After(t) {
			break
		}
		latest = report.health
	}
	return latest, true
}

// recordHealth adds the current state to the history for delayed reports. s.mu must be held.
func (s *Server) recordHealth(now time.Time) {
	s.healthHistory.add(now, s.health())
}

// health returns the actual state, before report faults are applied. s.mu must be held.
func (s *Server) health() wire.Health {
	h := wire.Health{State: s.state()}
	if s.incarnation == nil {
		return h
	}
	h.Incarnation = s.incarnation.name
	h.Load = min(1, float64(s.incarnation.active())/float64(s.config.Slots))
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
		if past, ok := s.healthHistory.latestAt(now.Add(-d)); ok {
			h = past
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
