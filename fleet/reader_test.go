package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newReaderNode returns the node with index self of nine members in three failure domains, and all members.
func newReaderNode(t *testing.T, self int) (*Node, []Member) {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	var members []Member
	for i := range 9 {
		members = append(members, Member{
			Address:       netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)),
			FailureDomain: fmt.Sprint("d", i%3), Region: "r", Incarnation: 1, State: StateAlive,
		})
	}
	n := New(Config{Member: members[self], Start: now}, now)
	for i, m := range members {
		if i != self {
			n.table.apply(now, m)
		}
	}
	return n, members
}

func readers(t *testing.T, change func(*Node, []Member)) []int {
	t.Helper()
	var list []int
	for i := range 9 {
		n, members := newReaderNode(t, i)
		change(n, members)
		if n.ReaderRank() == 0 {
			list = append(list, i)
		}
	}
	return list
}

func setBlind(n *Node, members []Member, blind ...int) {
	for _, i := range blind {
		m := members[i]
		m.Blind, m.Sequence = true, 1
		if m.Address == n.self.Address {
			m.Incarnation = n.self.Incarnation
		}
		n.table.apply(n.now, m)
	}
}

// Guards against a fleet with no reader, too many readers, or all readers in one failure domain, and
// against blind nodes that remain readers.
func TestReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first := readers(t, func(*Node, []Member) {})
	is.Equal(len(first), 2)
	is.True(first[0]%3 != first[1]%3) // in different failure domains

	next := readers(t, func(n *Node, m []Member) { setBlind(n, m, first...) })
	is.Equal(len(next), 2)
	for _, i := range next {
		is.True(i != first[0] && i != first[1])
	}

	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	is.Equal(readers(t, func(n *Node, m []Member) { setBlind(n, m, all...) }), first) // the platform is away
}

// Guards against a status change that is not published, and an unchanged status that is published again.
func TestSetStatus(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n, _ := newReaderNode(t, 0)
	n.SetStatus(n.now, Status{Blind: true})
	is.Equal(n.Self().Sequence, uint64(1))
	is.True(n.Self().Blind)
	n.SetStatus(n.now, Status{Blind: true})
	is.Equal(n.Self().Sequence, uint64(1))
}
