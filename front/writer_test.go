package front

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/table"
)

// Guards against a request that ends without an answer since its handler has panicked.
func TestPanicOfHandlerIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newIdleFixture(t)
	f.server = NewServer(ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte("begin"))
		}
		panic("malformed answer")
	}), Limits: func() table.Limits { return table.Limits{} }, Log: nopLog})
	t.Cleanup(f.server.Close)
	f.serve()
	c, in := f.dial()
	for range 2 {
		f.send(c)
		a, _, err := readResponse(in)
		is.NoErr(err)
		is.Equal(a.status, http.StatusBadGateway)
	}
	// An answer that has begun cannot be replaced. It must not look complete.
	_, err := fmt.Fprint(c, "GET /late HTTP/1.1\r\nHost: ledger.example\r\n\r\n")
	is.NoErr(err)
	_, _, err = readResponse(in)
	is.True(err != nil)
}
