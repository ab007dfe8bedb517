package back

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutAnswers are answers whose end can be told from their bytes.
var cutAnswers = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12\r\nAnswer-Seal: s\r\n\r\ntwelve bytes",
	"chunks":  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
	"trailer": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
	"empty":   "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
	"refusal": "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
}

// Guards against an answer that passes as complete although the server has closed or reset the connection in its head or
// body, and against a cut refusal that says of a request that it has not run.
func TestAnswerThatIsCutOffIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, answer := range cutAnswers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sent := make(chan string, 1)
				address := listen(t, serveRequests(func(_ int, _ *http.Request, c net.Conn) bool {
					_, _ = fmt.Fprint(c, <-sent)
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					return false
				}))
				k := NewClient(Config{})
				defer k.Close()
				k.SetServers([]Server{{Address: address}})
				for cut := range len(answer) {
					sent <- answer[:cut]
					reply, r := k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
					if reply != nil || r.Outcome == OK || !r.MayHaveRun {
						t.Fatalf("after %q: outcome %s, may have run %v", answer[:cut], r.Outcome, r.MayHaveRun)
					}
				}
				if !reset {
					sent <- answer
					reply, _ := k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
					is.True(reply != nil)
				}
			})
		}
	}
}
