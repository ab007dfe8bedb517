package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/table"
)

// Guards against a process that runs out of memory because each of the many short lines of a head takes far more memory than
// its bytes.
func TestCrowdWithShortHeaderLines(t *testing.T) {
	w, n := newCrowdNode(t, buildNode(t), 240)
	(&crowd{first: func(i int) string { return largestHead("/silent/", i) }}).play(w, n)
}

// Guards against a process that runs out of memory because it reads heads above the limit.
func TestCrowdWithLargeHeads(t *testing.T) {
	w, n := newCrowdNode(t, buildNode(t), 241)
	lines := shortLines(60<<10) + "\r\n"
	(&crowd{first: func(i int) string { return headOf(http.MethodGet, "/silent/", i, lines) }}).play(w, n)
}

// Guards against a process that runs out of memory because it keeps what it has read of heads that never end.
func TestCrowdWithHeadsWithoutEnd(t *testing.T) {
	binary := buildNode(t)
	for i, x := range []struct{ name, rest string }{
		{"short lines", shortLines(2 * chunkBytes)},
		{"one line", strings.Repeat("p", 2*chunkBytes)},
	} {
		t.Run(x.name, func(t *testing.T) {
			w, n := newCrowdNode(t, binary, byte(242+i))
			(&crowd{first: func(i int) string { return headOf(http.MethodGet, "/silent/", i, "Pairs:") }, rest: x.rest, endless: true}).play(w, n)
		})
	}
}

// Guards against a process that runs out of memory or descriptors because of empty lines without end before a request, on a
// new connection and after a request with a body.
func TestCrowdWithEmptyLines(t *testing.T) {
	binary := buildNode(t)
	lines := strings.Repeat("\r\n", chunkBytes)
	for i, x := range []struct {
		name string
		crowd
	}{
		{"first", crowd{first: func(int) string { return "\r\n" }, rest: lines, endless: true}},
		{"after a body", crowd{first: func(i int) string {
			return headOf(http.MethodPost, "/lookup/", i, "Content-Length: 5\r\n\r\npairs")
		}, await: true, rest: lines, endless: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			w, n := newCrowdNode(t, binary, byte(244+i))
			x.play(w, n)
		})
	}
}

// Guards against a process that runs out of memory because of many large bodies at once.
func TestCrowdWithLargeBodies(t *testing.T) {
	binary := buildNode(t)
	for i, x := range []struct{ name, field, body string }{
		{"with length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largestBody)), largestBody},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n", inChunks(largestBody)},
	} {
		t.Run(x.name, func(t *testing.T) {
			w, n := newCrowdNode(t, binary, byte(246+i))
			(&crowd{first: func(i int) string { return headOf(http.MethodPost, "/silent/", i, x.field) }, rest: x.body}).play(w, n)
		})
	}
}

// Guards against a process that runs out of memory because many large bodies stop just short of their end and their
// connections stay open.
func TestCrowdWithUnfinishedBodies(t *testing.T) {
	binary := buildNode(t)
	chunks := inChunks(largestBody)
	for i, x := range []struct{ name, field, body string }{
		{"with length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largestBody)), largestBody[1:]},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n", chunks[:len(chunks)-len("0\r\n\r\n")]},
	} {
		t.Run(x.name, func(t *testing.T) {
			w, n := newCrowdNode(t, binary, byte(248+i))
			(&crowd{first: func(i int) string { return headOf(http.MethodPost, "/lookup/", i, x.field) }, rest: x.body}).play(w, n)
		})
	}
}

// Guards against a process that runs out of memory because of large answers that callers do not read.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	w, n := newCrowdNode(t, buildNode(t), 250)
	(&crowd{first: func(i int) string { return headOf(http.MethodGet, "/large/", i, "\r\n") }, unread: true}).play(w, n)
}

// Guards against a process that runs out of memory because of what one client sends on one connection, without a pause.
func TestManyRequestsOnOneConnection(t *testing.T) {
	binary := buildNode(t)
	for i, x := range []struct {
		name     string
		requests int
		address  func(*stopNode) netip.AddrPort
		request  func(request int) string
	}{
		{"largest heads", 250, func(n *stopNode) netip.AddrPort { return n.caller }, func(i int) string { return largestHead("/lookup/", i) }},
		{"largest bodies", 250, func(n *stopNode) netip.AddrPort { return n.caller }, func(i int) string {
			return headOf(http.MethodPost, "/lookup/", i, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largestBody)), largestBody)
		}},
		{"long names in the directory", 1000, func(n *stopNode) netip.AddrPort { return n.settings.DirectoryAddress }, func(i int) string {
			return headOf(http.MethodGet, fmt.Sprintf("/v1/addresses?host=%s%d", strings.Repeat("p", 60<<10), i), i, "\r\n")
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			w, n := newCrowdNode(t, binary, byte(252+i))
			w.sendAll(x.address(n), x.requests, x.request)
			w.awaitAnswer(n)
			t.Logf("peak memory %d MiB", w.checkMemory(n))
		})
	}
}

// Guards against a single request at the limits that is refused by a node of the least capacity: the largest head, in the
// greatest number of lines, the largest body, with its length and in chunks, and the slowest head and body.
func TestRequestsAtTheLimits(t *testing.T) {
	w := newStopWorld(t, buildNode(t), 251)
	n := w.newNode("Lukang")
	n.settings.Capacity = conf.Capacity{MemoryMB: conf.MinMemoryMB, Descriptors: conf.MinDescriptors}
	w.startSingle(n, conf.MinDescriptors)
	head := largestHead("/lookup/", 0)
	withLength := headOf(http.MethodPost, "/lookup/", 1, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largestBody)))
	slowBody := headOf(http.MethodPost, "/slow/", 2, "Content-Length: 9\r\n\r\n")
	for _, x := range []struct {
		name   string
		pieces []string
		pause  time.Duration
	}{
		{"largest head", []string{head}, 0},
		{"largest body", []string{withLength, largestBody}, 0},
		{"largest body in chunks", []string{headOf(http.MethodPost, "/lookup/", 3, "Transfer-Encoding: chunked\r\n\r\n"), inChunks(largestBody)}, 0},
		{"slowest head", []string{head[:1], head[1:5000], head[5000:]}, table.DefaultHeaderTimeout * 45 / 100},
		{"slowest body", []string{slowBody, "pairs", " 12", "\n"}, slowTime * 3 / 10},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			c, err := dialNode(n)
			is.NoErr(err)
			defer c.Close()
			for range 2 {
				for _, p := range x.pieces {
					_, err := io.WriteString(c, p)
					is.NoErr(err)
					time.Sleep(x.pause)
				}
				answer, err := http.ReadResponse(c.in, nil)
				is.NoErr(err)
				is.Equal(answer.StatusCode, http.StatusOK)
				_, err = io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				answer.Body.Close()
			}
		})
	}
}

// namedCrowd is a crowd with the name of its kind.
type namedCrowd struct {
	name string
	crowd
}

// otherCrowds returns the crowds at listeners for others than callers, which send requests to a path.
func otherCrowds(path string) []namedCrowd {
	unfinished := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(largestBody), largestBody[1:])
	large := shortLines(60<<10) + "\r\n"
	return []namedCrowd{
		{"large heads", crowd{first: func(i int) string { return headOf(http.MethodPost, path, i, large) }}},
		{"heads without end", crowd{
			first: func(i int) string { return headOf(http.MethodPost, path, i, "Pairs:") }, rest: shortLines(2 * chunkBytes), endless: true,
		}},
		{"unfinished bodies", crowd{first: func(i int) string {
			return headOf(http.MethodPost, path, i, "Fleet-Protocol: 1\r\n", unfinished)
		}}},
		{"idle connections", crowd{first: func(i int) string { return headOf(http.MethodGet, path, i, "\r\n") }, await: true}},
	}
}

// Guards against a process that runs out of memory or descriptors because of clients of the listeners for others than callers.
func TestCrowdAtOtherListeners(t *testing.T) {
	binary := buildNode(t)
	for i, x := range []struct {
		name, path, ordinary string
		address              func(*conf.Settings) netip.AddrPort
	}{
		{"directory", "/v1/addresses?host=ledger.example", "/v1/addresses?host=ledger.example", func(s *conf.Settings) netip.AddrPort { return s.DirectoryAddress }},
		{"ready", "/ready", "/ready", func(s *conf.Settings) netip.AddrPort { return s.ReadyAddress }},
		{"operators", "/ops/status", "/ops/status", func(s *conf.Settings) netip.AddrPort { return s.OpsAddress }},
		{"metrics", "/metrics", "/metrics", func(s *conf.Settings) netip.AddrPort { return s.MetricsAddress }},
		{"peers", "/peer/gather", "/peer/members", func(s *conf.Settings) netip.AddrPort { return s.PeerAddress }},
	} {
		for k, y := range otherCrowds(x.path) {
			t.Run(x.name+", "+y.name, func(t *testing.T) {
				w, n := newCrowdNode(t, binary, byte(150+4*i+k))
				y.address, y.ordinary = x.address, x.ordinary
				y.play(w, n)
			})
		}
	}
}

// Guards against a node with slices that runs out of memory or descriptors because of clients of its listeners.
func TestCrowdAtServe(t *testing.T) {
	binary := buildNode(t)
	for i, x := range []struct {
		name, path, ordinary string
		address              func(*conf.Settings) netip.AddrPort
	}{
		{"callers", "/v1/services/ledger/query", "/v1/unknown", func(s *conf.Settings) netip.AddrPort { return s.CallerAddress }},
		{"operators", "/ops/status", "/ops/status", func(s *conf.Settings) netip.AddrPort { return s.OpsAddress }},
	} {
		for k, y := range otherCrowds(x.path) {
			t.Run(x.name+", "+y.name, func(t *testing.T) {
				w := newStopWorld(t, binary, byte(190+4*i+k))
				n := w.newNode("Lukang")
				n.settings.Capacity = conf.Capacity{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
				w.writeSettings(n)
				w.startServe(n, crowdDescriptors)
				y.address, y.ordinary, y.alone = x.address, x.ordinary, true
				y.play(w, n)
			})
		}
	}
}
