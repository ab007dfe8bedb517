package back

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/arbutusthread/arbutusthread/wire"
)

// listen serves connections on a loopback port until the test ends.
func listen(tb testing.TB, serve func(net.Conn)) netip.AddrPort {
	return listener(tb, serve).Addr().(*net.TCPAddr).AddrPort()
}

func listener(tb testing.TB, serve func(net.Conn)) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at the end of the test
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l
}

// serveRequests calls answer for each request on a connection, with the number of the request from 0.
// It closes the connection when answer returns false.
func serveRequests(answer func(n int, q *http.Request, c net.Conn) bool) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			q, err := http.ReadRequest(r)
			if err != nil || !answer(n, q, c) {
				return
			}
			// A body that is left unread would be taken for the next request.
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	}
}

func newAnswer(q wire.ShardQuery) wire.ShardAnswer {
	return wire.ShardAnswer{
		RequestID: q.RequestID, Shard: q.Shard, IndexVersion: q.IndexVersion,
		Incarnation: "i1", Warm: true, Complete: true,
	}
}

// writeReply writes a response with the status and v as JSON.
func writeReply(c net.Conn, status int, v any) bool {
	b, err := json.Marshal(v)
	return err == nil && writeRawReply(c, status, len(b), string(b))
}

func writeRawReply(c net.Conn, status, length int, b string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, length, b)
	return err == nil
}

func decodeBody[T any](q *http.Request) (v T) {
	_ = json.NewDecoder(q.Body).Decode(&v)
	return v
}
