package serve

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// A query across slices with lease holders on several nodes must not lose or duplicate the part of a slice, and must
// run its canary on one slice only.
func TestQueryAcrossSlices(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Services: 2, Slices: 3, Shards: 12, Servers: 6}, "Lukang", "Yilan", "Chiayi", "Lukang", "Yilan")
	holders := 0
	f.eventually("a lease holder for each slice", func() bool {
		holders = 0
		for _, n := range f.nodes {
			holders += len(n.Status().Slices)
		}
		return holders == 6
	})
	for i, n := range f.nodes {
		q := wire.Query{RequestID: fmt.Sprint("r-", i), Kind: "lookup", Query: fmt.Sprint("q-", i)}
		var a wire.Answer
		status, failure := f.post(n, "/v1/services/"+testService+"/query", q, &a)
		is.Equal(status, http.StatusOK) // failure
		is.True(failure == nil)
		is.Equal(answerError(q, &a), "")
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
	load := f.startTraffic(4, 2, 0)
	load.waitForAnswers(200)
	load.stop()
	is.Equal(load.incorrect, nil)
	is.Equal(load.failedQueries, nil)
	is.Equal(load.failedOrders, nil)
	load.checkOrders()
}
