package gather

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxGrowth is the growth of the heap, in bytes, that counts as none.
const maxGrowth = 2 << 20

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory that grows with the history of an engine: with the services, servers, relays and routes that come
// and go, and with requests that end in each way.
func TestEngineDoesNotGrowWithItsHistory(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	f := newFixture()
	outcomes := []Outcome{OK, OK, OK, ServerError, NotRun, Unsent, Broken, TimedOut}
	// end ends all attempts and relay calls of the actions, and those that follow from that.
	var end func(act Actions)
	end = func(act Actions) {
		for _, s := range act.Sends {
			end(f.done(s, outcomes[r.IntN(len(outcomes))]))
		}
		for _, s := range act.Relays {
			end(f.RelayEnd(f.now, s.Relay, Result{Outcome: outcomes[r.IntN(len(outcomes))]}))
		}
	}
	step := func(i int) {
		f.advance(50 * time.Millisecond)
		near, far := testServer(fmt.Sprint("near-", i/4), here), testServer(fmt.Sprint("far-", i/4), there)
		service := fmt.Sprint("s-", i/8)
		end(f.SetPools(f.now, []Pool{{Name: service, Servers: []Server{near, far}}, {Name: "b", Servers: []Server{near, far}}}))
		relay := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), uint16(i%60_000+1))
		f.SetRelays([]Relay{{Address: relay, FailureDomain: there}})
		q := f.request(service, "b", "unknown")
		q.Class, q.Relayable, q.Idempotent = fmt.Sprint("route-", i/2), i%3 == 0, i%5 > 0
		id, act := f.Submit(f.now, q)
		if i%7 == 0 {
			f.Abandon(id)
		}
		// The first attempts end after a hedge may have been sent.
		f.advance(50 * time.Millisecond)
		hedges := f.Tick(f.now, id)
		end(act)
		end(hedges)
		for f.NextTick(f.now, id) != (time.Time{}) {
			f.now = f.NextTick(f.now, id)
			end(f.Tick(f.now, id))
		}
	}
	const steps = 5_000
	for i := range steps {
		step(i)
	}
	before := heapBytes()
	for i := range 4 * steps {
		step(steps + i)
	}
	growth := heapBytes() - before
	t.Logf("growth over %d requests: %d KB; %d jobs, %d attempts, %d delisted servers, %d relay calls",
		4*steps, growth>>10, len(f.jobs), len(f.attempts), len(f.delisted), len(f.relayCalls))
	is.True(growth < maxGrowth)
	is.Equal(len(f.jobs)+len(f.attempts)+len(f.relayCalls), 0)
}
