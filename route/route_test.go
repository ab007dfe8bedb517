package route

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var at = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more extra requests than the allowed share of first requests, over any sequence of
// events.
func TestBudgetBoundsExtraRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		b := NewBudget(share, 10)
		first, extra := 0, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(-20, 140), 1, 200).Draw(t, "events") {
			if n > 0 {
				b.Deposit(n)
				first += n
				continue
			}
			for range -n {
				if b.Withdraw() {
					extra++
				}
			}
		}
		if float64(extra) > share*float64(first)+1e-6 {
			t.Fatalf("%d extra requests for %d first ones at a share of %v", extra, first, share)
		}
	})
}

// Guards against a detector that ejects all servers of a service, and against one that never returns a
// server to use.
func TestOutlierBoundsEjections(t *testing.T) {
	is := is.New(t)
	var servers []netip.AddrPort
	for i := range 4 {
		servers = append(servers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1))
	}
	o := NewOutlierDetector(DefaultOutlierConfig())
	o.SetServers(servers)
	for range 10 {
		for _, s := range servers {
			o.Failure(at, s)
		}
	}
	ejected := 0
	for _, s := range servers {
		if o.Ejected(at, s) {
			ejected++
		}
	}
	is.Equal(ejected, 2) // half of the servers stay in use
	later := at.Add(DefaultOutlierConfig().BaseEjection)
	is.True(!o.Ejected(later, servers[0]))
	is.True(o.Failure(later, servers[0])) // the first failure after its return ejects again
	is.True(o.Ejected(later.Add(DefaultOutlierConfig().BaseEjection), servers[0]))
}

// Guards against selecting a loaded or slow replica over an idle fast one, and against ties that always
// select the same replica.
func TestLeastScore(t *testing.T) {
	is := is.New(t)
	p := NewLeastScore(1)
	fast := Candidate{Latency: 8 * time.Millisecond, ConcurrencyLimit: 6}
	slow := Candidate{Latency: 30 * time.Millisecond, ConcurrencyLimit: 6}
	busy := Candidate{Latency: 8 * time.Millisecond, ConcurrencyLimit: 6, Outstanding: 5}
	is.Equal(p.Decide(at, []Candidate{slow, fast, busy}), 1)
	is.Equal(p.Decide(at, nil), NoChoice)
	seen := make(map[int]bool)
	for range 50 {
		seen[p.Decide(at, []Candidate{fast, fast})] = true
	}
	is.Equal(len(seen), 2)
}

// Guards against quantiles that keep old values after the latency has changed.
func TestDistributionFollowsAChange(t *testing.T) {
	is := is.New(t)
	d := NewDistribution()
	_, ok := d.Quantile(0.5)
	is.True(!ok) // too few samples
	for _, v := range []time.Duration{10 * time.Millisecond, 40 * time.Millisecond} {
		for range windowSamples {
			d.Add(v)
		}
		q, ok := d.Quantile(0.98)
		is.True(ok)
		is.True(q > v*98/100 && q < v*102/100) // within the histogram's error
	}
}
