package front

import (
	"net/http"
	"strings"

	"github.com/arbutusthread/arbutusthread/wire"
)

// hopByHopHeaders are the headers that are not forwarded, because they apply to a single connection only or
// are set anew on each connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// endToEndHeaders returns the headers to forward, without those in the set excluded. Header names must be in
// canonical form.
func endToEndHeaders(h http.Header, excluded map[string]bool) http.Header {
	listed := connectionHeaders(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHopHeaders[name] && !excluded[name] && !listed[name] {
			out[name] = values
		}
	}
	return out
}

// connectionHeaders returns the header names that the Connection header lists as hop-by-hop.
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

// forwardHeader returns the headers of a request that are forwarded to servers, without those that the node
// sets.
func forwardHeader(h http.Header, names *wire.Headers) http.Header {
	return endToEndHeaders(h, map[string]bool{
		http.CanonicalHeaderKey(names.RequestID): true, http.CanonicalHeaderKey(names.Timeout): true,
		http.CanonicalHeaderKey(names.Target): true,
	})
}
