package table

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/wire"
)

func config() *Config {
	return &Config{
		Version: 7,
		Routes: []Route{
			{Name: "root", Host: "ledger.example", Prefix: "/", Targets: []Target{{Service: "ledger", Weight: 1}}},
			{Name: "stock", Host: "ledger.example", Prefix: "/stock/", Shards: []string{"a", "b"}, TopK: 5},
			{Name: "deep", Host: "ledger.example", Prefix: "/stock/deep/", Targets: []Target{{Service: "ledger", Weight: 1}}},
			{Name: "split", Host: "Board.example", Prefix: "/b/", Targets: []Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}},
		},
		Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "ledger", Connections: 25}},
	}
}

// Guards against a shorter prefix that takes precedence over a longer one, and against hosts that do not match
// because of their case or port.
func TestMatch(t *testing.T) {
	t.Parallel()
	table := New(config())
	for _, c := range []struct{ host, path, want string }{
		{"ledger.example", "/", "root"},
		{"ledger.example", "/stock", "root"},
		{"ledger.example", "/stock/", "stock"},
		{"ledger.example", "/stock/x/y", "stock"},
		{"ledger.example", "/stock/deep/x", "deep"},
		{"ledger.example", "/stock/deeper", "stock"},
		{"ledger.example", "/stock/deep/" + strings.Repeat("/", 1000), "deep"},
		{"ledger.example", "/stock/dee//" + strings.Repeat("/", 1000), "stock"},
		{"LEDGER.example:8080", "/stock/1", "stock"},
		{"board.example", "/b/1", "split"},
		{"board.example", "/c/1", ""},
		{"other.example", "/", ""},
		{"ledger.example", "stock", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r := table.Match(c.host, c.path)
			if c.want == "" {
				is.True(r == nil)
				return
			}
			is.True(r != nil)
			is.Equal(r.Name, c.want)
		})
	}
}

// Guards against invalid configurations that pass the check.
func TestCheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.NoErr(config().Check())
	for name, invalidate := range map[string]func(*Config){
		"duplicate service":     func(c *Config) { c.Services = append(c.Services, Service{Name: "a"}) },
		"service without name":  func(c *Config) { c.Services[0].Name = "" },
		"no host":               func(c *Config) { c.Routes[0].Host = "" },
		"no slash at the end":   func(c *Config) { c.Routes[0].Prefix = "/x" },
		"no slash at the start": func(c *Config) { c.Routes[0].Prefix = "x/" },
		"targets and shards":    func(c *Config) { c.Routes[1].Targets = c.Routes[0].Targets },
		"no targets or shards":  func(c *Config) { c.Routes[0].Targets = nil },
		"unknown target":        func(c *Config) { c.Routes[0].Targets[0].Service = "x" },
		"negative weight":       func(c *Config) { c.Routes[3].Targets[0].Weight = -1 },
		"weights all 0":         func(c *Config) { c.Routes[0].Targets[0].Weight = 0 },
		"unknown shard":         func(c *Config) { c.Routes[1].Shards[0] = "x" },
		"duplicate shard":       func(c *Config) { c.Routes[1].Shards[0] = "b" },
		"coverage above 1":      func(c *Config) { c.Routes[1].MinCoverage = 1.1 },
		"negative timeout":      func(c *Config) { c.Routes[1].Timeout = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := config()
			invalidate(c)
			is.True(c.Check() != nil)
		})
	}
}

// Guards against a request that takes longer than the timeout of its route or of its caller.
func TestDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(0, 0)
	r := Route{Timeout: wire.Duration(2 * time.Second)}
	is.Equal(r.Deadline(now, 0), now.Add(2*time.Second))
	is.Equal(r.Deadline(now, time.Second), now.Add(time.Second))
	is.Equal(r.Deadline(now, 3*time.Second), now.Add(2*time.Second))
	r.Timeout = 0
	is.Equal(r.Deadline(now, 0), now.Add(DefaultTimeout))
}

// Guards against a distribution that drifts from the weights: after any number of requests, the count of each
// service differs from its share by at most one request for each target of the route.
func TestSplitFollowsWeights(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 10), 2, 5).Draw(t, "weights")
		r := &Route{Name: "r"}
		total := 0.0
		for i, w := range weights {
			r.Targets = append(r.Targets, Target{Service: fmt.Sprint(i), Weight: w})
			total += w
		}
		s := NewSplitter()
		counts := make(map[string]float64)
		n := rapid.IntRange(1, 400).Draw(t, "requests")
		for range n {
			counts[s.Next(r)]++
		}
		for i, w := range weights {
			if d := math.Abs(counts[fmt.Sprint(i)] - float64(n)*w/total); d > float64(len(weights)) {
				t.Fatalf("service %d is %.1f requests off its share of %d requests", i, d, n)
			}
		}
	})
}

// Guards against a splitter that sends requests to a service which is no longer a target of the route.
func TestSplitFollowsConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := config()
	s := NewSplitter()
	for range 10 {
		s.Next(&c.Routes[3])
	}
	c.Routes[3].Targets = []Target{{Service: "b", Weight: 1}, {Service: "ledger", Weight: 1}}
	s.Prune(New(c))
	for range 10 {
		is.True(s.Next(&c.Routes[3]) != "a")
	}
}

// Guards against a node that applies deltas and then has another configuration than a node that reads it in
// full.
func TestDeltaYieldsNewerConfiguration(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		older, newer := drawConfig(t, "older", 1), drawConfig(t, "newer", 2)
		got, err := Diff(older, newer).Apply(older)
		if err != nil {
			t.Fatal(err)
		}
		sortConfig(got)
		sortConfig(newer)
		if !reflect.DeepEqual(got, newer) {
			t.Fatalf("got %+v, want %+v", got, newer)
		}
		other := *older
		other.Version = 9
		if _, err := Diff(older, newer).Apply(&other); err == nil {
			t.Fatal("a delta was applied to another version")
		}
	})
}

func drawConfig(t *rapid.T, label string, version uint64) *Config {
	c := &Config{Version: version, Limits: Limits{BodyBytes: rapid.IntRange(1, 9).Draw(t, label+" limit")}}
	for _, name := range rapid.SliceOfDistinct(rapid.StringMatching("[a-f]"), rapid.ID[string]).Draw(t, label+" services") {
		c.Services = append(c.Services, Service{Name: name, Connections: rapid.IntRange(1, 2).Draw(t, label+" cap")})
	}
	for _, name := range rapid.SliceOfDistinct(rapid.StringMatching("[a-f]"), rapid.ID[string]).Draw(t, label+" routes") {
		c.Routes = append(c.Routes, Route{Name: name, Host: "h", Prefix: "/" + name + "/", TopK: rapid.IntRange(1, 2).Draw(t, label+" k")})
	}
	return c
}

func sortConfig(c *Config) {
	slices.SortFunc(c.Routes, func(a, b Route) int { return compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return compare(a.Name, b.Name) })
	if len(c.Routes) == 0 {
		c.Routes = nil
	}
	if len(c.Services) == 0 {
		c.Services = nil
	}
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}
