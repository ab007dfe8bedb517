package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/wire"
)

// scenario holds synthetic exchanges and executions for the checker.
type scenario struct {
	*checker
	t    *testing.T
	node *process
}

var endTime = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// newScenario starts one server per shard, two shop servers and one of the office, and adds successful orders in the recovery window.
func newScenario(t *testing.T) *scenario {
	t.Helper()
	w := &world{recorder: newRecorder()}
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
	if err := w.startBackend(officeService, domains[0]); err != nil {
		t.Fatal(err)
	}
	s := &scenario{t: t, node: &process{name: "node-0", starts: 1}}
	w.nodes = []*process{s.node}
	s.checker = newChecker(w, &faultInjector{world: w}, endTime)
	for i := range 20 {
		s.order(fmt.Sprint("calm", i), endTime.Add(-2*time.Second))
	}
	return s
}

func (s *scenario) shop(i int) *backend { return s.world.backends[shards+i] }

func (s *scenario) office() *backend { return s.world.backends[len(s.world.backends)-1] }

// run records an execution of x on b.
func (s *scenario) run(x *exchange, b *backend) {
	s.runs[x.id] = append(s.runs[x.id], execution{fake.RoutedRun{
		At: x.at, RequestID: x.id, Method: http.MethodPost, URI: x.uri, Body: x.body,
	}, b})
}

// order adds an order that was executed once and answered successfully.
func (s *scenario) order(id string, at time.Time) *exchange {
	b := s.shop(0)
	x := &exchange{
		id: id, host: shopHost, uri: "/order/new", body: "x", node: s.node, nodeStart: 1, at: at, end: at.Add(time.Millisecond),
		status: http.StatusOK, header: http.Header{}, response: expectedBody(b, "/order/new"),
	}
	x.header.Set(wire.DefaultHeaders().Seal, fake.RoutedSeal(b.id(), id))
	s.world.recorder.add(x)
	s.run(x, b)
	return x
}

// search adds a successful search response merged from the first shards; parts is the number of shards.
func (s *scenario) search(parts int) *exchange {
	x := &exchange{
		id: "search", host: searchHost, uri: "/s/1", node: s.node, nodeStart: 1, at: endTime.Add(-2 * time.Second), end: endTime.Add(-2 * time.Second),
		status: http.StatusOK, header: http.Header{},
	}
	var seals []string
	var bodies [][]byte
	for _, b := range s.world.backends[:parts] {
		seals = append(seals, fake.RoutedSeal(b.id(), x.id))
		bodies = append(bodies, expectedBody(b, x.uri))
		s.run(x, b)
	}
	names := wire.DefaultHeaders()
	x.header.Set(names.PartSeals, strings.Join(seals, ","))
	x.header.Set(names.MissingParts, fmt.Sprint(shards-parts))
	x.response = gather.TopK(bodies, topK)
	s.world.recorder.add(x)
	return x
}

func (s *scenario) marker(version uint64, status int, at time.Time) {
	s.world.recorder.add(&exchange{id: fmt.Sprint("m", at), node: s.node, nodeStart: 1, at: at, end: at, status: status, markerVersion: version})
}

// Guards against checks that cannot fail: each violation must be reported, and permitted behavior must not be.
func TestChecksReportViolations(t *testing.T) {
	t.Parallel()
	early := endTime.Add(-time.Minute)
	tests := []struct {
		name string
		do   func(s *scenario)
		want string
	}{
		{"nothing", func(*scenario) {}, ""},
		{"whole answer", func(s *scenario) { s.search(shards) }, ""},
		{"partial answer", func(s *scenario) { s.search(4) }, ""},
		{"too little coverage", func(s *scenario) { s.search(3) }, "coverage"},
		{"wrong coverage", func(s *scenario) { s.search(4).header.Del(wire.DefaultHeaders().MissingParts) }, "coverage"},
		{"wrong records", func(s *scenario) { s.search(4).response[3]++ }, "mixed"},
		{"part of another request", func(s *scenario) { s.search(4).id = "other" }, "mixed"},
		{"answer cut off", func(s *scenario) { x := s.order("a", early); x.response = x.response[:9] }, "mixed"},
		{"order ran twice", func(s *scenario) { s.run(s.order("a", early), s.shop(1)) }, "twice"},
		{"order refused and run", func(s *scenario) { s.order("a", early).status = http.StatusServiceUnavailable }, "refused"},
		{"order failed and run", func(s *scenario) { s.order("a", early).status = http.StatusBadGateway }, ""},
		{"body changed", func(s *scenario) { s.order("a", early).body = "y" }, "changed"},
		{"wrong service", func(s *scenario) { s.run(s.search(4), s.shop(0)) }, "route"},
		{"unasked", func(s *scenario) { s.run(&exchange{id: "nobody"}, s.shop(0)) }, "unasked"},
		{"cut by a planned stop", func(s *scenario) {
			s.order("a", early).err = errors.New("EOF")
			s.faults.windows = []window{{"stop", "node-0", early.Add(-time.Second), early.Add(time.Second)}}
		}, "cut"},
		{"cut by a kill", func(s *scenario) {
			s.order("a", early).err = errors.New("EOF")
			s.faults.windows = []window{
				{"stop", "node-0", early.Add(-time.Second), early.Add(time.Second)}, {"kill", "", early, early.Add(time.Second)},
			}
		}, ""},
		{"server that left", func(s *scenario) {
			s.order("a", early)
			s.faults.changes = []*change{{version: 3, at: early.Add(-applyTime - time.Second), removedServer: s.shop(0).id(), revertedAt: early.Add(time.Second)}}
		}, "drain"},
		{"domain that is out", func(s *scenario) {
			s.order("a", early)
			s.faults.changes = []*change{{version: 3, at: early.Add(-applyTime - time.Second), drainedDomain: domains[0], revertedAt: early.Add(time.Second)}}
		}, "drain"},
		{"domain that is out while the platform is away", func(s *scenario) {
			s.order("a", early)
			s.faults.changes = []*change{{version: 3, at: early.Add(-applyTime - time.Second), drainedDomain: domains[0], revertedAt: early.Add(time.Second)}}
			s.faults.windows = []window{{"platform", "", early.Add(-5 * time.Second), early.Add(-2 * time.Second)}}
		}, ""},
		{"shard that was dropped", func(s *scenario) {
			s.search(5).header.Del(wire.DefaultHeaders().MissingParts)
			s.faults.changes = []*change{{version: 3, at: endTime.Add(-time.Minute), droppedShard: true, revertedAt: endTime}}
		}, ""},
		{"shard that was dropped and is missing", func(s *scenario) {
			s.search(5)
			s.faults.changes = []*change{{version: 3, at: endTime.Add(-time.Minute), droppedShard: true, revertedAt: endTime}}
		}, "coverage"},
		{"shard that is back", func(s *scenario) {
			s.search(5).header.Del(wire.DefaultHeaders().MissingParts)
			s.faults.changes = []*change{{version: 3, at: early, droppedShard: true, revertedAt: endTime.Add(-3 * time.Second).Add(-applyTime)}}
		}, "coverage"},
		{"payment ran twice", func(s *scenario) {
			x := s.order("a", early)
			x.host, x.uri = officeHost, paymentPrefix+"new"
			s.runs["a"] = nil
			s.run(x, s.office())
			s.run(x, s.office())
			x.status = http.StatusBadGateway
		}, "twice"},
		{"payment at the shop", func(s *scenario) {
			x := s.order("a", early)
			x.host, x.status = officeHost, http.StatusBadGateway
		}, "route"},
		{"older version again", func(s *scenario) {
			s.marker(3, http.StatusOK, early)
			s.marker(2, http.StatusNotFound, early.Add(time.Second))
		}, "reversal"},
		{"version that is late", func(s *scenario) {
			s.faults.changes = []*change{{version: 3, at: early}}
			s.marker(3, http.StatusNotFound, early.Add(applyTime+time.Millisecond))
		}, "late"},
		{"version in time", func(s *scenario) {
			s.faults.changes = []*change{{version: 3, at: early}}
			s.marker(3, http.StatusNotFound, early.Add(applyTime))
		}, ""},
		{"no recovery", func(s *scenario) {
			for i := range 5 {
				s.order(fmt.Sprint("late", i), endTime.Add(-2*time.Second)).status = http.StatusGatewayTimeout
			}
		}, "recovery"},
		{"process that ended", func(s *scenario) { s.node.unexpectedExits = []string{"node-0: exit status 2"} }, "ended by itself"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newScenario(t)
			x.do(s)
			broken := strings.Join(s.check(), "\n")
			t.Log(broken)
			is.Equal(broken == "", x.want == "")
			is.True(strings.Contains(broken, x.want))
		})
	}
}
