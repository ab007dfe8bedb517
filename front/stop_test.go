package front

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
)

const (
	// stopCallers is the number of callers of each kind in the test of a planned stop.
	stopCallers = 8
	// callerPause is the time between two requests of a caller.
	callerPause = 4 * time.Millisecond
)

// stopCaller sends requests to a node until no connection can be opened.
type stopCaller struct {
	// kept is set if the caller keeps its connection until it is asked to close it, pipelined if it sends two requests
	// at once.
	kept, pipelined bool
	address         string
	answered, lost  *atomic.Int64
	lostAfter       *sync.Map
}

func (k *stopCaller) run(ctx context.Context, id int, stopped time.Time) {
	for n := 0; ; {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", k.address)
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		for last := false; !last; n++ {
			request := fmt.Sprintf("GET /lookup/%d HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r%d-%d\r\nRequest-Timeout: 1500\r\n\r\n", id, id, n)
			if k.pipelined {
				request += request
			}
			_, err := fmt.Fprint(c, request)
			if err == nil {
				_, last, err = readResponse(in)
			}
			// An answer that closes the connection says that a second request on it has not been read.
			if err == nil && k.pipelined && !last {
				_, last, err = readResponse(in)
			}
			if err != nil {
				k.lost.Add(1)
				k.lostAfter.Store(time.Since(stopped).Round(time.Millisecond), err.Error())
				break
			}
			k.answered.Add(1)
			last = last || !k.kept
			time.Sleep(callerPause)
		}
		c.Close()
	}
}

// Guards against requests that are cut off without an answer around a planned stop under load, on kept, fresh and
// pipelined connections, up to the moment at which the node no longer accepts connections.
func TestPlannedStopAnswersWhatWasAccepted(t *testing.T) {
	is := is.New(t)
	f, _ := newLedgerFixture(t, fake.RoutedConfig{Delay: 15 * time.Millisecond, Slots: 64})
	n := f.nodes[0]
	var answered, lost atomic.Int64
	var lostAfter sync.Map
	var group sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	stopAt := time.Now().Add(300 * time.Millisecond)
	for i := range 3 * stopCallers {
		group.Go(func() {
			k := stopCaller{
				kept: i%3 > 0, pipelined: i%3 == 2, address: n.caller.String(),
				answered: &answered, lost: &lost, lostAfter: &lostAfter,
			}
			k.run(ctx, i, stopAt)
		})
	}
	time.Sleep(time.Until(stopAt))
	n.stop()
	group.Wait()
	is.NoErr(<-n.stopped)
	n.stopped <- nil
	is.NoErr(ctx.Err())
	lostAfter.Range(func(after, err any) bool {
		t.Logf("request lost %v after the stop: %v", after, err)
		return true
	})
	t.Logf("%d requests answered", answered.Load())
	is.True(answered.Load() > 100)
	is.Equal(lost.Load(), int64(0))
}

// Guards against requests that a node passes on to a server and then cuts off without an answer, because they outlive the
// stop time: those in flight at the stop as well as those that come late in it, on new and on kept connections.
func TestPlannedStopAnswersRequestsOfSilentServers(t *testing.T) {
	is := is.New(t)
	const stopTime = 4 * time.Second
	f := newFixtureWithStopTime(t, stopTime, "lukang")
	s := f.startServer("ledger", "lukang", fake.RoutedConfig{Slots: 64, Faults: fake.RoutedFaults{Hang: 1}})
	f.publishRoutes()
	n := f.nodes[0]
	stopAt := time.Now().Add(200 * time.Millisecond)
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for _, share := range []float64{-0.04, 0.02, 0.15, 0.25, 0.35, 0.45, 0.55, 0.57} {
		after := time.Duration(share * float64(stopTime))
		for _, uri := range []string{"/report/", "/payment/"} {
			for _, kept := range []bool{false, true} {
				id := fmt.Sprint("r", uri[1:len(uri)-1], after, kept)
				c := &lateCaller{node: n, id: id, uri: uri}
				if kept {
					c.connect(f)
				}
				group.Go(func() {
					time.Sleep(time.Until(stopAt.Add(after)))
					if !kept {
						c.connect(f)
					}
					a, err := c.send(stopped)
					ran := slices.ContainsFunc(s.Runs(), func(r fake.RoutedRun) bool { return r.RequestID == id })
					t.Logf("%s: status %d after %s, ran %v, error %v", id, a.status, time.Since(stopAt).Round(time.Millisecond), ran, err)
					if err != nil || a.status == http.StatusServiceUnavailable && (ran || a.header.Get("Retry-After") == "") {
						t.Errorf("%s: status %d, ran %v, Retry-After %q, error %v", id, a.status, ran, a.header.Get("Retry-After"), err)
					}
				})
			}
		}
	}
	time.Sleep(time.Until(stopAt))
	n.stop()
	is.NoErr(<-n.stopped)
	close(stopped)
	n.stopped <- nil
	is.True(time.Since(stopAt) < stopTime)
	group.Wait()
}

// lateCaller sends one request to a node that is stopping.
type lateCaller struct {
	node    *runningNode
	id, uri string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *lateCaller) connect(f *fixture) { c.conn, c.in = f.dial(c.node) }

// send sends the request and reads the answer. Once stopped is closed the process of the node would have ended: only an
// answer that was sent before counts.
func (c *lateCaller) send(stopped <-chan struct{}) (response, error) {
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: %s\r\nRequest-Timeout: 7500\r\n\r\n", c.uri, c.id)
	if err != nil {
		return response{}, err
	}
	go func() {
		<-stopped
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	}()
	a, _, err := readResponse(c.in)
	return a, err
}
