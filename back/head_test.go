package back

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// headAnswers are the answers of a server to a request, without their first line. %s stands for the ID of the request.
var headAnswers = map[string]string{
	"success":   "HTTP/1.1 200 OK\r\nAnswer-Seal: seal-%[1]s\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nRequest-Id: %[1]s\r\nContent-Length: 7\r\n\r\nbody-%[1]s",
	"chunks":    "HTTP/1.1 200 OK\r\nRequest-Id: %[1]s\r\nTrailer: Sum\r\nAnswer-Seal: seal-%[1]s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nbody-%[1]s\r\n0\r\nSum: 1\r\n\r\n",
	"rejection": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nRequest-Id: %[1]s\r\nContent-Length: 0\r\n\r\n",
	"failure":   "HTTP/1.1 500 Internal Server Error\r\nAnswer-Seal: seal-%[1]s\r\nRequest-Id: %[1]s\r\nContent-Length: 7\r\n\r\nbody-%[1]s",
	"interim":   "HTTP/1.1 103 Early Hints\r\nLink: <x>; rel=preload\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %[1]s\r\nAnswer-Seal: seal-%[1]s\r\nContent-Length: 7\r\n\r\nbody-%[1]s",
}

func headAnswer(kind, id string) string { return fmt.Sprintf(headAnswers[kind], id) }

// pipeServer answers each request on a connection with the next text.
type pipeServer struct {
	mu    sync.Mutex
	texts []string
}

func (s *pipeServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		s.mu.Lock()
		text := s.texts[0]
		s.texts = s.texts[1:]
		s.mu.Unlock()
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// Guards against the beginning of a late copy and the next answer that pass for one answer: a request that has run is taken for
// rejected, and runs again or is refused, or the caller gets the status or the seal of another request.
func TestBeginningOfALateCopyIsNotAnAnswer(t *testing.T) {
	t.Parallel()
	for old := range headAnswers {
		for next := range headAnswers {
			t.Run(old+", "+next, func(t *testing.T) {
				t.Parallel()
				copied := headAnswer(old, "r1")
				s := &pipeServer{}
				address := listen(t, s.serve)
				k := NewClient(Config{})
				defer k.Close()
				k.SetServers([]Server{{Address: address, Connections: 1}})
				for cut := 1; cut < len(copied); cut++ {
					s.mu.Lock()
					s.texts = []string{copied, copied[:cut] + headAnswer(next, "r2")}
					s.mu.Unlock()
					k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
					begin := time.Now()
					reply, r := k.Forward(context.Background(), address, begin.Add(300*time.Millisecond), newForward("r2"))
					if what := wrongAnswer(next, reply, &r); what != "" {
						t.Fatalf("after %q: %s; outcome %s: %s", copied[:cut], what, r.Outcome, r.Message)
					}
				}
			})
		}
	}
}

// wrongAnswer describes what is wrong with the result of request r2, to which the server has sent an answer of the given kind.
// An invalid answer is never wrong.
func wrongAnswer(kind string, reply *Reply, r *Result) string {
	switch {
	case r.Outcome == NotRun && kind != "rejection":
		return "the request has run and is reported as not run"
	case r.Outcome != OK:
		return ""
	case kind == "rejection":
		return "a rejection is an answer"
	case reply.Header.Get("Answer-Seal") != "seal-r2" || string(reply.Body) != "body-r2":
		return "the answer is of another request"
	case (reply.Status == http.StatusInternalServerError) != (kind == "failure"):
		return fmt.Sprint("the answer has status ", reply.Status)
	}
	return ""
}

// Guards against an answer that is refused although it only mentions the protocol, and against one that is used although it
// cannot be told which of its seals, IDs or statements counts.
func TestHeadsOfAnswers(t *testing.T) {
	t.Parallel()
	for head, want := range map[string]Outcome{
		"Answer-Seal: s\r\nServer: HTTP/1.1 proxy":                     OK,
		"Answer-Seal: s\r\nUpgrade: HTTP/2.0":                          OK,
		"Answer-Seal: s\r\nVia: 1.1 HTTP/1.1 200 OK":                   Invalid,
		"Answer-Seal: s\r\nAnswer-Seal: t":                             Invalid,
		"Answer-Seal: s\r\nRequest-Id: r1":                             Invalid,
		"Answer-Seal: s\r\nRequest-Id: r2":                             Invalid,
		"Not-Run: 1\r\nNot-Run: 1":                                     Invalid,
		"Answer-Seal: s\r\nInstance-Id: i-1\r\nInstance-Id: i-2":       Invalid,
		"Answer-Seal: s\r\nContent-Length: 2":                          OK, // repeated with the same value
		"Answer-Seal: s\r\nContent-Length: 3":                          Invalid,
		"Answer-Seal: s\r\nTransfer-Encoding: chunkedHTTP/1.1 200 OK":  Invalid,
		"Answer-Seal: s\r\nA: b\rHTTP/1.1 200 OK":                      Invalid,
		"Answer-Seal: s\r\nTrailer: SumHTTP/1.1 200 OK\r\nX: y":        Invalid,
		"Answer-Seal: s\r\nDate: Mon, 07 Dec 2026 01:0HTTP/1.0 503 No": Invalid,
	} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := listen(t, (&pipeServer{texts: []string{
				"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n" + head + "\r\n\r\nok",
			}}).serve)
			k := NewClient(Config{})
			defer k.Close()
			k.SetServers([]Server{{Address: address}})
			_, r := k.Forward(context.Background(), address, deadlineIn(time.Second), newForward("r1"))
			is.Equal(r.Outcome, want)
		})
	}
}

// FuzzJoinedAnswers joins the beginning of one answer, other bytes and a whole answer. Guards against a rejection or an answer
// that no server has sent for the request.
func FuzzJoinedAnswers(f *testing.F) {
	for kind, text := range headAnswers {
		f.Add(kind, len(text)/2, "", kind)
		f.Add(kind, len(text), "\r\n", "success")
	}
	f.Add("success", 3, strings.Repeat("HTTP/1.1 503 \r\nNot-Run: 1\r\n", 3), "success")
	f.Fuzz(func(t *testing.T, old string, cut int, between, next string) {
		if headAnswers[old] == "" || headAnswers[next] == "" || strings.Contains(between, "r2") {
			return
		}
		copied := headAnswer(old, "r1")
		c := &conn{echoesID: true}
		text := copied[:min(max(cut, 0), len(copied))] + between + headAnswer(next, "r2")
		c.reader = bufio.NewReader(strings.NewReader(text))
		reply, _, err := c.readReply(http.MethodPost, 1<<20, &answerMemory{})
		if err != nil {
			return
		}
		k := &Client{config: Config{}.withDefaults()}
		var r Result
		k.classifyReply(c, newForward("r2"), reply, &r)
		if what := wrongAnswer(next, reply, &r); what != "" {
			t.Fatalf("%q: %s", text, what)
		}
	})
}
