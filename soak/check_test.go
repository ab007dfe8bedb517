package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

// scene is what callers and servers have seen, made up for a check.
type scene struct {
	*checker
	t    *testing.T
	node *process
}

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// newScene has a server for each shard and two for the shop, and answers in the calm time.
func newScene(t *testing.T) *scene {
	t.Helper()
	w := &world{record: newRecord()}
	t.Cleanup(w.close)
	for i := range shards {
		if err := w.startBackend(fmt.Sprint("shard-", i), domains[0]); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range domains[:2] {
		if err := w.startBackend("shop", d); err != nil {
			t.Fatal(err)
		}
	}
	s := &scene{t: t, node: &process{name: "node-0", starts: 1}}
	w.nodes = []*process{s.node}
	s.checker = newChecker(w, &faults{world: w})
	s.end = noon
	for i := range 20 {
		s.order(fmt.Sprint("calm", i), noon.Add(-2*time.Second))
	}
	return s
}

func (s *scene) shop(i int) *backend { return s.world.backends[shards+i] }

// run adds an execution.
func (s *scene) run(x *exchange, b *backend) {
	s.runs[x.id] = append(s.runs[x.id], execution{stand.RoutedRun{
		At: x.at, RequestID: x.id, Method: http.MethodPost, URI: x.uri, Body: x.body,
	}, b})
}

// order adds an order that ran and was answered.
func (s *scene) order(id string, at time.Time) *exchange {
	b := s.shop(0)
	x := &exchange{
		id: id, host: shopHost, uri: "/order/new", body: "x", node: s.node, run: 1, at: at, end: at.Add(time.Millisecond),
		status: http.StatusOK, header: http.Header{}, answer: records(b, "/order/new"),
	}
	x.header.Set(wire.DefaultHeaders().Seal, stand.Seal(b.id(), id))
	s.world.record.add(x)
	s.run(x, b)
	return x
}

// search adds an answer with the parts of the first shards.
func (s *scene) search(parts int) *exchange {
	x := &exchange{
		id: "search", host: searchHost, uri: "/s/1", node: s.node, run: 1, at: noon.Add(-2 * time.Second), end: noon.Add(-2 * time.Second),
		status: http.StatusOK, header: http.Header{},
	}
	var seals []string
	var bodies [][]byte
	for _, b := range s.world.backends[:parts] {
		seals = append(seals, stand.Seal(b.id(), x.id))
		bodies = append(bodies, records(b, x.uri))
		s.run(x, b)
	}
	names := wire.DefaultHeaders()
	x.header.Set(names.PartSeals, strings.Join(seals, ","))
	x.header.Set(names.MissingParts, fmt.Sprint(shards-parts))
	x.answer = gather.TopK(bodies, topK)
	s.world.record.add(x)
	return x
}

func (s *scene) marker(version uint64, status int, at time.Time) {
	s.world.record.add(&exchange{id: fmt.Sprint("m", at), node: s.node, run: 1, at: at, end: at, status: status, markerOf: version})
}

// Guards against checks that cannot fail: each broken promise must be reported, and what is allowed must
// not be.
func TestChecksCatchBrokenPromises(t *testing.T) {
	t.Parallel()
	early := noon.Add(-time.Minute)
	tests := []struct {
		name string
		do   func(s *scene)
		want string
	}{
		{"nothing", func(*scene) {}, ""},
		{"whole answer", func(s *scene) { s.search(shards) }, ""},
		{"partial answer", func(s *scene) { s.search(4) }, ""},
		{"too little coverage", func(s *scene) { s.search(3) }, "coverage"},
		{"wrong coverage", func(s *scene) { s.search(4).header.Del(wire.DefaultHeaders().MissingParts) }, "coverage"},
		{"wrong records", func(s *scene) { s.search(4).answer[3]++ }, "mixed"},
		{"part of another request", func(s *scene) { s.search(4).id = "other" }, "mixed"},
		{"answer cut off", func(s *scene) { x := s.order("a", early); x.answer = x.answer[:9] }, "mixed"},
		{"order ran twice", func(s *scene) { s.run(s.order("a", early), s.shop(1)) }, "twice"},
		{"order refused and run", func(s *scene) { s.order("a", early).status = http.StatusServiceUnavailable }, "refused"},
		{"order failed and run", func(s *scene) { s.order("a", early).status = http.StatusBadGateway }, ""},
		{"body changed", func(s *scene) { s.order("a", early).body = "y" }, "changed"},
		{"wrong service", func(s *scene) { s.run(s.search(4), s.shop(0)) }, "route"},
		{"unasked", func(s *scene) { s.run(&exchange{id: "nobody"}, s.shop(0)) }, "unasked"},
		{"cut by a planned stop", func(s *scene) {
			s.order("a", early).err = errors.New("EOF")
			s.faults.windows = []window{{"stop", "node-0", early.Add(-time.Second), early.Add(time.Second)}}
		}, "cut"},
		{"cut by a kill", func(s *scene) {
			s.order("a", early).err = errors.New("EOF")
			s.faults.windows = []window{
				{"stop", "node-0", early.Add(-time.Second), early.Add(time.Second)}, {"kill", "", early, early.Add(time.Second)},
			}
		}, ""},
		{"server that left", func(s *scene) {
			s.order("a", early)
			s.faults.changes = []*change{{version: 3, at: early.Add(-applyTime - time.Second), gone: s.shop(0).id(), back: early.Add(time.Second)}}
		}, "drain"},
		{"domain that is out", func(s *scene) {
			s.order("a", early)
			s.faults.changes = []*change{{version: 3, at: early.Add(-applyTime - time.Second), out: domains[0], back: early.Add(time.Second)}}
		}, "drain"},
		{"domain that is out while the platform is away", func(s *scene) {
			s.order("a", early)
			s.faults.changes = []*change{{version: 3, at: early.Add(-applyTime - time.Second), out: domains[0], back: early.Add(time.Second)}}
			s.faults.windows = []window{{"platform", "", early.Add(-5 * time.Second), early.Add(-2 * time.Second)}}
		}, ""},
		{"older version again", func(s *scene) {
			s.marker(3, http.StatusOK, early)
			s.marker(2, http.StatusNotFound, early.Add(time.Second))
		}, "reversal"},
		{"version that is late", func(s *scene) {
			s.faults.changes = []*change{{version: 3, at: early}}
			s.marker(3, http.StatusNotFound, early.Add(applyTime+time.Millisecond))
		}, "late"},
		{"version in time", func(s *scene) {
			s.faults.changes = []*change{{version: 3, at: early}}
			s.marker(3, http.StatusNotFound, early.Add(applyTime))
		}, ""},
		{"no recovery", func(s *scene) {
			for i := range 5 {
				s.order(fmt.Sprint("late", i), noon.Add(-2*time.Second)).status = http.StatusGatewayTimeout
			}
		}, "recovery"},
		{"process that ended", func(s *scene) { s.node.exits = []string{"node-0: exit status 2"} }, "ended by itself"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newScene(t)
			x.do(s)
			broken := strings.Join(s.check(), "\n")
			t.Log(broken)
			is.Equal(broken == "", x.want == "")
			is.True(strings.Contains(broken, x.want))
		})
	}
}
