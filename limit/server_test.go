package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const warmLatency = 8 * time.Millisecond

func warmServer(is *is.I) *Server {
	s := NewServer(ServerConfig{Slots: 6, ColdSlots: 1, Warming: &Warming{}})
	for range 60 {
		s.Observe(Sample{Latency: warmLatency, Incarnation: "1", Warm: true})
	}
	is.Equal(s.Allowance(), 6) // the server is warm
	return s
}

// Guards against an allowance outside its limits, or raised by anything but a fast answer.
func TestAllowanceStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := ServerConfig{
			Slots: rapid.IntRange(1, 9).Draw(t, "slots"), ColdSlots: rapid.IntRange(0, 9).Draw(t, "cold"), Warming: &Warming{},
		}
		s := NewServer(c)
		incarnation := "1"
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 99), 1, 200).Draw(t, "events") {
			before := s.Allowance()
			v := Sample{Latency: time.Duration(1+n) * time.Millisecond, Incarnation: incarnation, Warm: n%10 != 0}
			switch {
			case n > 97:
				incarnation += "1"
				v.Incarnation = incarnation
				s.Observe(v)
				if s.Allowance() > max(1, c.ColdSlots) {
					t.Fatalf("allowance %d after a new incarnation", s.Allowance())
				}
			case n > 94:
				s.SetCold(ColdConnection)
			case n > 90:
				s.StepDown()
			default:
				s.Observe(v)
				if s.Allowance() > before && s.Slow(v.Latency) && v.Warm {
					t.Fatalf("allowance raised to %d by a slow answer", s.Allowance())
				}
			}
			if s.Allowance() < min(1, c.Slots) || s.Allowance() > c.Slots {
				t.Fatalf("allowance %d of %+v", s.Allowance(), c)
			}
			if s.Acquire() && s.InUse() > s.Allowance() {
				t.Fatalf("%d permits of %d", s.InUse(), s.Allowance())
			}
			if n%2 == 0 {
				s.Release()
			}
		}
	})
}

// Guards against one straggler that takes a server out of use, and against a slow server that keeps its
// allowance.
func TestSlowAnswersLowerStepByStep(t *testing.T) {
	is := is.New(t)
	s := warmServer(is)
	slow := Sample{Latency: 4 * warmLatency, Incarnation: "1", Warm: true}
	for _, want := range []int{3, 1, 1} {
		s.Observe(slow)
		is.Equal(s.Allowance(), want)
	}
	for range 5 {
		s.Observe(Sample{Latency: warmLatency, Incarnation: "1", Warm: true})
	}
	is.Equal(s.Allowance(), 6)
}

// Guards against a server that says cold, or restarted, and keeps more than its ColdSlots for even one
// answer.
func TestColdAnswersDropAtOnce(t *testing.T) {
	is := is.New(t)
	s := warmServer(is)
	is.True(s.Observe(Sample{Latency: warmLatency, Incarnation: "1"}))
	is.Equal(s.Allowance(), 1)
	s = warmServer(is)
	is.True(s.Observe(Sample{Latency: warmLatency, Incarnation: "2", Warm: true}))
	is.Equal(s.Allowance(), 1)
}

// Guards against a ramp by the number of answers while the latency has not fallen, as of a server that
// warms up more slowly than those before it.
func TestRampWaitsForTheLatency(t *testing.T) {
	is := is.New(t)
	s := warmServer(is)
	s.config.Warming.learn(20)
	for range 20 {
		s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "1"})
	}
	is.Equal(s.Allowance(), 2) // latencySlack of 5 slots
}

// Guards against a ramp learned from fewer requests than a server needs: answers that say warm overtake
// those that say cold, and a holder of the permits that takes over sees only the end of a cold start.
func TestLearnedRequestsAreNotTooFew(t *testing.T) {
	const needed = 16 // requests that warm a server up
	cold := func(s *Server, answers int) {
		for range answers {
			s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "1"})
		}
	}
	warm := Sample{Latency: warmLatency, Incarnation: "1", Warm: true}
	t.Run("overtaken", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		is.True(s.Acquire())
		cold(s, needed-2) // the last request that warms is answered before the one ahead of it
		s.Observe(warm)
		is.Equal(s.config.Warming.answers, needed)
	})
	t.Run("taken over", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		s.SetCold(ColdFirstContact)
		cold(s, needed/2)
		s.Observe(warm)
		is.Equal(s.config.Warming.answers, 0)
		s.SetCold(ColdConnection)
		cold(s, needed-1)
		s.Observe(warm)
		is.Equal(s.config.Warming.answers, needed)
	})
	t.Run("found cold again on the way", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		cold(s, needed/2)
		s.SetCold(ColdDomainReturn)
		cold(s, needed/2)
		s.Observe(warm)
		is.Equal(s.config.Warming.answers, 0)
	})
	t.Run("another incarnation", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		cold(s, needed/2)
		s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "2"})
		for range needed - 1 {
			s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "2"})
		}
		s.Observe(Sample{Latency: warmLatency, Incarnation: "2", Warm: true})
		is.Equal(s.config.Warming.answers, needed)
	})
}

// Guards against work in the wrong order, and against a queue that grows beyond its limit.
func TestQueueOrdersByWorth(t *testing.T) {
	is := is.New(t)
	at := time.Unix(0, 0)
	q := NewQueue[string](3)
	for i, v := range []struct {
		name  string
		worth float64
		wait  time.Duration
	}{{"low", 1, 1}, {"late", 2, 9}, {"soon", 2, 3}, {"top", 5, 9}} {
		out, full := q.Push(uint64(i), v.worth, at.Add(v.wait), v.name)
		is.Equal(full, v.name == "top")
		is.True(!full || out == "low") // the least worthy leaves
	}
	for _, want := range []string{"top", "soon", "late"} {
		v, ok := q.Pop()
		is.True(ok)
		is.Equal(v, want)
	}
}
