package feed

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errDown = errors.New("platform is down")

func newReader(seed bool) *Reader {
	return NewReader(ReaderConfig{Started: epoch, Seed: seed, ApplyTime: 3 * time.Second})
}

// Guards against a fleet whose nodes all read the platform when they start.
func TestOnlySeedsReadAtStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(newReader(true).Plan(epoch, Input{}).Step, Load)
	r := newReader(false)
	is.Equal(r.Plan(epoch, Input{}).Step, Idle)
	is.Equal(r.Plan(epoch.Add(joinWait), Input{}).Step, Load) // no peer has answered
	fresh := Input{Revision: 5, Known: true}
	is.Equal(r.Plan(epoch.Add(time.Second), fresh).Step, Idle) // its rank is not reliable yet
	is.Equal(r.Plan(epoch.Add(rankSettleTime), fresh).Step, Watch)
}

// Guards against data that stays stale after the readers have failed, and against all nodes taking over at once.
func TestTakeOverByRank(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(false)
	now := epoch.Add(time.Minute)
	in := Input{Rank: 1, Revision: 5, Known: true, Age: 1800 * time.Millisecond}
	is.Equal(r.Plan(now, in).Step, Idle)
	in.Age += time.Millisecond
	p := r.Plan(now, in)
	is.Equal(p.Step, Watch)
	is.Equal(p.After, Revision(5))
	in.Rank = 2
	is.Equal(r.Plan(now, in).Step, Idle)
	in.Age += takeOverStagger
	is.Equal(r.Plan(now, in).Step, Watch)
	is.True(r.staleAge+(maxTakeOverRank-1)*takeOverStagger <= 3*time.Second) // the last one is within the apply time
	in.Rank, in.Age = maxTakeOverRank+1, time.Hour
	is.Equal(r.Plan(now, in).Step, Idle)
}

// Guards against a node that takes over with a long watch: during the wait its data would become so old that further
// nodes take over too.
func TestOldDataIsConfirmedWithoutWaiting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(true)
	now := epoch.Add(time.Minute)
	in := Input{Revision: 5, Known: true, Age: confirmAge}
	is.Equal(r.Plan(now, in).Wait, watchWait)
	in.Age += time.Millisecond
	is.Equal(r.Plan(now, in), Plan{Step: Watch, After: 5, Wait: confirmWait})
	in.Known = false
	is.Equal(r.Plan(now, in).Wait, confirmWait)
	is.True(confirmAge+minWatchInterval < r.staleAge) // a confirmed reader watches again before others take over
}

// Guards against data that becomes stale repeatedly while the readers cannot read: a node whose reads fail reports that
// it is blind, and retries until a read succeeds.
func TestBlindReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(false)
	now := epoch.Add(time.Minute)
	fresh := Input{Rank: 3, Revision: 5, Known: true}
	for i := range blindThreshold {
		is.True(!r.IsBlind())
		r.RecordFailure(now, errDown, 1)
		now = now.Add(initialBackoff << i)
	}
	is.True(r.IsBlind())
	is.Equal(r.Plan(now, fresh).Step, Watch) // no longer a reader, but still retries
	d := Delta{From: 5, To: 5}
	r.RecordSuccess(now, &d)
	is.True(!r.IsBlind())
	is.Equal(r.Plan(now, fresh).Step, Idle)
}

// Guards against retries without a pause while the platform is down.
func TestBackoff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(true)
	now := epoch
	in := Input{Revision: 5}
	var waits []time.Duration
	for range 6 {
		is.Equal(r.Plan(now, in).Step, Watch)
		r.RecordFailure(now, errDown, 1)
		p := r.Plan(now, in)
		is.Equal(p.Step, Idle)
		waits = append(waits, p.Wait)
		now = now.Add(p.Wait)
	}
	is.Equal(waits, []time.Duration{
		100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
		maxBackoff,
	})
}

// Guards against a reader that repeatedly requests changes that the platform has dropped.
func TestReloadAfterDroppedHistory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(true)
	in := Input{Revision: 5}
	is.Equal(r.Plan(epoch, in).Step, Watch)
	r.RecordFailure(epoch, errors.Wrap(ErrCompacted, "watch"), 1)
	is.Equal(r.Plan(epoch, in).Step, Load)
	d := Delta{Full: true, To: 9}
	r.RecordSuccess(epoch, &d)
	p := r.Plan(epoch, in)
	is.Equal(p.Step, Watch)
	is.Equal(p.After, Revision(9))
}

// Guards against servers that are dropped because the platform lost their entries during an outage.
func TestRemovalsAfterAnOutageAreLapsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(true)
	removal := func() Delta { return Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Removed: "a"}}} }
	d := removal()
	r.RecordSuccess(epoch, &d)
	is.True(!d.Changes[0].Lapsed)
	r.RecordFailure(epoch, errDown, 0)
	d = removal()
	r.RecordSuccess(epoch.Add(time.Second), &d)
	is.True(d.Changes[0].Lapsed)
	is.True(d.Lapsed)
	d = removal()
	r.RecordSuccess(epoch.Add(time.Second+recoveryWindow+1), &d)
	is.True(!d.Changes[0].Lapsed)
}

// Guards against a platform call for each of many changes in quick succession.
func TestChangesAreBatched(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(true)
	d := Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Removed: "a"}}}
	r.RecordSuccess(epoch, &d)
	is.Equal(r.Plan(epoch, Input{Revision: 2}), Plan{Step: Idle, Wait: minWatchInterval})
	is.Equal(r.Plan(epoch.Add(minWatchInterval), Input{Revision: 2}).Step, Watch)
}

// Guards against a watch that is sent again unchanged after its answer could not be read to its end, and against a node
// that counts as blind after the loss of one answer although the platform serves it.
func TestIncompleteAnswerIsNotRequestedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReader(true)
	in := Input{Revision: 5}
	incomplete := errors.Mark(errors.New("unexpected EOF"), ErrIncomplete)
	is.Equal(r.Plan(epoch, in).Step, Watch)
	r.RecordFailure(epoch, incomplete, 1)
	is.Equal(r.Failures(), 0)
	is.Equal(r.Plan(epoch, in), Plan{Step: Load, Fresh: true})
	r.RecordFailure(epoch, incomplete, 1) // the pages are incomplete too
	is.Equal(r.Failures(), 1)
	is.True(!r.IsBlind())
	is.Equal(r.Plan(epoch, in), Plan{Step: Idle, Wait: initialBackoff})
	is.Equal(r.Plan(epoch.Add(initialBackoff), in), Plan{Step: Load, Fresh: true})
	r.RecordFailure(epoch, incomplete, 1)
	is.True(r.IsBlind())
	d := Delta{Full: true, To: 9}
	r.RecordSuccess(epoch, &d)
	is.Equal(r.Plan(epoch, in).Step, Watch)
	r.RecordFailure(epoch, errors.Wrap(ErrCompacted, "watch"), 1)
	is.Equal(r.Plan(epoch, in), Plan{Step: Load}) // the last load was fresh, this one can be stale
}
