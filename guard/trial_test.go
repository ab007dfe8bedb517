package guard

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that crash further servers together when their refusal ends, before the next crash is known.
func TestOneTrialAtATime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := NewPoisonDetector()
	admit := func(rank int) (bool, time.Duration) {
		return d.Admit(now, 7, func() int { return rank }, now.Add(6*time.Second))
	}
	for i := range byte(4) {
		trial, wait := admit(0)
		is.True(!trial && wait == 0)
		d.ConnectionBroken(now, 7, testServer(i), now.Add(-time.Minute))
	}
	for i := range byte(4) {
		d.ConnectionRefused(now, testServer(i))
	}
	_, wait := admit(0)
	is.Equal(wait, initialRefusalPeriod)
	now = now.Add(initialRefusalPeriod)
	for rank := 1; rank <= maxTrialRank; rank++ {
		_, wait = admit(rank)
		is.Equal(wait, time.Duration(rank)*trialStagger)
	}
	trial, wait := admit(0)
	is.True(trial && wait == 0)
	for range 10 {
		trial, wait = admit(0)
		is.True(!trial)
		is.Equal(wait, trialStagger) // the trial may end before its deadline
	}
	d.EndTrial(now, 7, true)
	_, wait = admit(0)
	is.Equal(wait, crashDetectionTime)
	d.ConnectionBroken(now, 7, testServer(1), now.Add(-time.Millisecond))
	d.ConnectionRefused(now, testServer(1))
	_, wait = admit(0)
	is.Equal(wait, refusalPeriod)
}

// Guards against a harmless request that is refused after its trial has succeeded or has ended without an answer.
func TestTrialOfAHarmlessRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := NewPoisonDetector()
	for i := range byte(2) {
		d.ConnectionBroken(now, 7, testServer(i), now)
		d.ConnectionRefused(now, testServer(i))
	}
	now = now.Add(initialRefusalPeriod)
	admit := func() (bool, time.Duration) { return d.Admit(now, 7, func() int { return 0 }, now.Add(time.Second)) }
	for range 3 {
		trial, wait := admit()
		is.True(trial && wait == 0)
		d.EndTrial(now, 7, false) // refused by the server, for example
	}
	trial, _ := admit()
	is.True(trial)
	now = now.Add(time.Second)
	trial, _ = admit() // the one before has not ended by its deadline
	is.True(trial)
	d.Succeeded(now, 7)
	for range 3 {
		trial, wait := admit()
		is.True(!trial && wait == 0)
	}
	is.Equal(len(d.trials), 0)
}

// Guards against nodes that begin their trials at the same time, and against one node that always begins.
func TestTrialRanks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var nodes []netip.AddrPort
	for i := range byte(9) {
		nodes = append(nodes, testServer(i))
	}
	first := make(map[netip.AddrPort]int)
	for f := range Fingerprint(900) {
		seen := make(map[int]bool)
		for _, a := range nodes {
			rank := TrialRank(f, a, nodes)
			if rank == 0 {
				first[a]++
			}
			seen[rank] = true
		}
		is.Equal(len(seen), len(nodes))
	}
	for _, a := range nodes {
		is.True(first[a] > 50) // about 100 each
	}
	is.Equal(TrialRank(7, nodes[0], nil), 0)
}
