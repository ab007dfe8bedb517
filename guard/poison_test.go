package guard

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func testServer(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 80)
}

// Guards against a poison request that is retried until it has crashed every server.
func TestCrashingRequestIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	b, peer := NewPoisonDetector(), NewPoisonDetector()
	for i := range byte(refusalThreshold) {
		is.Equal(b.RefusedFor(now, 7), time.Duration(0))
		b.ConnectionBroken(now, 7, testServer(i), now.Add(-time.Minute))
		for _, n := range b.ConnectionRefused(now.Add(time.Second), testServer(i)) {
			is.True(peer.Merge(now, n))
			is.True(!peer.Merge(now, n))
		}
	}
	is.Equal(b.RefusedFor(now, 7), initialRefusalPeriod)
	is.Equal(peer.RefusedFor(now, 7), initialRefusalPeriod) // on every node that has merged the crashes
	now = now.Add(initialRefusalPeriod)
	is.Equal(b.RefusedFor(now, 7), time.Duration(0))                 // servers may have crashed together for another reason
	b.ConnectionBroken(now, 7, testServer(0), now.Add(-time.Second)) // a server that has restarted
	b.ConnectionRefused(now, testServer(0))
	is.Equal(b.RefusedFor(now, 7), refusalPeriod)
	is.Equal(b.RefusedFor(now.Add(refusalPeriod+time.Second), 7), time.Duration(0))
}

// Guards against a request that crashes the same server again and again, which is the only one that gets it, and is never
// refused.
func TestRequestThatCrashesOneServerIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	b, peer := NewPoisonDetector(), NewPoisonDetector()
	refused := []time.Duration{0, initialRefusalPeriod, refusalPeriod}
	for i := range singleServerThreshold {
		is.Equal(b.RefusedFor(now, 7), time.Duration(0))
		b.ConnectionBroken(now, 7, testServer(1), now.Add(-time.Second)) // after the end of the process before it
		for _, n := range b.ConnectionRefused(now.Add(time.Second), testServer(1)) {
			is.True(peer.Merge(now, n))
		}
		is.Equal(b.RefusedFor(now, 7), refused[i])
		is.Equal(peer.RefusedFor(now, 7), refused[i])
		now = now.Add(initialRefusalPeriod)
	}
}

// Guards against a harmless request that is refused because several nodes report the same crash, some of them late, such as a
// node that was suspended: their connections were open before the first of them broke.
func TestLateReportsOfOneCrashCountOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	b := NewPoisonDetector()
	for i := range 10 {
		at := now.Add(time.Duration(i) * 2 * incidentWindow)
		b.Merge(at, CrashNotice{7, Crash{Server: testServer(1), At: at, Opened: now.Add(-time.Millisecond)}})
		is.Equal(b.RefusedFor(at, 7), time.Duration(0))
	}
	// A second server has crashed, and its crash is reported late too.
	for i := range 10 {
		at := now.Add(time.Duration(i) * 2 * incidentWindow)
		b.Merge(at, CrashNotice{7, Crash{Server: testServer(2), At: at, Opened: now.Add(-time.Millisecond)}})
	}
	is.Equal(b.RefusedFor(now, 7), initialRefusalPeriod)
}

// Guards against the refusal of a harmless request that was in flight on servers that crashed, or on servers
// whose answers were lost.
func TestHarmlessRequestsAreNotRefused(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	for name, events := range map[string]func(*PoisonDetector, byte){
		"the server stays up": func(b *PoisonDetector, i byte) { b.ConnectionBroken(now, 7, testServer(i), now) },
		"the server goes down later": func(b *PoisonDetector, i byte) {
			b.ConnectionBroken(now, 7, testServer(i), now)
			b.ConnectionRefused(now.Add(crashWindow+1), testServer(i))
		},
		"it succeeds on another server": func(b *PoisonDetector, i byte) {
			b.ConnectionBroken(now, 7, testServer(i), now)
			b.ConnectionRefused(now, testServer(i))
			b.Succeeded(now, 7)
		},
		"the same server crashes again": func(b *PoisonDetector, _ byte) {
			b.ConnectionBroken(now, 7, testServer(1), now)
			b.ConnectionRefused(now, testServer(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewPoisonDetector()
			for i := range byte(10) {
				events(b, i)
			}
			is.Equal(b.RefusedFor(now, 7), time.Duration(0))
		})
	}
}

// Guards against a node that starts after a request has crashed servers in two incidents, and allows it again because of
// the order in which it learns of the crashes and of successes.
func TestOrderOfNoticesDoesNotMatter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		type notice struct {
			crash CrashNotice
			clear ClearNotice
		}
		var notices []notice
		for range rapid.IntRange(1, 8).Draw(t, "notices") {
			at := now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "second")) * time.Second / 2)
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				notices = append(notices, notice{clear: ClearNotice{7, at}})
				continue
			}
			server := testServer(rapid.Byte().Draw(t, "server") % 3)
			notices = append(notices, notice{crash: CrashNotice{7, Crash{
				Server: server, At: at, Opened: at.Add(-time.Duration(rapid.IntRange(0, 6).Draw(t, "open for")) * time.Second),
			}}})
		}
		now = now.Add(10 * time.Second)
		refused := func(notices []notice) time.Duration {
			d := NewPoisonDetector()
			for _, n := range notices {
				if n.clear.Fingerprint != 0 {
					d.MergeClear(now, n.clear)
				} else {
					d.Merge(now, n.crash)
				}
			}
			return d.RefusedFor(now, 7)
		}
		inOrder, other := refused(notices), refused(rapid.Permutation(notices).Draw(t, "other order"))
		if inOrder != other {
			t.Fatalf("refused for %s, and in another order for %s", inOrder, other)
		}
	})
}

// Guards against a node that starts later and refuses a harmless request, because it learns of crashes but not of the
// success in between, and against a clock that is ahead and clears crashes to come.
func TestSuccessClearsCrashesAtOtherNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	first, second := NewPoisonDetector(), NewPoisonDetector()
	crash := CrashNotice{7, Crash{Server: testServer(1), At: now}}
	is.True(first.Merge(now, crash))
	cleared, ok := first.Succeeded(now.Add(time.Second), 7)
	is.True(ok)
	_, ok = first.Succeeded(now.Add(time.Second), 7)
	is.True(!ok) // there is nothing left to clear
	later := CrashNotice{7, Crash{Server: testServer(2), At: now.Add(8 * time.Second)}}
	now = now.Add(9 * time.Second)
	for _, n := range []CrashNotice{later, crash} {
		second.Merge(now, n)
	}
	is.True(second.RefusedFor(now, 7) > 0)
	is.True(second.MergeClear(now, cleared))
	is.Equal(second.RefusedFor(now, 7), time.Duration(0))
	is.True(!second.MergeClear(now, ClearNotice{7, now.Add(2 * maxClockSkew)}))

	// A crash from a node whose clock is ahead is cleared as well.
	is.True(second.Merge(now, CrashNotice{7, Crash{Server: testServer(3), At: now.Add(maxClockSkew / 2)}}))
	_, ok = second.Succeeded(now, 7)
	is.True(ok)
	is.Equal(len(second.crashes), 0)
	is.True(!second.Merge(now, CrashNotice{7, Crash{Server: testServer(3), At: now.Add(2 * maxClockSkew)}}))
}

// Guards against a delayed crash report that makes a request suspect again although it has succeeded after
// the crash.
func TestSuccessOverridesDelayedCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	b := NewPoisonDetector()
	notice := func(i byte) CrashNotice { return CrashNotice{7, Crash{Server: testServer(i), At: now}} }
	is.True(b.Merge(now, notice(1)))
	b.Succeeded(now.Add(time.Second), 7)
	is.True(!b.Merge(now.Add(2*time.Second), notice(2)))
	b.Expire(now.Add(time.Hour))
	is.Equal(len(b.cleared), 0)
}
