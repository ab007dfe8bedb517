package back

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerWith returns the result of a request to a server that answers with the status line and headers, where ID stands
// for the ID of the request. The requests of first are sent on the same connection before it.
func answerWith(t *testing.T, head string, first ...string) Result {
	t.Helper()
	address := listen(t, serveRequests(func(n int, q *http.Request, c net.Conn) bool {
		lines := head
		if n < len(first) {
			lines = first[n]
		}
		lines = strings.ReplaceAll(lines, "ID", q.Header.Get("Request-Id"))
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", lines)
		return err == nil
	}))
	k := NewClient(Config{})
	t.Cleanup(k.Close)
	k.SetServers([]Server{{Address: address}})
	var r Result
	for n := range len(first) + 1 {
		_, r = k.Forward(context.Background(), address, deadlineIn(time.Second), newForward(fmt.Sprint("r", n)))
	}
	return r
}

// Guards against a leaving server that is not recognised in some of its answers, against values and answers of other
// processes or requests that count as its word, and against outcomes that change with the header.
func TestForwardReadsLeaving(t *testing.T) {
	t.Parallel()
	const own = "\r\nRequest-Id: ID"
	for name, c := range map[string]struct {
		head    string
		want    bool
		outcome Outcome
	}{
		"success":              {"200 OK" + own + "\r\nLeaving: 1", true, OK},
		"without an ID":        {"200 OK\r\nLeaving: 1", true, OK},
		"failure":              {"500 x" + own + "\r\nLeaving: 1", true, OK},
		"rejection":            {"503 x" + own + "\r\nNot-Run: 1\r\nLeaving: 1", true, NotRun},
		"bad request":          {"400 x" + own + "\r\nNot-Run: 1\r\nLeaving: 1", true, NotRun},
		"content encoding":     {"200 OK" + own + "\r\nContent-Encoding: gzip\r\nLeaving: 1", true, Invalid},
		"named instance":       {"200 OK" + own + "\r\nInstance-Id: i-1\r\nLeaving: 1", true, OK},
		"spaces":               {"200 OK" + own + "\r\nleaving:   1  ", true, OK},
		"twice":                {"200 OK" + own + "\r\nLeaving: 0\r\nLeaving: 1", true, OK},
		"absent":               {"200 OK" + own, false, OK},
		"empty":                {"200 OK" + own + "\r\nLeaving:", false, OK},
		"zero":                 {"200 OK" + own + "\r\nLeaving: 0", false, OK},
		"word":                 {"200 OK" + own + "\r\nLeaving: false", false, OK},
		"another number":       {"200 OK" + own + "\r\nLeaving: 12", false, OK},
		"another instance":     {"200 OK" + own + "\r\nInstance-Id: i-2\r\nLeaving: 1", false, OK},
		"misdirected":          {"421 x" + own + "\r\nLeaving: 1", false, NotRun},
		"of another request":   {"200 OK\r\nRequest-Id: r9\r\nLeaving: 1", false, Invalid},
		"close and rejections": {"429 x" + own + "\r\nNot-Run: 1\r\nConnection: close\r\nLeaving: 1", true, NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := answerWith(t, c.head)
			is.Equal(r.Outcome, c.outcome)
			is.Equal(r.Leaving, c.want)
			is.Equal(r.RetryAfter, time.Duration(0))
		})
	}
}

// Guards against a late answer, which belongs to no request, that takes its server out of use.
func TestForwardIgnoresNoticesOfLateAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := answerWith(t, "503 x\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 5", "200 OK\r\nRequest-Id: ID")
	is.Equal(r.Outcome, Invalid) // without an ID on a connection whose answers bear IDs
	is.True(!r.Leaving)
	is.Equal(r.RetryAfter, time.Duration(0))
}

// Guards against a rest that a server did not ask for, against values without a bound, and against a longer value that is
// lost beside a shorter one.
func TestForwardReadsRetryAfter(t *testing.T) {
	t.Parallel()
	const rejected = "503 x\r\nRequest-Id: ID\r\nNot-Run: 1"
	for name, c := range map[string]struct {
		head string
		want time.Duration
	}{
		"seconds":           {rejected + "\r\nRetry-After: 3", 3 * time.Second},
		"fraction":          {rejected + "\r\nRetry-After: 0.25", 250 * time.Millisecond},
		"leading zeros":     {rejected + "\r\nRetry-After: 007", 7 * time.Second},
		"twice":             {rejected + "\r\nRetry-After: 2\r\nRetry-After: 1", 2 * time.Second},
		"twice, one faulty": {rejected + "\r\nRetry-After: x\r\nRetry-After: 1", time.Second},
		"10^12":             {rejected + "\r\nRetry-After: 1000000000000", maxRetryAfter},
		"400 digits":        {rejected + "\r\nRetry-After: " + strings.Repeat("9", 400), maxRetryAfter},
		"absent":            {rejected, 0},
		"empty":             {rejected + "\r\nRetry-After:", 0},
		"zero":              {rejected + "\r\nRetry-After: 0", 0},
		"negative":          {rejected + "\r\nRetry-After: -5", 0},
		"sign":              {rejected + "\r\nRetry-After: +5", 0},
		"exponent":          {rejected + "\r\nRetry-After: 1e3", 0},
		"not a number":      {rejected + "\r\nRetry-After: NaN", 0},
		"infinity":          {rejected + "\r\nRetry-After: Inf", 0},
		"dots":              {rejected + "\r\nRetry-After: 1.2.3", 0},
		"list":              {rejected + "\r\nRetry-After: 1, 2", 0},
		"date":              {rejected + "\r\nRetry-After: Fri, 01 Jan 2100 00:00:00 GMT", 0},
		"another status":    {"429 x\r\nRequest-Id: ID\r\nNot-Run: 1\r\nRetry-After: 3", 0},
		"may have run":      {"503 x\r\nRequest-Id: ID\r\nRetry-After: 3", 0},
		"success":           {"200 OK\r\nRequest-Id: ID\r\nRetry-After: 3", 0},
		"another instance":  {rejected + "\r\nInstance-Id: i-2\r\nRetry-After: 3", 0},
		"another request":   {"503 x\r\nRequest-Id: r9\r\nNot-Run: 1\r\nRetry-After: 3", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := answerWith(t, c.head)
			is.Equal(r.RetryAfter, c.want)
		})
	}
}
