package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a relay that is ejected since it cannot decode a query whose caller has sent bytes that are not UTF-8, and
// against such a seal of a server in its answer.
func TestGatherCarriesBytesThatAreNotUTF8(t *testing.T) {
	is := is.New(t)
	const odd = "\xff\xc0caf\xe9"
	received := make(chan *wire.GatherQuery, 1)
	n := startNode(t, "lukang", func(c *Config) {
		c.Handlers.Gather = func(_ context.Context, q *wire.GatherQuery, send func(wire.GatherPart) error) error {
			received <- q
			return send(wire.GatherPart{Answered: []int{0}, Seals: []string{odd}, Latencies: []byte{1}})
		}
	})
	other := startNode(t, "yilan", nil)
	q := wire.GatherQuery{
		RequestID: odd, Pools: []string{"shard-0"}, Class: "search", Timeout: uint32(time.Second.Milliseconds()),
		Method: "GET", URI: "/" + odd, Host: "search.example", Header: map[string][]string{"X-Name": {odd}},
	}
	var seals []string
	err := other.Gather(t.Context(), n.Self().Address, &q, func(p wire.GatherPart) { seals = append(seals, p.Seals...) })
	is.NoErr(err)
	is.Equal(*<-received, q)
	is.Equal(seals, []string{odd})
}
