package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// holder returns the process that may use the slice now, or nil.
func (s *sim) holder(key sliceKey) *proc {
	for _, p := range s.procs {
		if _, ok := p.node.Lease(p.local(s.now), key.service, key.slice); ok && !p.dead {
			return p
		}
	}
	return nil
}

// timeWithoutHolder runs the simulation for d and returns for how much of it the slice had no holder.
func (s *sim) timeWithoutHolder(key sliceKey, d time.Duration) (gap time.Duration) {
	const step = 10 * time.Millisecond
	for end := s.now + d; s.now < end; {
		s.run(s.now + step)
		if s.holder(key) == nil {
			gap += step
		}
	}
	return gap
}

// Guards against long gaps without a holder: at most 3 s after a crash, and 500 ms after a planned move
// or when a domain is taken out. The domain must hold no lease after 2 s.
func TestTimeWithoutHolder(t *testing.T) {
	is := is.New(t)
	key := sliceKey{"s0", 0}
	worst := make(map[faultKind]time.Duration)
	for seed := range uint64(60) {
		for _, kind := range []faultKind{faultReplace, faultLeave, faultDomain} {
			s := newSim(seed, defaultRules())
			s.run(simWarmUp + time.Duration(seed%20)*37*time.Millisecond)
			p := s.holder(key)
			start := s.now
			s.inject(fault{Kind: kind, For: time.Hour, Node: int(p.address.Addr().As4()[3])})
			gap := s.timeWithoutHolder(key, 2*time.Second)
			if kind != faultReplace {
				is.True(s.holder(key) != nil)
				is.True(simDomain(s.holder(key).address) != simDomain(p.address) || kind == faultLeave)
				is.True(s.now-start <= 2*time.Second)
			}
			worst[kind] = max(worst[kind], gap+s.timeWithoutHolder(key, 20*time.Second))
			is.True(s.violation == nil)
		}
	}
	t.Logf("longest time without a holder: %v", worst)
	is.True(worst[faultReplace] <= 3*time.Second)
	is.True(worst[faultLeave] <= 500*time.Millisecond)
	is.True(worst[faultDomain] <= 500*time.Millisecond)
}

// Guards against slow dissemination: a document must reach all 9 nodes within 2 s while a tenth of all
// messages is lost.
func TestDocumentReachesAll(t *testing.T) {
	is := is.New(t)
	var worst time.Duration
	for seed := range uint64(20) {
		s := newSim(seed, defaultRules())
		s.run(simWarmUp)
		s.lossRate = 0.1
		start := s.now
		s.changeDocument(fault{Node: int(seed) % simNodes}, nil, false)
		for behind := simNodes; behind > 0 && s.now-start < 10*time.Second; {
			s.run(s.now + 10*time.Millisecond)
			behind = 0
			for _, p := range s.procs {
				if p.version < s.latest {
					behind++
				}
			}
		}
		worst = max(worst, s.now-start)
	}
	t.Logf("slowest dissemination: %s", worst)
	is.True(worst <= 2*time.Second)
}

// Guards against a slice blocked by its preferred holder: it can send to one of the other two voters but
// receives from neither, and so must not keep another node from obtaining the lease.
func TestClaimantWithBrokenLinks(t *testing.T) {
	is := is.New(t)
	key := sliceKey{"s0", 0}
	for seed := range uint64(20) {
		s := newSim(seed, defaultRules())
		s.run(simWarmUp)
		p := s.holder(key)
		voters := p.node.Voters(key.service, key.slice)
		for _, m := range voters[1:] {
			s.block(time.Hour, [2]netip.AddrPort{m.Address, p.address})
		}
		s.block(time.Hour, [2]netip.AddrPort{p.address, voters[2].Address})
		s.run(s.now + 20*time.Second)
		is.True(s.timeWithoutHolder(key, 60*time.Second) <= 6*time.Second) // nine tenths of the time
		is.True(s.violation == nil)
	}
}
