package front

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
)

// Guards against a request that is cut off after its slow body has arrived, and against one that reaches a server although
// its body has not: a body may end while requests are served, after the last answers of servers, or never.
func TestSlowBodyAtStop(t *testing.T) {
	t.Parallel()
	f, s := newEndingFixture(t, fake.RoutedConfig{Delay: 50 * time.Millisecond})
	n := f.nodes[0]
	begin := time.Now().Add(200 * time.Millisecond)
	var group sync.WaitGroup
	for _, end := range []float64{0.7, 0.92, 0} {
		for _, uri := range []string{"/report/", "/payment/"} {
			for _, chunked := range []bool{false, true} {
				e := &ending{id: fmt.Sprint("r", end, uri, chunked)}
				c, in := f.dial(n)
				header, half := "Content-Length: 10", "pairs"
				if chunked {
					header, half = "Transfer-Encoding: chunked", "5\r\npairs\r\n"
				}
				fmt.Fprint(c, requestHead(http.MethodPost, uri, e.id, header), half)
				group.Go(func() {
					if end > 0 {
						sleepUntil(begin, end)
						fmt.Fprint(c, half)
						if chunked {
							fmt.Fprint(c, "0\r\n\r\n")
						}
					}
					e.sent = time.Now()
					e.read(in)
					checkSlowBody(t, s, e, end, begin)
				})
			}
		}
	}
	time.Sleep(time.Until(begin))
	n.stop()
	took := awaitEnd(f, n, begin)
	group.Wait()
	is.New(t).True(took < endingStopTime)
}

// checkSlowBody checks the answer to a request whose body ended after a share of the stop time, or never if that is 0.
func checkSlowBody(t *testing.T, s *fake.RoutedServer, e *ending, end float64, begin time.Time) {
	closedAt := e.end.Sub(begin)
	t.Logf("%s: status %d %s after the stop, ran %d, error %v", e.id, e.status, closedAt.Round(time.Millisecond), ranOf(s, e.id), e.err)
	switch {
	case end == 0:
		// The node has not read the whole request, which the rule excuses. It must wait for the body as long as it can.
		abort := time.Duration(abortShare * float64(endingStopTime))
		if e.status != 0 || ranOf(s, e.id) > 0 || closedAt < abort || closedAt > abort+endingSlack {
			t.Errorf("%s: incomplete request", e.id)
		}
	case end > answerShare:
		if e.status != http.StatusServiceUnavailable || ranOf(s, e.id) > 0 || e.header.Get("Retry-After") == "" {
			t.Errorf("%s: late request not refused", e.id)
		}
	default:
		if e.status != http.StatusOK || ranOf(s, e.id) != 1 {
			t.Errorf("%s: request not answered", e.id)
		}
	}
}

// Guards against an answer that is cut off while its caller still reads it before the end of the stop, or that looks
// complete although it was cut off. An answer that its caller does not read before the end of the stop is cut off, unless
// the kernel holds the rest of it; the rule excuses that only if a deadline has passed.
func TestSlowReaderAtStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// The large answer is longer than the buffers of the kernel, 4 MiB at most, and the small one fits into them.
	const large, small = 8 << 20, 256 << 10
	n := startHandler(t, func(w http.ResponseWriter, r *http.Request) {
		size := small
		if r.URL.Path == "/large" {
			size = large
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})
	begin := time.Now().Add(300 * time.Millisecond)
	var group sync.WaitGroup
	for _, x := range []struct {
		uri  string
		size int
		// read is the share of the stop time after which the caller reads its answer.
		read float64
		lost bool
	}{
		{"/large", large, 0.3, false},
		{"/large", large, 0.65, false},
		{"/large", large, 0.8, false},
		{"/large", large, 1.2, true},
		{"/small", small, 1.2, false},
	} {
		c, in := dialSlow(t, n.caller)
		fmt.Fprint(c, requestHead(http.MethodGet, x.uri, "r"))
		group.Go(func() {
			sleepUntil(begin, x.read)
			e := new(ending).read(in)
			t.Logf("%s read at %v: status %d, %d bytes, error %v", x.uri, x.read, e.status, e.body, e.err)
			if (e.err != nil) != x.lost || !x.lost && e.body != x.size {
				t.Errorf("%s read at %v of the stop time", x.uri, x.read)
			}
		})
	}
	time.Sleep(time.Until(begin))
	n.stop()
	took := (<-n.ended).Sub(begin)
	group.Wait()
	is.True(took >= time.Duration(abortShare*float64(endingStopTime)) && took < endingStopTime)
}

// Guards against requests that are cut off when idle connections are closed because they arrive in pieces at that moment.
// A connection may only be closed before its request is complete.
func TestRequestInPiecesAtClose(t *testing.T) {
	t.Parallel()
	f, s := newEndingFixture(t, fake.RoutedConfig{Delay: 5 * time.Millisecond})
	n := f.nodes[0]
	const pieces = 4
	begin := time.Now().Add(300 * time.Millisecond)
	closeAt := begin.Add(time.Duration(acceptStopShare * float64(endingStopTime)))
	var answered, closed atomic.Int64
	var group sync.WaitGroup
	for i := range 240 {
		kept := i%2 == 0
		gap := []time.Duration{100 * time.Microsecond, 2 * time.Millisecond, 15 * time.Millisecond}[i%3]
		e := &ending{id: fmt.Sprint("r", i)}
		c, in := f.dial(n)
		group.Go(func() {
			if kept {
				// Answers before the drain do not ask the caller to close the connection.
				fmt.Fprint(c, requestHead(http.MethodGet, "/lookup/", "first-"+e.id))
				new(ending).read(in)
			}
			// The pieces lie between 50 ms before and 30 ms after the close.
			first := closeAt.Add(time.Duration(i%80-50)*time.Millisecond - pieces/2*gap)
			time.Sleep(time.Until(first))
			text := requestHead(http.MethodGet, "/report/", e.id)
			for k := range pieces {
				if _, e.err = fmt.Fprint(c, text[k*len(text)/pieces:(k+1)*len(text)/pieces]); e.err != nil {
					closed.Add(1)
					return
				}
				if k < pieces-1 {
					time.Sleep(gap)
				}
			}
			e.sent = time.Now()
			e.read(in)
			checkLost(t, s, e)
			if e.status > 0 {
				answered.Add(1)
			} else {
				closed.Add(1)
			}
		})
	}
	time.Sleep(time.Until(begin))
	n.stop()
	awaitEnd(f, n, begin)
	group.Wait()
	t.Logf("%d answered, %d closed before they were complete", answered.Load(), closed.Load())
	is.New(t).True(answered.Load() > 40)
}

// Guards against a pipelined request that is cut off in its server because its connection counts as idle, or that runs
// after the answer before it has closed the connection.
func TestPipelinedRequestsAtStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newEndingFixture(t, fake.RoutedConfig{LongPrefix: "/report/", LongDelay: 2700 * time.Millisecond})
	n := f.nodes[0]
	begin := time.Now().Add(300 * time.Millisecond)
	var pairs atomic.Int64
	pair := func(share float64, first, second string) (a, b *ending) {
		c, in := f.dial(n)
		sleepUntil(begin, share)
		number := pairs.Add(1)
		a, b = &ending{id: fmt.Sprint("a", number, first)}, &ending{id: fmt.Sprint("b", number, second)}
		fmt.Fprint(c, requestHead(http.MethodGet, first, a.id), requestHead(http.MethodGet, second, b.id))
		a.sent, b.sent = time.Now(), time.Now()
		a.read(in)
		b.read(in)
		t.Logf("%s %d after %s, %s %d after %s, ran %d", a.id, a.status, a.end.Sub(a.sent), b.id, b.status, b.end.Sub(b.sent), ranOf(s, b.id))
		return a, b
	}
	var group sync.WaitGroup
	for range 4 {
		// The second request comes out of the buffer before the drain, and is at its server when idle connections are closed.
		group.Go(func() {
			a, b := pair(-0.02, "/lookup/", "/report/")
			checkLost(t, s, a)
			checkLost(t, s, b)
			if a.status != http.StatusOK || b.status != http.StatusOK {
				t.Errorf("statuses %d and %d", a.status, b.status)
			}
		})
		// The second request is in the buffer when the first one is answered with "Connection: close". HTTP says of that
		// answer that the second request has not been processed.
		group.Go(func() {
			a, b := pair(-0.01, "/report/", "/lookup/")
			checkLost(t, s, a)
			if a.status != http.StatusOK || !a.last || b.status != 0 || ranOf(s, b.id) > 0 {
				t.Errorf("status %d, last %v, then %d, ran %d", a.status, a.last, b.status, ranOf(s, b.id))
			}
		})
	}
	time.Sleep(time.Until(begin))
	n.stop()
	is.True(awaitEnd(f, n, begin) < endingStopTime)
	group.Wait()
}

// Guards against a stop that ends while a handler still writes its answer, or that waits for one beyond its time. A handler
// that outlives the stop time is cut off then and not before.
func TestHandlersAtEndOfStop(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		work float64 // as a share of the stop time
		lost bool
	}{
		{"before the close of idle connections", 0.5, false},
		{"late", 0.9, false},
		{"too late", 1.5, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var running atomic.Int64
			n := startHandler(t, func(w http.ResponseWriter, _ *http.Request) {
				running.Add(1)
				defer running.Add(-1)
				time.Sleep(time.Duration(x.work * float64(endingStopTime)))
				_, _ = w.Write(make([]byte, 1<<20))
			})
			f := &fixture{T: t}
			c, in := f.dial(&runningNode{caller: n.caller})
			e := &ending{sent: time.Now()}
			fmt.Fprint(c, requestHead(http.MethodGet, "/", "r"))
			f.waitFor("the handler runs", func() bool { return running.Load() == 1 })
			begin := time.Now()
			n.stop()
			e.read(in)
			took := (<-n.ended).Sub(begin)
			is.True(took < endingStopTime)
			is.Equal(e.status == 0, x.lost)
			if x.lost {
				is.True(e.end.Sub(begin) >= time.Duration(abortShare*float64(endingStopTime)))
				return
			}
			is.Equal(e.body, 1<<20)
			is.Equal(running.Load(), int64(0))
		})
	}
}

// Guards against an answer that is lost because the node closes a connection on which further bytes have arrived: the kernel
// then resets the connection, and neither side keeps what the caller has not read yet.
func TestAnswerBeforeUnreadBytesAtStop(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100, 256 << 10} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := startHandler(t, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(500 * time.Millisecond)
				w.Header().Set("Content-Length", strconv.Itoa(size))
				w.WriteHeader(http.StatusOK)
				_, _ = w.Write(make([]byte, size))
			})
			c, in := dialSlow(t, n.caller)
			n.stop()
			sleepUntil(time.Now(), 0.25)
			fmt.Fprint(c, requestHead(http.MethodGet, "/", "r1"))
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(c, requestHead(http.MethodGet, "/", "r2")) // stays unread because the node asks to close the connection
			time.Sleep(600 * time.Millisecond)                    // the handler has written its answer
			e := new(ending).read(in)
			<-n.ended
			is.NoErr(e.err)
			is.Equal(e.body, size)
		})
	}
}
