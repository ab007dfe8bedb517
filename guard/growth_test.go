package guard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against memory that grows with the requests that were ever in flight when a server crashed, at this node or, by
// its notices, at another one.
func TestPoisonDetectorDoesNotGrowWithItsHistory(t *testing.T) {
	is := is.New(t)
	d := NewPoisonDetector()
	now := time.Unix(1_800_000_000, 0)
	most := 0
	for i := range 20_000 {
		now = now.Add(100 * time.Millisecond)
		f, server := Fingerprint(i), testServer(byte(i))
		d.ConnectionBroken(now, f, server, now)
		d.ConnectionRefused(now, server)
		d.Merge(now, CrashNotice{f + 1, Crash{Server: server, At: now}})
		d.Merge(now, CrashNotice{1 << 40, Crash{Server: server, At: now}}) // crashes servers again and again
		if i%3 == 0 {
			d.Succeeded(now, f)
		}
		d.MergeClear(now, ClearNotice{f + 2, now})
		if i%100 == 0 {
			d.Expire(now)
		}
		most = max(most, len(d.crashes)+len(d.cleared)+len(d.interrupted))
	}
	// Crashes and successes of refusalPeriod, at ten a second and at most two records each.
	is.True(most <= 4*10*int(refusalPeriod.Seconds()))
	is.True(len(d.crashes[1<<40]) <= maxCrashRecords)
	d.Expire(now.Add(2 * refusalPeriod))
	is.Equal(len(d.crashes)+len(d.cleared), 0)
}
