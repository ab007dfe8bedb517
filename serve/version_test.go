package serve

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
)

// splitIndex returns an index in which each shard of x is split in two on the same servers.
func splitIndex(x conf.Index, version string) conf.Index {
	next := conf.Index{Version: version}
	for _, s := range x.Shards {
		for _, half := range []string{"a", "b"} {
			next.Shards = append(next.Shards, conf.Shard{Name: s.Name + half, Servers: s.Servers})
		}
	}
	return next
}

// serverIndexes returns the shards of the indexes that are assigned to the server.
func serverIndexes(s *fake.Server, indexes ...conf.Index) []fake.ServerIndex {
	var list []fake.ServerIndex
	for _, x := range indexes {
		h := fake.ServerIndex{Version: x.Version}
		for _, v := range x.Shards {
			if slices.Contains(v.Servers, s.Address()) {
				h.Shards = append(h.Shards, v.Name)
			}
		}
		list = append(list, h)
	}
	return list
}

func (f *testFleet) setIndexes(indexes ...conf.Index) {
	for _, s := range f.Servers() {
		s.SetIndexes(serverIndexes(s, indexes...))
	}
}

// While indexes change on the servers before and after the document, no answer may mix two index versions or
// partitionings, report a wrong coverage or be planned more than twice.
func TestIndexVersionsChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Slices: 2, Servers: 6}, "Lukang", "Yilan", "Chiayi")
	v1 := f.Document().Services[0].Indexes[0]
	v2 := splitIndex(v1, "v2")
	publish := func(list ...conf.Index) {
		is.NoErr(f.Update(func(d *conf.Document) { d.Services[0].Indexes = list }))
	}
	load := f.startTraffic(6, 0, 0)
	load.waitForAnswers(100)
	// The document is ahead of the servers, so each query is planned again on v1.
	publish(v2, v1)
	f.eventually("a query planned again", func() bool {
		load.mu.Lock()
		defer load.mu.Unlock()
		return f.replans(load.ids[max(0, len(load.ids)-20):]) > 0
	})
	load.waitForAnswers(100)
	f.setIndexes(v2, v1)
	load.waitForAnswers(100)
	// The servers remove v1 one after the other.
	for _, s := range f.Servers() {
		s.SetIndexes(serverIndexes(s, v2))
		load.waitForAnswers(20)
	}
	publish(v2)
	load.waitForAnswers(100)
	load.stop()
	is.Equal(load.incorrect, nil)
	is.Equal(load.failedQueries, nil)
	is.True(load.versions["v1"] >= 200)
	is.True(load.versions["v2"] >= 200)
	// MinCoverage of the kind is below 1, but no answer may lack a shard.
	is.Equal(load.covered, 4*load.versions["v1"]+8*load.versions["v2"])
	is.True(f.replans(load.ids) > 0)
}

// replans counts the requests that were planned again. It fails the test if one node planned a request again more than
// once.
func (f *testFleet) replans(ids []string) int {
	f.t.Helper()
	count := 0
	for _, id := range ids {
		for _, n := range f.nodes {
			plans := 0
			for _, d := range n.decisions.Explain(id) {
				if d.Name == "plan again" {
					plans++
				}
			}
			count += plans
			if plans > 1 {
				f.t.Fatal(fmt.Sprint(id, " was planned again ", plans, " times"))
			}
		}
	}
	return count
}

// A shard response must not be merged if it has the ID of another request or another version, is truncated, late, or
// received as the response to the next request on its connection.
func TestWrongAnswersAreNotMerged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	for _, s := range f.Servers() {
		s.SetFaults(fake.ServerFaults{WrongRequest: 0.02, WrongVersion: 0.02, Truncate: 0.02, Duplicate: 0.01, Hang: 0.002})
	}
	load := f.startTraffic(8, 2, 0)
	load.waitForAnswers(150)
	load.stop()
	is.Equal(load.incorrect, nil)
	load.checkOrders()
	invalid := 0
	for _, id := range load.ids {
		for _, n := range f.nodes {
			for _, d := range n.decisions.Explain(id) {
				if d.Name == "failed Invalid" {
					invalid++
				}
			}
		}
	}
	t.Logf("%d answers, %d refused, %d orders, %d invalid shard answers", load.answered, len(load.failedQueries), len(load.orders), invalid)
	is.True(invalid > 20)
}
