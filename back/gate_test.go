package back

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
)

// closedGate lets no attempt pass and counts the questions.
type closedGate struct{ asked atomic.Int64 }

func (g *closedGate) MaySend(uint64) bool {
	g.asked.Add(1)
	return false
}

// Guards against an attempt that waits for a connection while its server asks for no more requests and is then written
// nevertheless, and against a gate that is asked for each request.
func TestForwardAsksTheGateAfterAWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, k := newRoutedServer(t, fake.RoutedConfig{Delay: 2 * gateDelay})
	k.SetServers([]Server{{Address: s.Address(), Connections: 1}})
	gate := &closedGate{}
	forward := func(id string) Result {
		f := newForward(id)
		f.Gate = gate
		_, r := k.Forward(context.Background(), s.Address(), deadlineIn(5*time.Second), f)
		return r
	}
	first := make(chan Result, 1)
	go func() { first <- forward("r1") }()
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	second := forward("r2")
	is.Equal((<-first).Outcome, OK)
	is.Equal(second.Outcome, Unsent)
	is.True(second.Local)
	is.True(!second.MayHaveRun)
	is.Equal(gate.asked.Load(), int64(1))
	is.Equal(forward("r3").Outcome, OK) // on the same connection, at once
	is.Equal(len(s.Runs()), 2)
}
