package gather

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartRate is the rate of the cold servers of these tests, of which each of three nodes may use a third in each second.
const (
	restartRate     = 9
	restartShare    = restartRate / 3
	restartColdTime = 3 * time.Second
)

// restartFixture is one of three nodes, with a pool that has a single server. The server has not been cold.
func restartFixture() (*fixture, *Server) {
	f := newFixture()
	f.SetNodes(3)
	f.advance(time.Minute)
	s := testServer("a-near", here)
	s.ColdRate, s.ColdTime, s.Connections, s.Slots = restartRate, restartColdTime, 1000, 1000
	s.StartTime = epoch.Add(-time.Hour)
	f.singleServer(&s)
	return f, &s
}

// refuse ends an attempt because the address of its server refuses connections.
func (f *fixture) refuse(s Send) {
	f.Done(f.now, s.Attempt, Result{Outcome: Unsent, Refused: true, Detail: "connection refused"})
}

// burst submits 50 requests, abandons those that must wait, and returns the sends of the others.
func (f *fixture) burst() []Send {
	var sends []Send
	for range 50 {
		id, act := f.Submit(f.now, f.request("a"))
		if len(act.Sends) == 0 {
			f.Abandon(id)
		}
		sends = append(sends, act.Sends...)
	}
	return sends
}

// Guards against a server that has come back cold under its ID and gets all that waits, because its new entry has not been
// read yet.
func TestRestartedServerIsColdBeforeItsEntryIsRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := restartFixture()
	is.Equal(len(f.burst()), 50) // it is not cold
	f.advance(10 * time.Second)
	f.refuse(f.submit(f.request("a")).Sends[0])
	f.advance(20 * time.Second) // a server may be down for any time
	is.True(f.Status(f.now)[0].Cold)
	is.Equal(f.Status(f.now)[0].EndedAt, f.now.Add(-20*time.Second))
	sends := f.burst()
	is.Equal(len(sends), restartShare)
	f.advance(10 * time.Millisecond)
	for _, x := range sends {
		f.done(x, OK)
	}
	is.Equal(len(f.burst()), 0) // the answers are those of a new process
	f.advance(coldWindow + arrivalSpread)
	is.Equal(len(f.burst()), restartShare)

	s.StartTime, s.ColdUntil = f.now, f.now.Add(restartColdTime)
	f.singleServer(s)
	f.advance(restartColdTime - time.Millisecond)
	is.Equal(len(f.burst()), restartShare)
	f.advance(time.Millisecond)
	is.Equal(f.Status(f.now)[0].Cold, false)
	is.Equal(len(f.burst()), 50)
}

// Guards against a cold server that gets the requests of two windows in one second, because the first ones had to wait for
// connections to a process that has just started.
func TestColdRateHoldsForArrivals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const connectTime = 60 * time.Millisecond
	f, s := restartFixture()
	s.StartTime, s.ColdUntil = f.now, f.now.Add(restartColdTime)
	f.singleServer(s)
	var arrivals []time.Time
	for end := f.now.Add(restartColdTime); f.now.Before(end); f.advance(time.Millisecond) {
		for range f.burst() {
			at := f.now
			if len(arrivals) < restartShare {
				at = at.Add(connectTime)
			}
			arrivals = append(arrivals, at)
		}
	}
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Before(from.Add(time.Second)) {
				n++
			}
		}
		is.True(n <= restartShare)
	}
	is.True(len(arrivals) >= 2*restartShare)
}

// Guards against a server that is limited for good after a refused connection although its process has not changed, or
// its entry is never read.
func TestServerIsWarmAgainAfterARefusedConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _ := restartFixture()
	f.refuse(f.submit(f.request("a")).Sends[0])
	f.advance(maxEjection)
	f.done(f.submit(f.request("a")).Sends[0], OK)
	f.advance(restartColdTime - time.Millisecond)
	is.True(f.Status(f.now)[0].Cold)
	f.advance(time.Millisecond)
	is.Equal(len(f.burst()), 50)
}

// Guards against the answer of the process that has ended, or a connection of it that breaks, which says nothing of the
// next one.
func TestAnswerOfTheEndedProcessDoesNotShowARestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _ := restartFixture()
	early := f.submit(f.request("a")).Sends[0]
	f.advance(time.Millisecond)
	f.refuse(f.submit(f.request("a")).Sends[0])
	f.done(early, OK)
	f.advance(time.Millisecond)
	f.done(f.submit(f.request("a")).Sends[0], Broken)
	f.advance(time.Minute)
	is.True(f.Status(f.now)[0].Cold)
	is.True(!f.Status(f.now)[0].EndedAt.IsZero())
}

// Guards against a new process that counts as ended because of a refusal before its start, and against refused attempts
// that use up the rate of the next process.
func TestRefusalsBeforeTheStartOfAProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := restartFixture()
	refused := f.burst()
	s.StartTime = f.now
	f.singleServer(s)
	for _, x := range refused {
		f.refuse(x)
		f.Abandon(x.Job)
	}
	is.True(!f.Status(f.now)[0].Cold)

	f.ServerEnded(f.now, s.Address)
	is.True(f.Status(f.now)[0].Cold)
	f.advance(maxEjection)
	for range 10 {
		x := f.submit(f.request("a")).Sends[0]
		f.refuse(x)
		f.Abandon(x.Job)
	}
	f.advance(time.Millisecond)
	is.Equal(len(f.burst()), restartShare)
}
