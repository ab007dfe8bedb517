package front

import (
	"net/http"
	"strings"

	"github.com/arbutusthread/arbutusthread/wire"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// endToEnd returns the headers that are passed on, without those in the set dropped. Names are in
// canonical form.
func endToEnd(h http.Header, dropped map[string]bool) http.Header {
	listed := connectionHeaders(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeaders[name] && !dropped[name] && !listed[name] {
			out[name] = values
		}
	}
	return out
}

// connectionHeaders returns the headers that a Connection header declares to be of one connection.
func connectionHeaders(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name == "" || name == "Close" || name == "Keep-Alive" {
				continue
			}
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[name] = true
		}
	}
	return listed
}

// forwardHeader returns the headers of a request that servers get beside those that a node sets.
func forwardHeader(h http.Header, names *wire.Headers) http.Header {
	return endToEnd(h, map[string]bool{
		http.CanonicalHeaderKey(names.RequestID): true, http.CanonicalHeaderKey(names.Timeout): true,
		http.CanonicalHeaderKey(names.Target): true,
	})
}
