package limit

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A pool with room for four clients, or for 60 bytes of requests.
var smallPool = PoolConfig{Clients: 4, Bytes: 100, ClientBytes: 10, RequestShare: 0.6, Patience: time.Second}

func ExamplePool() {
	p := NewPool[string](smallPool)
	now := time.Now()
	p.Admit(now, "stalled")
	p.Grow(now, "stalled", 50)
	now = now.Add(2 * time.Second)
	p.Admit(now, "quick")
	fmt.Println(p.Grow(now, "quick", 30))
	fmt.Println(p.Enter(now, "stalled", Serving), p.Enter(now, "quick", Serving))
	// Output:
	// [stalled] true
	// false true
}

// Guards against eviction in a wrong order: a stalled client goes first, an idle one next, one that is served never.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	p := NewPool[int](smallPool)
	now := time.Now()
	for k, phase := range []Phase{Serving, Idle, Receiving, Sending} {
		p.Admit(now, k)
		p.Enter(now, k, phase)
	}
	now = now.Add(time.Millisecond)
	victims, ok := p.Admit(now, 4)
	is.True(ok)
	is.Equal(victims, []int{1}) // the others are not stalled yet
	now = now.Add(2 * time.Second)
	for _, want := range []int{2, 3, 4} {
		victims, ok = p.Admit(now, 5+want)
		is.True(ok)
		is.Equal(victims, []int{want})
	}
	_, ok = p.Admit(now, 5)
	is.True(!ok)
	is.True(p.Enter(now, 0, Idle)) // has not been evicted
}

// Guards against a client without a request that cannot be admitted because requests take all memory.
func TestRequestsLeaveRoomForClients(t *testing.T) {
	is := is.New(t)
	p := NewPool[int](smallPool)
	now := time.Now()
	p.Admit(now, 0)
	_, ok := p.Grow(now, 0, 60)
	is.True(ok)
	_, ok = p.Grow(now, 0, 1)
	is.True(!ok)
	for k := 1; k < 4; k++ {
		_, ok = p.Admit(now, k)
		is.True(ok)
	}
	p.Enter(now, 0, Idle)
	is.Equal(p.Bytes(), int64(40))
}

// Guards against a pool that exceeds its bounds, counts wrongly, or evicts a client that is served, in random plays.
func TestPoolStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := PoolConfig{
			Clients: rapid.IntRange(1, 6).Draw(t, "clients"), Bytes: rapid.Int64Range(10, 200).Draw(t, "bytes"), ClientBytes: 10,
			RequestShare: rapid.Float64Range(0, 1).Draw(t, "share"), Patience: time.Second,
		}
		p, now := NewPool[int](c), time.Now()
		phase, grown, gone := make(map[int]Phase), make(map[int]int64), make(map[int]bool)
		evict := func(victims []int) {
			for _, v := range victims {
				if phase[v] == Serving || gone[v] {
					t.Fatalf("evicted %d, which is in phase %d, gone: %v", v, phase[v], gone[v])
				}
				gone[v] = true
			}
		}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
			victims, ok := p.Admit(now, i)
			evict(victims)
			if ok {
				phase[i] = Receiving
			}
			for _, k := range slices.Sorted(maps.Keys(phase)) {
				switch rapid.IntRange(0, 4).Draw(t, "change") {
				case 0:
					bytes := rapid.Int64Range(0, 50).Draw(t, "grow")
					victims, ok := p.Grow(now, k, bytes)
					evict(victims)
					if ok {
						grown[k] += bytes
					}
				case 1:
					next := Phase(rapid.IntRange(0, int(phases)-1).Draw(t, "phase"))
					if p.Enter(now, k, next) == gone[k] {
						t.Fatalf("Enter of %d, gone: %v", k, gone[k])
					}
					phase[k] = next
					if next == Idle {
						grown[k] = 0
					}
				case 2:
					p.Remove(k)
					delete(phase, k)
					delete(grown, k)
				}
			}
			clients, requests := 0, int64(0)
			for k := range phase {
				if !gone[k] {
					clients++
					requests += grown[k]
				}
			}
			switch {
			case clients != p.Len() || int64(clients)*c.ClientBytes+requests != p.Bytes():
				t.Fatalf("%d clients and %d bytes of requests, counted %d and %d", clients, requests, p.Len(), p.Bytes())
			case clients > c.Clients || p.Bytes() > c.Bytes || float64(requests) > c.RequestShare*float64(c.Bytes):
				t.Fatalf("%d clients with %d bytes, %d of requests", clients, p.Bytes(), requests)
			}
		}
	})
}
