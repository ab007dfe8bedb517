package back

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessAnswers are answers that never end, as a first part and the bytes that follow again and again.
var endlessAnswers = map[string][2]string{
	"garbage":          {"", "\x00\x01\x02\x03"},
	"status line":      {"HTTP/1.1 200 ", "O"},
	"header value":     {"HTTP/1.1 200 OK\r\nA: ", "b"},
	"headers":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim answers":  {"", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"},
	"body":             {"HTTP/1.1 200 OK\r\n\r\n", "body"},
	"long body":        {"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", "body"},
	"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	"chunk size":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"trailers":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"slow head":        {"HTTP/1.1 200 OK\r\n", ""},
	"slow body":        {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", ""},
	"claimed and slow": {"HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n", ""},
}

// sendEndless writes the answer until the client closes the connection, or one byte every 10 ms if nothing is repeated.
func sendEndless(c net.Conn, answer [2]string) {
	if _, err := c.Write([]byte(answer[0])); err != nil {
		return
	}
	repeated := bytes.Repeat([]byte(answer[1]), 16<<10)
	for {
		if len(repeated) == 0 {
			time.Sleep(10 * time.Millisecond)
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			continue
		}
		if _, err := c.Write(repeated); err != nil {
			return
		}
	}
}

// Guards against bytes without end that hold a request beyond its deadline, and against one answer that counts as
// complete or as a refusal.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
				sendEndless(c, answer)
				return false
			}))
			k := NewClient(Config{})
			defer k.Close()
			k.SetServers([]Server{{Address: address}})
			begin := time.Now()
			reply, r := k.Forward(context.Background(), address, begin.Add(300*time.Millisecond), newForward("r1"))
			is.True(time.Since(begin) < time.Second)
			is.Equal(reply, nil)
			is.True(r.Outcome == Invalid || r.Outcome == Broken || r.Outcome == TimedOut)
			is.True(r.MayHaveRun)
		})
	}
}

// memoryForAnswers is what the answers of many servers may take together on the smallest node, of 160 MB.
const memoryForAnswers = 64 << 20

// Guards against the servers of a whole service sending bytes without end at once: the node that reads them must not
// run out of memory.
func TestManyAnswersWithoutEndFitInMemory(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"headers", "body", "claimed and slow"} {
		address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
			sendEndless(c, endlessAnswers[name])
			return false
		}))
		const requests = 120
		k := NewClient(Config{})
		k.SetServers([]Server{{Address: address, Connections: requests}})
		runtime.GC()
		var before, now runtime.MemStats
		runtime.ReadMemStats(&before)
		var group sync.WaitGroup
		var left atomic.Int32
		left.Store(requests)
		for range requests {
			group.Go(func() {
				defer left.Add(-1)
				_, r := k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
				is.True(r.Outcome != OK)
			})
		}
		most := uint64(0)
		for left.Load() > 0 {
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		k.Close()
		t.Logf("%s: %d MB at most", name, (max(most, before.HeapAlloc)-before.HeapAlloc)>>20)
		is.True(most < before.HeapAlloc+memoryForAnswers)
	}
}

// Guards against an idle connection on which bytes arrive without end: the connection must be closed at once, and not
// read until the server stops.
func TestIdleConnectionWithoutEndIsClosed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	closed := make(chan int64, 1)
	address := listen(t, serveRequests(func(n int, q *http.Request, c net.Conn) bool {
		if n > 0 || q.Header.Get("Request-Id") != "r1" {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		written := int64(0)
		chunk := make([]byte, 64<<10)
		for {
			n, err := c.Write(chunk)
			written += int64(n)
			if err != nil {
				closed <- written
				return false
			}
		}
	}))
	k := NewClient(Config{})
	defer k.Close()
	k.SetServers([]Server{{Address: address}})
	_, r := k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
	is.Equal(r.Outcome, OK)
	time.Sleep(60 * time.Millisecond)
	begin := time.Now()
	_, r = k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r2"))
	is.Equal(r.Outcome, OK)
	select {
	case written := <-closed:
		t.Logf("the server wrote %d KB", written>>10)
		is.True(time.Since(begin) < defaultRetireTimeout/4)
	case <-time.After(2 * defaultRetireTimeout):
		t.Error("the connection was not closed")
	}
}

// lateCopies are what a server may send late on a connection: the answer to the request before, a refusal, or parts of
// them.
var lateCopies = map[string]string{
	"copy with its ID":           "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nfirst",
	"copy without an ID":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
	"cut copy":                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfi",
	"rest of a copy":             "\r\nContent-Length: 5\r\n\r\nfirst",
	"after an interim answer":    "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
	"refusal without an ID":      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"other server without an ID": "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
	"answer without a body":      "HTTP/1.1 204 No Content\r\n\r\n",
}

// Guards against an answer that reaches another request, and against a late refusal that says of a request that has run
// that it has not, when a server sends something late on a connection that is in use again. The bytes arrive while the
// connection is idle, just before the next request, or after it has been sent.
func TestLateCopyReachesNoOtherRequest(t *testing.T) {
	t.Parallel()
	for name, late := range lateCopies {
		for _, after := range []time.Duration{0, 3 * time.Millisecond, 15 * time.Millisecond, -1} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var runs sync.Map
				address := listen(t, serveRequests(func(n int, q *http.Request, c net.Conn) bool {
					id := q.Header.Get("Request-Id")
					runs.Store(id, true)
					if n == 1 && after < 0 {
						// The late bytes arrive after the second request has been sent.
						_, _ = c.Write([]byte(late))
						time.Sleep(5 * time.Millisecond)
					}
					body := strings.Repeat(id, 3)
					_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
					if n == 0 && after >= 0 {
						time.Sleep(after)
						_, _ = c.Write([]byte(late))
					}
					return err == nil
				}))
				k := NewClient(Config{})
				defer k.Close()
				k.SetServers([]Server{{Address: address, Connections: 1}})
				_, r := k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
				is.Equal(r.Outcome, OK)
				time.Sleep(8 * time.Millisecond)
				for _, id := range []string{"r2", "r3", "r4"} {
					f := newForward(id)
					reply, r := k.Forward(context.Background(), address, deadlineIn(500*time.Millisecond), f)
					_, ran := runs.Load(id)
					if r.Outcome == OK && string(reply.Body) != strings.Repeat(id, 3) {
						t.Errorf("request %s got %q", id, reply.Body)
					}
					if ran && !r.MayHaveRun {
						t.Errorf("request %s has run, and its outcome is %s", id, r.Outcome)
					}
				}
			})
		}
	}
}

// Guards against an answer of the largest size that does not fit in the memory for large answers.
func TestLargestAnswerFitsInMemory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), defaultMaxAnswer/16)
	for _, length := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Connection: close\r\n"} {
		address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", length)
			_, _ = c.Write(body)
			return false
		}))
		k := NewClient(Config{})
		k.SetServers([]Server{{Address: address}})
		reply, r := k.Forward(context.Background(), address, deadlineIn(5*time.Second), newForward("r1"))
		is.Equal(r.Outcome, OK)
		is.True(bytes.Equal(reply.Body, body))
		reply.Release()
		is.Equal(k.buffered.reserved.Load(), int64(0))
		k.Close()
	}
}

// Guards against the memory of large answers that are waiting to be written and that nothing counts.
func TestUnreleasedAnswersBoundFurtherOnes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), defaultMaxAnswer/16)
	address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = c.Write(body)
		return false
	}))
	k := NewClient(Config{})
	defer k.Close()
	k.SetServers([]Server{{Address: address}})
	var replies []*Reply
	for range 20 {
		reply, r := k.Forward(context.Background(), address, deadlineIn(5*time.Second), newForward("r1"))
		if r.Outcome != OK {
			break
		}
		replies = append(replies, reply)
	}
	is.True(len(replies) > 0 && len(replies)*len(body) <= maxAnswerMemory)
	for _, reply := range replies {
		reply.Release()
		reply.Release() // does nothing
	}
	is.Equal(k.buffered.reserved.Load(), int64(0))
	_, r := k.Forward(context.Background(), address, deadlineIn(5*time.Second), newForward("r2"))
	is.Equal(r.Outcome, OK)
}
