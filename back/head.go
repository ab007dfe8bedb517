package back

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// errJoinedHeads means that the head of an answer contains a part of another head.
var errJoinedHeads = errors.New("back: the head of the answer contains another status line")

// statusLine matches the beginning of a status line. http.ReadResponse accepts it inside the reason phrase and header values.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// checkHead returns an error if the head was joined from the beginning of one answer and another answer. A server may send a
// second copy of an answer late and break it off. If that is within its head, the next answer on the connection continues it:
// the status and the first headers are those of the old answer, and the others, with the ID and the body, of the next one.
// Where the copy ends inside a line, the next status line is part of that line; where it ends between lines,
// http.ReadResponse fails.
func checkHead(v *http.Response) error {
	if hasStatusLine(v.Status) {
		return errJoinedHeads
	}
	for _, values := range v.Header {
		for _, s := range values {
			if hasStatusLine(s) {
				return errJoinedHeads
			}
		}
	}
	// ReadResponse moves the names that the Trailer header announces.
	for name := range v.Trailer {
		if hasStatusLine(name) {
			return errJoinedHeads
		}
	}
	return nil
}

func hasStatusLine(s string) bool {
	// The search for a constant is much faster than the expression.
	return strings.Contains(s, "HTTP/") && statusLine.MatchString(s)
}

// repeatedHeader returns the name of a header that tells what an answer is and that has several values, or "" if there is
// none. It cannot be told which of them belongs to the answer.
func repeatedHeader(h http.Header, names *wire.Headers) string {
	for _, name := range [...]string{names.RequestID, names.Seal, names.NotRun, names.Instance} {
		if len(h.Values(name)) > 1 {
			return name
		}
	}
	return ""
}
