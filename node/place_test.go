package node

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a directory answer that is computed before a change and cached after it, and against queries for
// arbitrary host names that exhaust the memory.
func TestAddressCacheInvalidation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var a addressCache
	k, list := addressKey{host: "h"}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	_, before, ok := a.get(k)
	is.True(!ok)
	a.put(k, list, before)
	got, _, ok := a.get(k)
	is.True(ok)
	is.Equal(got, list)
	a.clear()
	_, now, ok := a.get(k)
	is.True(!ok)
	a.put(k, list, before)
	_, _, ok = a.get(k)
	is.True(!ok)
	for i := range 2 * maxCachedAnswers {
		a.put(addressKey{host: string(rune(i))}, list, now)
	}
	is.Equal(len(a.entries), maxCachedAnswers)
}
