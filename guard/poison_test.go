package guard

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
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
		b.ConnectionBroken(now, 7, testServer(i))
		for _, n := range b.ConnectionRefused(now.Add(time.Second), testServer(i)) {
			is.True(peer.Merge(now, n))
			is.True(!peer.Merge(now, n))
		}
	}
	is.Equal(b.RefusedFor(now, 7), initialRefusalPeriod)
	is.Equal(peer.RefusedFor(now, 7), initialRefusalPeriod) // on every node that has merged the crashes
	now = now.Add(initialRefusalPeriod)
	is.Equal(b.RefusedFor(now, 7), time.Duration(0)) // servers may have crashed together for another reason
	b.ConnectionBroken(now, 7, testServer(0))        // a server that has restarted
	b.ConnectionRefused(now, testServer(0))
	is.Equal(b.RefusedFor(now, 7), refusalPeriod)
	is.Equal(b.RefusedFor(now.Add(refusalPeriod+time.Second), 7), time.Duration(0))
}

// Guards against the refusal of a harmless request that was in flight on servers that crashed, or on servers
// whose answers were lost.
func TestHarmlessRequestsAreNotRefused(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	for name, events := range map[string]func(*PoisonDetector, byte){
		"the server stays up": func(b *PoisonDetector, i byte) { b.ConnectionBroken(now, 7, testServer(i)) },
		"the server goes down later": func(b *PoisonDetector, i byte) {
			b.ConnectionBroken(now, 7, testServer(i))
			b.ConnectionRefused(now.Add(crashWindow+1), testServer(i))
		},
		"it succeeds on another server": func(b *PoisonDetector, i byte) {
			b.ConnectionBroken(now, 7, testServer(i))
			b.ConnectionRefused(now, testServer(i))
			b.Succeeded(now, 7)
		},
		"the same server crashes again": func(b *PoisonDetector, _ byte) {
			b.ConnectionBroken(now, 7, testServer(1))
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
