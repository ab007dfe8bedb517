package gather

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is cut off without an answer because it outlives the stop of its node.
func TestRequestsEndWhenTheNodeStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a")
	r.MaxAttempts = 1
	id, act := f.Submit(f.now, r)
	is.Equal(len(act.Sends), 1)
	stopAt := f.now.Add(800 * time.Millisecond)
	f.StopAt(stopAt)
	is.True(!f.NextTick(f.now, id).After(stopAt))

	// A request that is accepted after the stop was planned ends by then too.
	late, act := f.Submit(f.now, r)
	is.Equal(act.Sends[0].Deadline, stopAt)
	f.now = stopAt
	for _, id := range []JobID{id, late} {
		end := f.Tick(f.now, id).Finished
		is.Equal(end.End, Expired)
		is.True(end.MayHaveRun)
	}
}

// Guards against a request that is passed on to a server when its node stops too soon to receive the answer, and against
// the refusal of one whose own deadline is earlier.
func TestRequestThatComesTooLateInTheStopIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	stopAt := f.now.Add(2 * time.Second)
	f.StopAt(stopAt)
	f.now = stopAt.Add(-minHangTimeout + time.Millisecond)
	r := f.request("a")
	act := f.submit(r)
	is.Equal(act.Finished.End, Refused)
	is.True(!act.Finished.MayHaveRun)
	is.Equal(act.Finished.RetryAfter, stopRetryAfter)
	is.Equal(len(act.Sends), 0)
	r.Deadline = stopAt
	is.Equal(len(f.submit(r).Sends), 1)

	// Requests of a slow class need more time.
	f.now = stopAt.Add(-2 * time.Second)
	for range 100 {
		f.now = f.now.Add(time.Millisecond)
		act := f.submit(f.request("a"))
		f.Done(f.now, act.Sends[0].Attempt, Result{Outcome: OK, Latency: 400 * time.Millisecond})
	}
	is.Equal(f.submit(f.request("a")).Finished, (*Finished)(nil)) // its own deadline comes first
	r = f.request("a")
	r.Deadline = f.now.Add(8 * time.Second)
	is.Equal(f.submit(r).Finished.End, Refused)
}

// Guards against a request that ends as failed, with another status than at its deadline, because the time-out of its last
// attempt is reported before the tick at the deadline.
func TestTimeOutAtTheDeadlineEndsAsExpired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture()
	r := f.request("a")
	r.MaxAttempts = 1
	_, act := f.Submit(f.now, r)
	f.now = r.Deadline.Add(time.Millisecond)
	act = f.Done(f.now, act.Sends[0].Attempt, Result{Outcome: TimedOut, Latency: time.Second, Detail: "no answer"})
	is.Equal(act.Finished.End, Expired)
	is.True(act.Finished.MayHaveRun)
}
