package node

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against an answer of the directory that is computed before a change and kept after it, and against
// answers to made-up hosts that fill the memory.
func TestAnswersAreDroppedAtChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var a answers
	k, list := question{host: "h"}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
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
	for i := range 2 * maxAnswers {
		a.put(question{host: string(rune(i))}, list, now)
	}
	is.Equal(len(a.list), maxAnswers)
}
