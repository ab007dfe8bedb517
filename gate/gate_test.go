package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/limit"
)

const (
	// testTimeout ends a test that hangs.
	testTimeout = 20 * time.Second
	// largeAnswer is the size from which answers take memory.
	largeAnswer = 1 << 20
	// testHeaderBytes and testHeaderTimeout are the limits of heads in the tests.
	testHeaderBytes   = 1 << 10
	testHeaderTimeout = time.Second
)

// roomyPool has room for all that a test sends.
var roomyPool = limit.PoolConfig{Clients: 100, Bytes: 100 << 20, ClientBytes: 1 << 10, RequestShare: 1, Patience: 200 * time.Millisecond}

// fixture is a server behind a gate that answers with the body of each request.
type fixture struct {
	*testing.T
	address string
	// served counts the requests that the handler has received.
	served atomic.Int64
	// work, if set, is called for each request that has been received.
	work func()
}

func newFixture(t *testing.T, pool limit.PoolConfig) *fixture {
	f := &fixture{T: t}
	g := New(Config{Listener: "test", Pool: pool, Log: slog.New(slog.DiscardHandler), Limits: func() Limits {
		return Limits{HeaderBytes: testHeaderBytes, HeaderTimeout: testHeaderTimeout}
	}})
	server := httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	server.Listener = g.Listener(server.Listener)
	server.Config.ConnState, server.Config.ConnContext = g.ConnState, g.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = Received(r.Context())
	}
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	f.served.Add(1)
	if f.work != nil {
		f.work()
	}
	if len(body) >= largeAnswer {
		if err := Send(r.Context(), len(body)); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	_, _ = w.Write(body)
}

// client is a connection to the server.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (f *fixture) dial() *client {
	f.Helper()
	c, err := new(net.Dialer).DialContext(f.Context(), "tcp", f.address)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, bufio.NewReader(c)}
}

// send sends pieces of a request with a pause after each. The server may have closed the connection.
func (c *client) send(pause time.Duration, pieces ...string) {
	for _, p := range pieces {
		_, _ = io.WriteString(c, p)
		time.Sleep(pause)
	}
}

// status reads an answer and returns its status, or 0 if there is none, and its Retry-After header.
func (c *client) status() (int, string) {
	a, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, ""
	}
	return a.StatusCode, a.Header.Get("Retry-After")
}

const requestLine = "POST / HTTP/1.1\r\n"

// fields returns header lines of a size for a request with a body of a length.
func fields(size, length int) string {
	s := fmt.Sprintf("Host: ledger.example\r\nContent-Length: %d\r\nPairs: ", length)
	return s + strings.Repeat("p", size-len(s)-4) + "\r\n\r\n"
}

func ExampleGate() {
	g := New(Config{
		Listener: "directory", Pool: Directory.Pool(conf.Capacity{MemoryMB: 256, Descriptors: 4096}), Log: slog.Default(),
	})
	server := http.Server{Handler: http.NotFoundHandler(), ConnState: g.ConnState, ConnContext: g.ConnContext}
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = server.Serve(g.Listener(l)) }()
	response, err := http.Get("http://" + l.Addr().String()) //nolint:noctx // loopback
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	fmt.Println(response.Status, server.Close())
	// Output: 404 Not Found <nil>
}

// Guards against a request at the limits that is refused, whole or in pieces, on a new connection and on a kept one, and
// against one above them that is served.
func TestHeadsAtTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, roomyPool)
	line := "POST /" + strings.Repeat("p", testHeaderBytes-len("POST / HTTP/1.1\r\n")) + " HTTP/1.1\r\n"
	largest := fields(testHeaderBytes, 5)
	for _, pieces := range [][]string{
		{line + largest + "pairs"},
		{line, largest, "pairs"},
		strings.SplitAfter(line+largest+"pairs", "pppppppp"),
		{requestLine + largest + "\n\n\r\n\n"},
	} {
		c := f.dial()
		for range 3 {
			c.send(100*time.Microsecond, pieces...)
			status, _ := c.status()
			is.Equal(status, http.StatusOK)
		}
	}
	for _, request := range []string{requestLine + fields(testHeaderBytes+1, 0), strings.Replace(line, "/", "/p", 1) + largest} {
		c := f.dial()
		c.send(0, requestLine+fields(100, 0))
		status, _ := c.status()
		is.Equal(status, http.StatusOK)
		c.send(0, request)
		status, _ = c.status()
		is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// Guards against a slow head that is refused before its timeout, on a new connection and on a kept one, and against one that
// holds its connection for longer.
func TestSlowHeads(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, roomyPool)
	head := requestLine + fields(100, 0)
	c := f.dial()
	for range 2 {
		time.Sleep(testHeaderTimeout) // the time before the head does not count
		c.send(testHeaderTimeout*7/10, head[:5], head[5:])
		status, _ := c.status()
		is.Equal(status, http.StatusOK)
	}
	c.send(0, head[:5])
	begin := time.Now()
	status, _ := c.status()
	is.Equal(status, http.StatusRequestTimeout)
	is.True(time.Since(begin) >= testHeaderTimeout*9/10)
	is.Equal(f.served.Load(), int64(2))
}

// Guards against clients that keep others out: with a request that does not end, or without any.
func TestStalledClientsGiveWay(t *testing.T) {
	is := is.New(t)
	pool := roomyPool
	pool.Clients = 3
	f := newFixture(t, pool)
	head := requestLine + fields(100, 5)
	stalled := []*client{f.dial(), f.dial(), f.dial()}
	stalled[0].send(0, head[:50])
	stalled[1].send(0, head+"pair")
	time.Sleep(pool.Patience / 2)
	refused := f.dial()
	refused.send(0, head+"pairs")
	status, retryAfter := refused.status()
	is.Equal(status, http.StatusServiceUnavailable) // nobody is stalled yet
	is.Equal(retryAfter, "1")
	time.Sleep(pool.Patience)
	for range 3 {
		c := f.dial()
		c.send(0, head+"pairs")
		status, _ = c.status()
		is.Equal(status, http.StatusOK)
	}
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, 0} {
		status, _ = stalled[i].status()
		is.Equal(status, want) // the last one has sent nothing that could be answered
		rest, err := io.ReadAll(stalled[i].in)
		is.NoErr(err)
		is.Equal(string(rest), "")
	}
	is.Equal(f.served.Load(), int64(3))
}

// Guards against a request that is refused although it is served, or served although it is refused, when memory is short.
func TestRefusalsAreTrue(t *testing.T) {
	is := is.New(t)
	pool := limit.PoolConfig{Clients: 20, Bytes: 200 << 10, ClientBytes: 1 << 10, RequestShare: 0.8, Patience: time.Millisecond}
	f := newFixture(t, pool)
	f.work = func() { time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond) }
	var clients sync.WaitGroup
	var answered, refused atomic.Int64
	for range 30 {
		clients.Go(func() {
			for range 30 {
				c := f.dial()
				for status := http.StatusOK; status == http.StatusOK; {
					body := strings.Repeat("p", rand.IntN(20<<10))
					request := requestLine + fields(testHeaderBytes, len(body)) + body
					cut := rand.IntN(len(request))
					c.send(time.Duration(rand.IntN(4))*time.Millisecond, request[:cut], request[cut:])
					status, _ = c.status()
					switch status {
					case http.StatusOK:
						answered.Add(1)
					case http.StatusServiceUnavailable, 0:
						refused.Add(1)
					default:
						b, _ := io.ReadAll(c.in)
						t.Errorf("status %d, then %q", status, b)
					}
					if rand.IntN(10) == 0 {
						break
					}
				}
				c.Close()
			}
		})
	}
	clients.Wait()
	t.Logf("%d answered, %d refused, %d served", answered.Load(), refused.Load(), f.served.Load())
	is.Equal(f.served.Load(), answered.Load())
	is.True(answered.Load() > 0 && refused.Load() > 0)
}

// Guards against the memory of answers that are not read.
func TestUnreadAnswersGiveWay(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20 // more than the buffers of the connections, which have a small one on the side of the client
	pool := roomyPool
	pool.Bytes = 90 << 20
	f := newFixture(t, pool)
	body := strings.Repeat("p", size)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: ledger.example\r\nContent-Length: %d\r\n\r\n%s", size, body)
	var unread []*client
	for range 3 {
		c := f.dial()
		is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10))
		c.send(0, request)
		unread = append(unread, c)
	}
	time.Sleep(2 * pool.Patience)
	c := f.dial()
	c.send(0, request)
	status, _ := c.status()
	is.Equal(status, http.StatusOK)
	status, _ = unread[0].status()
	is.Equal(status, 0) // ends early, and does not look complete
}

// Guards against more bytes than a connection is counted with, which the kernel holds while a request on it is served.
func TestReceiveBufferIsBounded(t *testing.T) {
	f := newFixture(t, roomyPool)
	release := make(chan struct{})
	f.work = func() { <-release }
	defer close(release)
	c := f.dial()
	const writeBuffer = 16 << 10 // which the kernel doubles
	is.New(t).NoErr(c.Conn.(*net.TCPConn).SetWriteBuffer(writeBuffer))
	c.send(50*time.Millisecond, requestLine+fields(100, 0))
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	n, _ := io.CopyN(c, endless{}, 16<<20)
	t.Logf("%d bytes written", n)
	is.New(t).True(n <= clientBytes+2*writeBuffer)
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a parsed head that takes more memory than it is counted with.
func TestMemoryOfParsedHead(t *testing.T) {
	is := is.New(t)
	const heads, size = 50, 16 << 10
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: ledger.example\r\n")
	for i := int64(0); head.Len() < size-10; i++ {
		head.WriteString(strconv.FormatInt(i, 36) + ":\r\n")
	}
	head.WriteString("\r\n")
	lines := strings.Count(head.String(), "\n")
	counted := headFactor*head.Len() + lineBytes*lines
	var requests []*http.Request
	before := heapBytes()
	for range heads {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
		is.NoErr(err)
		requests = append(requests, r)
	}
	parsed := (heapBytes() - before) / heads
	t.Logf("%d bytes in %d lines, parsed %d KiB, counted %d KiB", head.Len(), lines, parsed>>10, counted>>10)
	is.True(parsed < counted)
	runtime.KeepAlive(requests)
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against a head whose end depends on the pieces in which it arrives.
func TestHeadScannerIgnoresPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("a:\r\n")), 0, 40, -1).Draw(t, "text")
		whole := newHeadScanner()
		want, wantEnded := whole.scan([]byte(text))
		pieces := newHeadScanner()
		read, ended := 0, false
		for read < len(text) && !ended {
			size := rapid.IntRange(1, len(text)-read).Draw(t, "piece")
			var n int
			n, ended = pieces.scan([]byte(text[read : read+size]))
			read += n
		}
		if read != want || ended != wantEnded || pieces != whole {
			t.Fatalf("%q: read %d, ended %v, %+v; whole %d, %v, %+v", text, read, ended, pieces, want, wantEnded, whole)
		}
	})
}
