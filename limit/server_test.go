package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const warmLatency = 8 * time.Millisecond

func warmServer(is *is.I) *Server {
	s := NewServer(ServerConfig{Slots: 6, ColdSlots: 1, Warmup: &WarmupHistory{}})
	for range 60 {
		s.Observe(Sample{Latency: warmLatency, Incarnation: "1", Warm: true})
	}
	is.Equal(s.Limit(), 6) // the server is warm
	return s
}

// Guards against a concurrency limit outside its configured bounds, and against a raise by anything but
// a fast response.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := ServerConfig{
			Slots: rapid.IntRange(1, 9).Draw(t, "slots"), ColdSlots: rapid.IntRange(0, 9).Draw(t, "cold"),
			Warmup: &WarmupHistory{},
		}
		s := NewServer(c)
		incarnation := "1"
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 99), 1, 200).Draw(t, "events") {
			before := s.Limit()
			v := Sample{Latency: time.Duration(1+n) * time.Millisecond, Incarnation: incarnation, Warm: n%10 != 0}
			switch {
			case n > 97:
				incarnation += "1"
				v.Incarnation = incarnation
				s.Observe(v)
				if s.Limit() > max(1, c.ColdSlots) {
					t.Fatalf("limit %d after a new incarnation", s.Limit())
				}
			case n > 94:
				s.SetCold(ColdConnection)
			case n > 90:
				s.Reduce()
			default:
				s.Observe(v)
				if s.Limit() > before && s.Slow(v.Latency) && v.Warm {
					t.Fatalf("limit raised to %d by a slow response", s.Limit())
				}
			}
			if s.Limit() < min(1, c.Slots) || s.Limit() > c.Slots {
				t.Fatalf("limit %d is out of bounds for %+v", s.Limit(), c)
			}
			if s.Acquire() && s.InUse() > s.Limit() {
				t.Fatalf("%d permits in use exceed limit %d", s.InUse(), s.Limit())
			}
			if n%2 == 0 {
				s.Release()
			}
		}
	})
}

// Guards against a single straggler that takes a server out of use, and against a slow server that
// keeps its full concurrency limit.
func TestSlowResponsesReduceLimitStepwise(t *testing.T) {
	is := is.New(t)
	s := warmServer(is)
	slow := Sample{Latency: 4 * warmLatency, Incarnation: "1", Warm: true}
	for _, want := range []int{3, 1, 1} {
		s.Observe(slow)
		is.Equal(s.Limit(), want)
	}
	for range 5 {
		s.Observe(Sample{Latency: warmLatency, Incarnation: "1", Warm: true})
	}
	is.Equal(s.Limit(), 6)
}

// Guards against a server that reports cold or has restarted and keeps a limit above ColdSlots, even
// for one response.
func TestColdResponseResetsLimit(t *testing.T) {
	is := is.New(t)
	s := warmServer(is)
	is.True(s.Observe(Sample{Latency: warmLatency, Incarnation: "1"}))
	is.Equal(s.Limit(), 1)
	s = warmServer(is)
	is.True(s.Observe(Sample{Latency: warmLatency, Incarnation: "2", Warm: true}))
	is.Equal(s.Limit(), 1)
}

// Guards against a ramp by response count while the latency has not fallen. This happens with a server
// that warms up more slowly than earlier ones.
func TestRampRequiresLatencyDecrease(t *testing.T) {
	is := is.New(t)
	s := warmServer(is)
	s.config.Warmup.record(20)
	for range 20 {
		s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "1"})
	}
	is.Equal(s.Limit(), 2) // latencySlack of 5 slots
}

// Guards against a ramp based on fewer requests than a warm-up needs. The count is too low when warm
// responses overtake cold ones, or when a new lease holder sees only the end of a cold start.
func TestWarmupCountIsNotUnderestimated(t *testing.T) {
	const needed = 16 // requests for a complete warm-up
	respondCold := func(s *Server, responses int) {
		for range responses {
			s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "1"})
		}
	}
	warm := Sample{Latency: warmLatency, Incarnation: "1", Warm: true}
	t.Run("overtaken", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		is.True(s.Acquire())
		respondCold(s, needed-2) // the last warm-up request completes before the one sent ahead of it
		s.Observe(warm)
		is.Equal(s.config.Warmup.requests, needed)
	})
	t.Run("taken over", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		s.SetCold(ColdFirstContact)
		respondCold(s, needed/2)
		s.Observe(warm)
		is.Equal(s.config.Warmup.requests, 0)
		s.SetCold(ColdConnection)
		respondCold(s, needed-1)
		s.Observe(warm)
		is.Equal(s.config.Warmup.requests, needed)
	})
	t.Run("marked cold again during warm-up", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		respondCold(s, needed/2)
		s.SetCold(ColdDomainReturn)
		respondCold(s, needed/2)
		s.Observe(warm)
		is.Equal(s.config.Warmup.requests, 0)
	})
	t.Run("new incarnation", func(t *testing.T) {
		is := is.New(t)
		s := warmServer(is)
		respondCold(s, needed/2)
		s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "2"})
		for range needed - 1 {
			s.Observe(Sample{Latency: 3 * warmLatency, Incarnation: "2"})
		}
		s.Observe(Sample{Latency: warmLatency, Incarnation: "2", Warm: true})
		is.Equal(s.config.Warmup.requests, needed)
	})
}

// Guards against requests served in the wrong order, and against a queue that grows beyond its limit.
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
		is.True(!full || out == "low") // the lowest-ranked request is evicted
	}
	for _, want := range []string{"top", "soon", "late"} {
		v, ok := q.Pop()
		is.True(ok)
		is.Equal(v, want)
	}
}
