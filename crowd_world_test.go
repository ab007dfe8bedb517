package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// crowdSize is the number of clients of a crowd, and crowdConnections that of connections that each opens one after the
	// other, when the node closes them.
	crowdSize        = 400
	crowdConnections = 3
	// crowdMemoryMB and crowdDescriptors are the capacity of the VM of the node. The memory of the process must stay within it,
	// and so must its descriptors, of which a quarter is for other uses than clients.
	crowdMemoryMB       = 96
	crowdDescriptors    = 512
	maxCrowdDescriptors = crowdDescriptors * 3 / 4
	// crowdTime is the time after which the crowd is not expected to send more. It stays connected.
	crowdTime = 3 * time.Second
	// ordinaryTime is the time for which an ordinary caller repeats a refused request.
	ordinaryTime = 30 * time.Second
	// largeRecords is the number of records in a large answer, of 16 bytes each.
	largeRecords = 64 << 10
	// slowTime is the timeout of the route for slow bodies.
	slowTime = 4 * time.Second
	// chunkBytes is the size of the pieces that clients send, and chunkPause the pause after a piece of a request without end.
	chunkBytes = 1 << 10
	chunkPause = 20 * time.Millisecond
)

// crowd is a number of clients that all send the same kind of request to a listener of a node.
type crowd struct {
	// address returns the listener; nil means the one for callers.
	address func(*conf.Settings) netip.AddrPort
	// first is sent on each new connection, and its first answer is read if await is set. Then rest is sent at once, or, if
	// endless is set, again and again until the node closes the connection.
	first   func(client int) string
	await   bool
	rest    string
	endless bool
	// unread is set if the clients do not read the answers.
	unread bool
	// ordinary is the path of an ordinary request to the listener. If alone is set, no other ordinary request is sent.
	ordinary string
	alone    bool
}

// newCrowdNode starts a node with the capacity of the tests, and returns it when it answers.
func newCrowdNode(t *testing.T, binary string, subnet byte) (*stopWorld, *stopNode) {
	t.Helper()
	w := newStopWorld(t, binary, subnet)
	n := w.newNode("Lukang")
	n.settings.Capacity = conf.Capacity{Cores: 0.4, MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
	n.settings.MetricsAddress = netip.AddrPortFrom(n.caller.Addr(), nodePort+5)
	w.startSingle(n, crowdDescriptors)
	return w, n
}

// startServe starts a node with slices, "arbutusthread serve", with a limit for its descriptors.
func (w *stopWorld) startServe(n *stopNode, descriptors uint64) {
	w.Helper()
	w.command = []string{"serve", "--settings"}
	w.start(n)
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	w.must(unix.Prlimit(n.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	w.awaitAnswerAt(n.settings.OpsAddress, "/health")
}

// startSingle starts a node with a limit for its descriptors and waits until it answers. Beside those of all worlds it has a
// route with large answers and one on which bodies may be slow.
func (w *stopWorld) startSingle(n *stopNode, descriptors uint64) {
	w.Helper()
	w.addService("archive", "Lukang", fake.RoutedConfig{Records: largeRecords})
	w.addRoute("/large/", "archive", processStopTime, true)
	w.addRoute("/slow/", "ledger", slowTime, true)
	w.writeSettings(n)
	w.variables = []string{"GOGC=50"} // as in deploy/system.toml
	w.start(n)
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	w.must(unix.Prlimit(n.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	w.publish()
	w.awaitAnswer(n)
}

// awaitAnswer sends an ordinary request until it is answered. An ordinary caller comes again after a refusal and after a
// connection that was closed without an answer.
func (w *stopWorld) awaitAnswer(n *stopNode) {
	w.Helper()
	var x *exchange
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if x = w.get(n, "/lookup/x"); x.status == http.StatusOK {
			return
		}
	}
	w.Errorf("no answer to an ordinary request; the last one ended with status %d: %v", x.status, x.err)
}

// awaitAnswerAt sends an ordinary request to another listener until it is answered, with any status but that of a node without
// room. The listener for other nodes answers a request without a signature with 401.
func (w *stopWorld) awaitAnswerAt(address netip.AddrPort, path string) {
	w.Helper()
	status := 0
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", address.String(), time.Second) //nolint:noctx // has a timeout
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(callTime))
		_, _ = io.WriteString(c, headOf(http.MethodGet, path, 0, "Fleet-Protocol: 1\r\n\r\n"))
		x := &exchange{}
		x.read(bufio.NewReader(c))
		c.Close()
		if status = x.status; status > 0 && status != http.StatusServiceUnavailable {
			return
		}
	}
	w.Errorf("no answer to an ordinary request to %s%s; the last one has status %d", address, path, status)
}

// play lets the crowd loose on a node and checks that the process lives within the capacity of its VM, and that an ordinary
// request is answered while the crowd stays connected.
func (v *crowd) play(w *stopWorld, n *stopNode) {
	w.Helper()
	address := n.caller
	if v.address != nil {
		address = v.address(n.settings)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var opened, closed atomic.Int64
	for i := range crowdSize {
		clients.Go(func() {
			for range crowdConnections {
				c, err := net.DialTimeout("tcp", address.String(), ordinaryTime) //nolint:noctx // has a timeout
				if err != nil {
					return
				}
				opened.Add(1)
				if !v.send(c, i, stop) {
					closed.Add(1)
					c.Close()
					continue
				}
				<-stop
				c.Close()
				return
			}
		})
	}
	defer clients.Wait()
	defer close(stop)
	most := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		most = max(most, n.descriptors())
	}
	if !v.alone {
		w.awaitAnswer(n)
	}
	if v.ordinary != "" {
		w.awaitAnswerAt(address, v.ordinary)
	}
	most = max(most, n.descriptors())
	peak := w.checkMemory(n)
	w.Logf("connections: %d opened, %d closed by the node; peak memory %d MiB, descriptors %d", opened.Load(), closed.Load(), peak, most)
	if most > maxCrowdDescriptors {
		w.Errorf("the process used %d descriptors, more than %d of %d", most, maxCrowdDescriptors, crowdDescriptors)
	}
}

// sendAll sends requests on one connection, each without waiting for the answer to the one before, and reads the answers. The node
// may close the connection.
func (w *stopWorld) sendAll(address netip.AddrPort, requests int, request func(int) string) {
	w.Helper()
	c, err := net.Dial("tcp", address.String()) //nolint:noctx // loopback
	w.must(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(ordinaryTime))
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, c)
	}()
	sent := 0
	for ; sent < requests; sent++ {
		if _, err := io.WriteString(c, request(sent)); err != nil {
			break
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	<-read
	w.Logf("%d requests sent", sent)
}

// checkMemory checks that the process lives within the memory of its VM, and returns the peak in MiB.
func (w *stopWorld) checkMemory(n *stopNode) int {
	w.Helper()
	select {
	case <-n.done:
		w.Fatalf("the process ended: %v", n.err)
	default:
	}
	peak := n.peakMemoryMB()
	if peak > crowdMemoryMB {
		w.Errorf("the process used %d MiB of memory, its VM has %d", peak, crowdMemoryMB)
	}
	return peak
}

// send sends what the crowd sends on one connection. It reports whether the connection is still open, which it is until the
// node closes it or the crowd is stopped.
func (v *crowd) send(c net.Conn, client int, stop chan struct{}) bool {
	closed := make(chan struct{})
	answered := make(chan struct{})
	go func() {
		if v.unread {
			return
		}
		defer close(closed)
		b := make([]byte, chunkBytes)
		if _, err := c.Read(b); err != nil {
			return
		}
		close(answered)
		_, _ = io.Copy(io.Discard, c)
	}()
	if !sendPieces(c, v.first(client), 0) {
		return false
	}
	if v.await {
		select {
		case <-answered:
		case <-closed:
			return false
		case <-stop:
			return true
		}
	}
	rest := v.rest
	for end := time.Now().Add(crowdTime); v.endless && time.Now().Before(end); {
		if !sendPieces(c, rest, chunkPause) {
			return false
		}
	}
	if !v.endless && !sendPieces(c, rest, 0) {
		return false
	}
	select {
	case <-closed:
		return false
	case <-stop:
		return true
	}
}

// sendPieces sends text in pieces. It reports false if the connection has been closed.
func sendPieces(c net.Conn, text string, pause time.Duration) bool {
	_ = c.SetWriteDeadline(time.Now().Add(2 * crowdTime))
	for len(text) > 0 {
		n := min(len(text), chunkBytes)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return false
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return true
}

// headOf returns the head of a request without the empty line at its end.
func headOf(method, path string, client int, fields ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: c%d\r\nRequest-Timeout: 8000\r\n", method, path, client)
	return head + strings.Join(fields, "")
}

// shortLines returns as many header lines with distinct names as fit in a number of bytes.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		line := strconv.FormatInt(int64(i), 36) + ":\r\n"
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// largestHead returns a head of the largest size that callers may send, with as many lines as possible and its empty line.
func largestHead(path string, client int) string {
	head := headOf(http.MethodGet, path, client)
	return head + shortLines(table.DefaultHeaderBytes-len(head)-2) + "\r\n"
}

// largestBody is a body of the largest size that callers may send.
var largestBody = strings.Repeat("p", table.DefaultBodyBytes)

// inChunks returns a body in chunks of 1 KiB, with the last chunk.
func inChunks(body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// descriptors returns the number of open descriptors of the process.
func (n *stopNode) descriptors() int {
	list, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(n.command.Process.Pid), "fd"))
	return len(list)
}

// peakMemoryMB returns the peak of the resident memory of the process in MiB, or a number above all bounds if the process
// has ended.
func (n *stopNode) peakMemoryMB() int {
	b, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(n.command.Process.Pid), "status"))
	_, rest, _ := bytes.Cut(b, []byte("VmHWM:"))
	kib, _, _ := bytes.Cut(bytes.TrimSpace(rest), []byte(" "))
	size, _ := strconv.Atoi(string(kib))
	return cmp.Or(size, conf.DefaultMemoryMB<<20) >> 10
}
