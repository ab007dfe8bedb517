package guard

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// After the first refusal of a request that has crashed servers, a single attempt shows whether it does so again: a trial.
// Without trials, all that wait for the end of the refusal would crash further servers before the next crash is known.
const (
	// trialStagger is the time between the first trials of two nodes. A crash is known at all nodes within that time.
	trialStagger = time.Second
	// maxTrialRank is the rank of the last nodes, which may begin their trials at the same time.
	maxTrialRank = 4
	// crashDetectionTime is the time after a broken connection within which it is known whether the server has crashed.
	crashDetectionTime = time.Second
)

// Admit reports how long a request is refused because it has crashed servers, 0 if it may run. If trial is set, the request may
// run on one server only, and EndTrial must be called when it has ended; no other request with the fingerprint is admitted
// meanwhile, until the deadline at the latest. The rank, which is asked for only if the request has crashed servers, is that of
// TrialRank.
func (d *PoisonDetector) Admit(now time.Time, f Fingerprint, rank func() int, deadline time.Time) (trial bool, wait time.Duration) {
	if wait := d.RefusedFor(now, f); wait > 0 {
		return false, wait
	}
	list := countedCrashes(d.crashes[f])
	if len(list) < refusalThreshold {
		return false, 0
	}
	begin := list[len(list)-1].At.Add(initialRefusalPeriod + time.Duration(min(rank(), maxTrialRank))*trialStagger)
	if now.Before(begin) {
		return false, begin.Sub(now)
	}
	if until := d.trials[f]; now.Before(until) {
		// The trial may end at any time.
		return false, min(until.Sub(now), trialStagger)
	}
	d.trials[f] = deadline
	return true, 0
}

// EndTrial ends a trial. With unclear set, the server may have crashed, and the next trial waits until that is known.
func (d *PoisonDetector) EndTrial(now time.Time, f Fingerprint, unclear bool) {
	if unclear {
		d.trials[f] = now.Add(crashDetectionTime)
		return
	}
	delete(d.trials, f)
}

// TrialRank returns the place of a node in the order in which nodes begin their trials of a request. The order differs between
// requests.
func TrialRank(f Fingerprint, node netip.AddrPort, others []netip.AddrPort) int {
	own, rank := trialHash(f, node), 0
	for _, a := range others {
		if a != node && trialHash(f, a) < own {
			rank++
		}
	}
	return rank
}

func trialHash(f Fingerprint, node netip.AddrPort) uint64 {
	a := node.Addr().As16()
	b := binary.BigEndian.AppendUint64(a[:], uint64(f))
	return xxhash.Sum64(binary.BigEndian.AppendUint16(b, node.Port()))
}
