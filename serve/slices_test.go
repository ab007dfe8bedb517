package serve

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a query over several slices, with homes on several nodes, that loses or doubles the
// part of a slice, and against a canary on more than one slice.
func TestQueryOverSlices(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{Services: 2, Slices: 3, Shards: 12, Servers: 6}, "Lukang", "Yilan", "Chiayi", "Lukang", "Yilan")
	homes := 0
	f.until("a home of each slice", func() bool {
		homes = 0
		for _, n := range f.nodes {
			homes += len(n.Status().Homes)
		}
		return homes == 6
	})
	for i, n := range f.nodes {
		q := wire.Query{RequestID: fmt.Sprint("r-", i), Kind: "lookup", Query: fmt.Sprint("q-", i)}
		var a wire.Answer
		status, failure := f.post(n, "/v1/services/"+testService+"/query", q, &a)
		is.Equal(status, http.StatusOK) // failure
		is.True(failure == nil)
		is.Equal(wrongAnswer(q, &a), "")
		is.Equal(len(a.Coverage.Covered), 12)
	}
	canaries := 0
	for _, n := range f.nodes {
		for _, d := range n.decisions.Explain("r-0") {
			if d.Name == "send canary" {
				canaries++
			}
		}
	}
	is.Equal(canaries, 1)
	load := f.traffic(4, 2, 0)
	load.more(200)
	load.stop()
	is.Equal(load.wrong, nil)
	is.Equal(load.refused, nil)
	is.Equal(load.lost, nil)
	load.checkOrders()
}
