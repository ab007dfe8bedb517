package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// testFleet is a platform with backend servers and nodes on the loopback interface.
type testFleet struct {
	*fake.Fleet
	t       *testing.T
	nodes   []*Node
	cancels map[*Node]context.CancelFunc
}

func startFleet(t *testing.T, layout fake.Layout, domains ...string) *testFleet {
	t.Helper()
	return startFleetWith(t, layout, fake.ServerConfig{StartWarm: true}, domains...)
}

func startFleetWith(t *testing.T, layout fake.Layout, server fake.ServerConfig, domains ...string) *testFleet {
	t.Helper()
	return startFleetSettings(t, layout, server, func(*conf.Settings) {}, domains...)
}

func startFleetSettings(
	t *testing.T, layout fake.Layout, server fake.ServerConfig, change func(*conf.Settings), domains ...string,
) *testFleet {
	t.Helper()
	f, err := fake.StartFleet(t.Context(), fake.FleetConfig{Layout: layout, Server: server, Seed: 1})
	is.New(t).NoErr(err)
	v := &testFleet{Fleet: f, t: t, cancels: map[*Node]context.CancelFunc{}}
	t.Cleanup(v.close)
	for i, d := range domains {
		v.startWith(fmt.Sprintf("node-%d", i), d, change)
	}
	v.publishNodes()
	for _, n := range v.nodes {
		v.eventually(n.settings.Name+" ready", n.Ready)
	}
	want := max(1, layout.Services) * max(1, layout.Slices)
	v.eventually("a lease holder for each slice", func() bool {
		holders := 0
		for _, n := range v.nodes {
			holders += len(n.Status().Slices)
		}
		return holders == want
	})
	return v
}

func (f *testFleet) start(name, domain string) *Node {
	return f.startWith(name, domain, func(*conf.Settings) {})
}

func (f *testFleet) startWith(name, domain string, change func(*conf.Settings)) *Node {
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	s := &conf.Settings{
		Name: name, FailureDomain: domain, Region: "region", CallerAddress: any0, PeerAddress: any0, OpsAddress: any0,
		Platform: f.URL, FleetKeys: []string{"000102030405060708090a0b0c0d0e0f"},
		AddressTTL: wire.Duration(200 * time.Millisecond),
		Limits: conf.Limits{
			BodyBytes: 1 << 20, AnswerBytes: 1 << 20, TopK: 100, CallerConnections: 100, OrderKeyBatch: 100, OrderKeys: 100_000,
			Decisions: 1000,
		},
	}
	change(s)
	level := slog.LevelError + 1
	n, err := New(Config{Settings: s, Log: slog.New(slog.NewTextHandler(f.t.Output(), &slog.HandlerOptions{Level: level}))})
	is.New(f.t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Run(ctx) }()
	f.nodes = append(f.nodes, n)
	f.cancels[n] = cancel
	return n
}

func (f *testFleet) publishNodes() {
	var vms []wire.VM
	for _, n := range f.nodes {
		vms = append(vms, wire.VM{Address: n.PeerAddress(), Role: wire.RoleEntry, FailureDomain: n.settings.FailureDomain, State: wire.VMLive})
	}
	f.SetEntryVMs(vms)
}

func (f *testFleet) close() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.Close()
}

// eventually waits until the condition holds and fails the test after 30 s. The limit allows for slow machines;
// tests of a time bound measure the time themselves.
func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("condition not met within 30 s: %s", what)
}

func (f *testFleet) post(n *Node, path string, body, answer any) (int, *wire.Failure) {
	f.t.Helper()
	raw, err := json.Marshal(body)
	is.New(f.t).NoErr(err)
	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+n.CallerAddress().String()+path, bytes.NewReader(raw))
	is.New(f.t).NoErr(err)
	q.Header.Set("Authorization", "Bearer "+fake.CallerKey)
	return f.send(q, answer)
}

// send sends a request and decodes a successful response into answer. For other statuses it returns the decoded
// failure.
func (f *testFleet) send(q *http.Request, answer any) (int, *wire.Failure) {
	f.t.Helper()
	r, err := http.DefaultClient.Do(q)
	is.New(f.t).NoErr(err)
	defer r.Body.Close()
	got, err := io.ReadAll(r.Body)
	is.New(f.t).NoErr(err)
	if r.StatusCode != http.StatusOK {
		v := &wire.Failure{}
		is.New(f.t).NoErr(json.Unmarshal(got, v))
		return r.StatusCode, v
	}
	is.New(f.t).NoErr(json.Unmarshal(got, answer))
	return r.StatusCode, nil
}

// A query through any node must succeed, with the hits of all shards and of one index version.
func TestQueryThroughEachNode(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fake.Layout{Services: 2, Shards: 4}, "Lukang", "Yilan", "Chiayi")
	for i, n := range f.nodes {
		var a wire.Answer
		f.eventually("answer", func() bool {
			status, v := f.post(n, "/v1/services/service-0/query", wire.Query{Kind: "lookup", Query: fmt.Sprint("q", i)}, &a)
			if v != nil {
				t.Log(status, v)
			}
			return status == http.StatusOK
		})
		is.Equal(a.IndexVersion, "v1")
		is.Equal(len(a.Coverage.Covered), 4)
		is.Equal(len(a.Hits), 10)
	}
}
