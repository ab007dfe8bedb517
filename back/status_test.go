package back

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// invalidStatuses are three-digit numbers that http.ReadResponse accepts and that no answer bears.
var invalidStatuses = []string{"000", "001", "020", "099", "+99", "-00", "101", "600", "999"}

// Guards against a server in trouble whose status, such as 000, is passed on as an answer or skipped like an interim answer,
// so that the request waits until its deadline or the bytes that follow are taken for the answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	const answer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range invalidStatuses {
		for name, head := range map[string]string{
			"no body":            "\r\n",
			"a length":           "Request-Id: r1\r\nAnswer-Seal: s\r\nContent-Length: 0\r\n\r\n",
			"an answer as body":  fmt.Sprintf("Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer),
			"a rejection":        "Request-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
			"an interim answer":  "\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + answer,
			"an answer after it": "\r\n" + answer,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
					_, err := fmt.Fprint(c, "HTTP/1.1 "+status+" \r\n"+head)
					return err == nil
				}))
				k := NewClient(Config{})
				defer k.Close()
				k.SetServers([]Server{{Address: address}})
				begin := time.Now()
				reply, r := k.Forward(context.Background(), address, begin.Add(5*time.Second), newForward("r1"))
				is.Equal(reply, nil)
				is.Equal(r.Outcome, Invalid)
				is.True(r.MayHaveRun)
				is.True(time.Since(begin) < 2*time.Second) // not at the deadline
			})
		}
	}
}

// Guards against such a status in the answer to a query of the other kind of node.
func TestInvalidStatusIsNoQueryAnswer(t *testing.T) {
	t.Parallel()
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
				body := `{"Complete":true,"RequestID":"q","Shard":"s","IndexVersion":"v"}`
				_, err := fmt.Fprintf(c, "HTTP/1.1 %s \r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				return err == nil
			}))
			k := NewClient(Config{})
			defer k.Close()
			k.SetServers([]Server{{Address: address}})
			_, r := k.Query(context.Background(), address, deadlineIn(time.Second), wire.ShardQuery{RequestID: "q", Shard: "s", IndexVersion: "v"})
			is.Equal(r.Outcome, Invalid)
			is.True(r.MayHaveRun)
		})
	}
}
