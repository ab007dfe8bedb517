package serve

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// maxConfigDelay is the required time within which a change is active on all of 9 nodes.
const maxConfigDelay = 2 * time.Second

// waitForVersion waits until the version is active on all nodes and returns the time that took.
func (f *testFleet) waitForVersion(version uint64) time.Duration {
	f.t.Helper()
	begin := time.Now()
	f.eventually(fmt.Sprint("version ", version), func() bool {
		for _, n := range f.nodes {
			if n.Status().Version != version {
				return false
			}
		}
		return true
	})
	return time.Since(begin)
}

// A change must reach all nodes in time, no node may go back to an older version, and the preset in a status must match
// its version.
func TestConfigurationReachesAllNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{}, "Lukang", "Lukang", "Lukang", "Yilan", "Yilan", "Yilan", "Chiayi", "Chiayi", "Chiayi")
	presets := []string{"ordinary", "peak", "maintenance"}
	var wait sync.WaitGroup
	done := make(chan bool)
	for _, n := range f.nodes {
		wait.Go(func() {
			for last := uint64(0); ; {
				s := n.Status()
				if want := presets[(s.Version-1)%3]; s.Preset != want || s.Version < last {
					t.Errorf("%s: got version %d after %d with preset %s, want preset %s", s.Name, s.Version, last, s.Preset, want)
				}
				last = s.Version
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
	for v := uint64(2); v <= 6; v++ {
		is.NoErr(f.Update(func(d *conf.Document) { d.Preset = presets[(v-1)%3] }))
		is.True(f.waitForVersion(v) < maxConfigDelay)
	}
	close(done)
	wait.Wait()
}

// An invalid document must change nothing and must be reported, and a second document with the same version must not
// replace the first.
func TestConfigurationFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{}, "Lukang", "Yilan", "Chiayi")
	bad := f.Document()
	bad.Version, bad.Preset = 2, "festival"
	raw, err := json.Marshal(bad)
	is.NoErr(err)
	is.NoErr(f.Platform.PublishRaw(raw))
	f.eventually("the configuration fault in the status of each node", func() bool {
		reported := 0
		for _, n := range f.nodes {
			s := n.Status()
			is.Equal(s.Version, uint64(1))
			is.Equal(s.Preset, "ordinary")
			if s.ConfigFault != "" {
				reported++
			}
		}
		return reported == len(f.nodes) // each node is a reader of its domain
	})
	good := f.Document()
	good.Version, good.Preset = 3, "peak"
	is.NoErr(f.Platform.Publish(good))
	f.waitForVersion(3)
	for _, n := range f.nodes {
		is.Equal(n.Status().ConfigFault, "")
	}
	other := f.Document()
	other.Version, other.Preset = 3, "maintenance"
	is.True(f.nodes[0].install(other, "test") != nil)
	is.True(f.nodes[0].Status().ConfigFault != "")
	is.Equal(f.nodes[0].Status().Preset, "peak")
	// An isolated node installed a different document with the same version.
	split, err := fake.NewPlatform(fake.PlatformConfig{Document: other})
	is.NoErr(err)
	url := serveHandler(t, split)
	isolated := f.startWith("isolated", "Lukang", func(s *conf.Settings) { s.Platform = url })
	f.eventually("the isolated node ready", isolated.Ready)
	split.SetVMs(f.Platform.VMs())
	f.eventually("the conflict in the status of the isolated node", func() bool { return isolated.Status().ConfigFault != "" })
	f.eventually("the conflict in the status of a peer", func() bool {
		return f.nodes[1].Status().ConfigFault != "" || f.nodes[2].Status().ConfigFault != ""
	})
	is.Equal(isolated.Status().Preset, "maintenance")
	for _, n := range f.nodes[:3] {
		is.Equal(n.Status().Preset, "peak")
	}
	good.Version, good.Preset = 4, "ordinary"
	is.NoErr(f.Platform.Publish(good))
	f.waitForVersion(4)
}

// installedVersions returns a function that lists the versions in the configuration history of the node.
func installedVersions(t *testing.T, n *Node) func() []uint64 {
	t.Helper()
	return func() []uint64 {
		n.installMu.Lock()
		defer n.installMu.Unlock()
		var list []uint64
		for _, v := range n.history {
			list = append(list, v.catalog.Document.Version)
		}
		return list
	}
}

// A new node must not activate an older document than its peers have while the platform is stale or down, and a node
// that cannot communicate with its peers must not serve.
func TestNewNodeConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{}, "Lukang", "Yilan", "Chiayi")
	for v := uint64(2); v <= 3; v++ {
		is.NoErr(f.Update(func(d *conf.Document) { d.Preset = "peak" }))
		f.waitForVersion(v)
	}
	f.Platform.SetFaults(fake.PlatformFaults{Stale: 1})
	stale := f.start("stale", "Lukang")
	versions := installedVersions(t, stale)
	f.eventually("ready with a stale platform", stale.Ready)
	is.Equal(versions(), []uint64{3})
	f.Platform.SetFaults(fake.PlatformFaults{Down: true})
	down := f.start("down", "Yilan")
	isolated := f.startWith("isolated", "Chiayi", func(s *conf.Settings) {
		s.FleetKeys = []string{"ff0102030405060708090a0b0c0d0e0f"}
	})
	var a wire.Answer
	for _, n := range []*Node{down, isolated} {
		status, v := f.post(n, "/v1/services/service-0/query", wire.Query{Kind: "lookup", Query: "q"}, &a)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(v.Reason, wire.ReasonNotReady)
		is.True(v.NotRun)
	}
	f.Platform.SetFaults(fake.PlatformFaults{Stale: 2})
	f.eventually("ready after the platform was down", down.Ready)
	is.Equal(installedVersions(t, down)(), []uint64{3})
	is.True(!isolated.Ready())
	f.eventually("peers refuse requests of the isolated node", func() bool {
		return f.nodes[0].Status().Control.WrongKey+f.nodes[1].Status().Control.WrongKey > 0
	})
	is.True(!isolated.Ready())
}

// Requests without access rights and invalid bodies must be refused with a specific reason and must not reach a
// backend server.
func TestAccess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Services: 2}, "Lukang", "Yilan", "Chiayi")
	is.NoErr(f.Update(func(d *conf.Document) { d.Callers[0].Services = []string{testService} }))
	f.waitForVersion(2)
	f.leaseHolder()
	query := []byte(`{"Kind":"lookup","Query":"q"}`)
	order := []byte(`{"Key":"k","Kind":"order","Body":{}}`)
	large := append(append([]byte(`{"Kind":"lookup","Query":"`), bytes.Repeat([]byte("x"), 1<<20)...), `"}`...)
	for _, c := range []struct {
		name, key, path string
		body            []byte
		status          int
		reason          wire.Reason
	}{
		{"no key", "", "/v1/services/service-0/query", query, 401, wire.ReasonUnauthorized},
		{"unknown key", "other", "/v1/services/service-0/query", query, 401, wire.ReasonUnauthorized},
		{"unknown key, order", "other", "/v1/services/service-0/orders", order, 401, wire.ReasonUnauthorized},
		{"other service", fake.CallerKey, "/v1/services/service-1/query", query, 403, wire.ReasonForbidden},
		{"other service, keys", fake.CallerKey, "/v1/services/service-1/order-keys", []byte(`{"Count":1}`), 403, wire.ReasonForbidden},
		{"other service, order", fake.CallerKey, "/v1/services/service-1/orders", order, 403, wire.ReasonForbidden},
		{"unknown path", fake.CallerKey, "/v1/services/service-0/none", query, 404, wire.ReasonNotFound},
		{"unknown kind", fake.CallerKey, "/v1/services/service-0/query", []byte(`{"Kind":"none","Query":"q"}`), 400, wire.ReasonBadRequest},
		{"order as a query", fake.CallerKey, "/v1/services/service-0/query", []byte(`{"Kind":"order","Query":"q"}`), 400, wire.ReasonBadRequest},
		{"query as an order", fake.CallerKey, "/v1/services/service-0/orders", []byte(`{"Key":"k","Kind":"lookup","Body":{}}`), 400, wire.ReasonBadRequest},
		{"bad key", fake.CallerKey, "/v1/services/service-0/orders", order, 400, wire.ReasonBadRequest},
		{"bad JSON", fake.CallerKey, "/v1/services/service-0/query", []byte(`{"Kind":`), 400, wire.ReasonBadRequest},
		{"unknown field", fake.CallerKey, "/v1/services/service-0/query", []byte(`{"Kind":"lookup","Qery":"q"}`), 400, wire.ReasonBadRequest},
		{"two values", fake.CallerKey, "/v1/services/service-0/query", append(query[:len(query):len(query)], query...), 400, wire.ReasonBadRequest},
		{"too large", fake.CallerKey, "/v1/services/service-0/query", large, 413, wire.ReasonTooLarge},
		{"too many keys", fake.CallerKey, "/v1/services/service-0/order-keys", []byte(`{"Count":101}`), 400, wire.ReasonBadRequest},
	} {
		for _, n := range f.nodes {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.CallerAddress().String()+c.path, bytes.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				q.Header.Set("Authorization", "Bearer "+c.key)
			}
			status, v := f.send(q, nil)
			if status != c.status || v == nil || v.Reason != c.reason {
				t.Errorf("%s: got status %d, %v", c.name, status, v)
			}
		}
	}
	is.Equal(f.sumRecords(func(r fake.Record) int { return r.Received }), 0)
}
