package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// isolationHeartbeat is the heartbeat interval on the users' platform.
	isolationHeartbeat = 300 * time.Millisecond
	// nameBound is the time after a kill from which the users' rules allow no answer that names the killed node.
	nameBound = 7 * time.Second
	// simReadInterval is the time between two reads of the platform by a reader.
	simReadInterval = time.Second
	// controlLimit bounds the bytes that a node sends per second, including tags and headers.
	controlLimit = 5000
)

func isolationRules() rules {
	r := defaultRules()
	r.heartbeat, r.refuteTimeout = isolationHeartbeat, isolationHeartbeat
	return r
}

// scheduleReads lets the readers of the platform read it, except for nodes that are cut off from it.
func (s *sim) scheduleReads(cutOff map[netip.AddrPort]bool) {
	for _, p := range s.procs {
		if !p.dead && !p.paused {
			read := !cutOff[p.address] && p.node.ReaderRank() == 0
			s.process(p, p.node.SetFeed(p.local(s.now), 1, read))
		}
	}
	s.at(s.now+simReadInterval, func() { s.scheduleReads(cutOff) })
}

// named returns the number of running and of dead nodes that the directory of the process may name.
func (s *sim) named(p *proc) (running, dead int) {
	for _, m := range p.node.Members() {
		switch {
		case m.State != StateAlive || m.Silent:
		case s.byAddr[m.Address].dead:
			dead++
		default:
			running++
		}
	}
	return running, dead
}

// isolate blocks the links between a node and all others for the duration d.
func (s *sim) isolate(p *proc, d time.Duration) {
	var pairs [][2]netip.AddrPort
	for _, a := range s.addresses() {
		if a != p.address {
			pairs = append(pairs, [2]netip.AddrPort{a, p.address}, [2]netip.AddrPort{p.address, a})
		}
	}
	s.block(d, pairs...)
}

// seedsFor returns the number of runs for a fleet size. Large fleets take long to simulate.
func seedsFor(size int) uint64 {
	if size > 100 {
		return 1
	}
	return 6
}

// Guards against directories of the last nodes that name dead ones: with few observers left, no node is declared Down.
func TestLastNodesNameOnlyEachOther(t *testing.T) {
	for _, size := range []int{9, 30, 300} {
		for left := 1; left <= 4; left++ {
			t.Run(fmt.Sprint(size, "-", left), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var worst, found time.Duration
				traffic := 0
				for seed := range seedsFor(size) {
					s := newSimOf(size, seed, isolationRules())
					s.scheduleReads(nil)
					s.run(simWarmUp)
					survivors := make(map[int]bool)
					for len(survivors) < left {
						survivors[s.rng.IntN(size)] = true
					}
					for i, p := range s.procs {
						if !survivors[i] {
							s.kill(p)
						}
					}
					killed, bytes, messages := s.now, s.bytes, s.messages
					for s.now < killed+40*time.Second {
						s.run(s.now + TickInterval)
						for i := range survivors {
							running, dead := s.named(s.procs[i])
							if dead > 0 {
								worst = max(worst, s.now-killed)
							}
							if running < left {
								found = max(found, s.now-killed)
							}
						}
					}
					sent := s.bytes - bytes + (s.messages-messages)*(tagBytes+headerBytes)
					traffic = max(traffic, sent/left/int((s.now-killed)/time.Second))
				}
				t.Logf("dead nodes named until %s, running ones missing until %s, %d B/s", worst, found, traffic)
				is.True(worst < nameBound)
				is.True(found < 40*time.Second)
				is.True(traffic <= controlLimit)
			})
		}
	}
}

// Guards against a node that forgets living nodes while it is cut off from them and from the platform, and against one
// that tells them after the cut that others are Down.
func TestCutOffNodeNamesAll(t *testing.T) {
	for _, size := range []int{9, 30} {
		for _, reads := range []bool{false, true} {
			t.Run(fmt.Sprint(size, "-reads-", reads), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var back time.Duration
				for seed := range seedsFor(size) {
					s := newSimOf(size, seed, isolationRules())
					cut := s.procs[int(seed)%size]
					cutOff := make(map[netip.AddrPort]bool)
					s.scheduleReads(cutOff)
					s.run(simWarmUp)
					cutOff[cut.address] = !reads
					s.isolate(cut, 30*time.Second)
					healed := s.now + 30*time.Second
					for s.now < healed {
						s.run(s.now + TickInterval)
						running, _ := s.named(cut)
						switch {
						case !reads:
							is.Equal(running, size)
						case s.now > healed-30*time.Second+nameBound:
							is.Equal(running, 1)
						}
					}
					for s.now < healed+20*time.Second {
						s.run(s.now + TickInterval)
						for _, p := range s.procs {
							running, _ := s.named(p)
							if p != cut {
								is.True(running >= size-1) // the cut off node may be Down
							} else if running < size {
								back = max(back, s.now-healed)
							}
						}
						if reads {
							continue
						}
						running, _ := s.named(cut)
						is.Equal(running, size)
					}
					for _, p := range s.procs {
						running, _ := s.named(p)
						is.Equal(running, size)
					}
				}
				t.Logf("all nodes named again %s after the cut", back)
				is.True(back <= 2*time.Second)
			})
		}
	}
}

// Guards against healthy nodes that stop naming living ones, or search all the time, because of a broken link.
func TestHealthyFleetNamesAll(t *testing.T) {
	is := is.New(t)
	traffic := 0
	for seed := range uint64(6) {
		s := newSimOf(simNodes, seed, isolationRules())
		s.scheduleReads(nil)
		s.run(simWarmUp)
		s.lossRate = 0.1
		s.inject(fault{Kind: faultLink, For: time.Hour, Node: int(seed), Stale: true})
		begin, bytes, messages := s.now, s.bytes, s.messages
		for s.now < begin+60*time.Second {
			s.run(s.now + TickInterval)
			for _, p := range s.procs {
				for _, m := range p.node.Members() {
					is.True(!m.Silent)
				}
			}
		}
		sent := s.bytes - bytes + (s.messages-messages)*(tagBytes+headerBytes)
		traffic = max(traffic, sent/simNodes/int((s.now-begin)/time.Second))
	}
	t.Logf("%d B/s", traffic)
	is.True(traffic <= controlLimit)
}

// Guards against nodes that take the loss of a failure domain for their isolation and stop naming living nodes.
func TestLossOfADomain(t *testing.T) {
	for _, size := range []int{9, 30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var missing, traffic int
			for seed := range seedsFor(size) {
				s := newSimOf(size, seed, isolationRules())
				s.scheduleReads(nil)
				s.run(simWarmUp)
				left := 0
				for _, p := range s.procs {
					if simDomain(p.address) == "d0" {
						s.kill(p)
						continue
					}
					left++
				}
				killed, bytes, messages := s.now, s.bytes, s.messages
				for s.now < killed+20*time.Second {
					s.run(s.now + TickInterval)
					for _, p := range s.procs {
						if running, _ := s.named(p); !p.dead {
							missing = max(missing, left-running)
						}
					}
				}
				sent := s.bytes - bytes + (s.messages-messages)*(tagBytes+headerBytes)
				traffic = max(traffic, sent/left/int((s.now-killed)/time.Second))
				for _, p := range s.procs {
					_, dead := s.named(p)
					is.True(p.dead || dead == 0)
				}
			}
			t.Logf("%d living nodes missing, %d B/s", missing, traffic)
			is.Equal(missing, 0)
			is.True(traffic <= controlLimit)
		})
	}
}
