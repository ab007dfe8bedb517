package gather

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ServerStatus is the state of a backend server as reported to operators.
type ServerStatus struct {
	ID            string         `json:"Id"`
	Service       string         `json:"Service"`
	Address       netip.AddrPort `json:"Address"`
	FailureDomain string         `json:"FailureDomain"`
	Draining      bool           `json:"Draining,omitempty"`
	Cold          bool           `json:"Cold,omitempty"`
	Ejected       bool           `json:"Ejected,omitempty"`
	// EndedAt is the time at which the address last refused a connection of this node, zero if a server has answered since.
	EndedAt time.Time `json:"EndedAt,omitzero"`
	// LeavingSince is the time at which an answer to this node announced that the server leaves, zero if none has.
	LeavingSince time.Time `json:"LeavingSince,omitzero"`
	// PushbackUntil is the end of the time for which the server has asked this node for no requests when it rejected one,
	// zero if it has not.
	PushbackUntil time.Time `json:"PushbackUntil,omitzero"`
	// Slowness is the moving average of the ratio of the latency to the typical latency of the request class.
	Slowness float64 `json:"Slowness"`
	// Open is the number of requests in flight from this node.
	Open int `json:"Open"`
	// Answered is the time of the last answer to this node, zero if there was none.
	Answered time.Time `json:"Answered,omitzero"`
}

// Status returns the state of all listed servers, ordered by service and ID.
func (e *Engine) Status(now time.Time) []ServerStatus {
	list := make([]ServerStatus, 0, len(e.servers))
	for _, s := range e.servers {
		status := ServerStatus{
			ID: s.ID, Service: s.pool.name, Address: s.Address, FailureDomain: s.FailureDomain, Draining: s.Draining,
			EndedAt: s.restart.endedAt, LeavingSince: s.leavingSince, Cold: s.cold(now), Ejected: s.ejected(now),
			Slowness: s.slownessNow(now), Open: len(s.open), Answered: s.answeredAt,
		}
		if s.hasPushback(now) {
			status.PushbackUntil = s.pushbackUntil
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}
