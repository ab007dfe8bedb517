package feed

import (
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// server returns a server whose address is derived from the first byte of its ID.
func server(id string) *Server {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, id[0]}), 1)
	return &Server{ID: id, Service: "s", Address: address, FailureDomain: "d", Slots: 2}
}

func ids(v View) []string {
	var list []string
	for _, s := range v.Servers {
		list = append(list, s.ID)
	}
	return list
}

func apply(t *testing.T, s *State, at time.Duration, d Delta) bool {
	t.Helper()
	changed, err := s.Apply(epoch.Add(at), d)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// Guards against a server that stays in use after its entry was removed, and against one that is dropped although its
// entry may only have lapsed.
func TestRemovedServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	apply(t, s, 0, Delta{Full: true, To: 3, Changes: []Change{
		{Revision: 1, Server: server("a")}, {Revision: 2, Server: server("b")}, {Revision: 3, Server: server("c")},
	}})
	apply(t, s, 0, Delta{From: 3, To: 5, Changes: []Change{
		{Revision: 4, Removed: "a"}, {Revision: 5, Removed: "b", Lapsed: true},
	}})
	v := s.View(epoch)
	is.Equal(ids(v), []string{"b", "c"})
	is.True(v.Servers[0].Lapsed)
	is.Equal(v.NextExpiry, epoch.Add(lapseHoldTime))
	is.Equal(ids(s.View(epoch.Add(lapseHoldTime))), []string{"c"})
}

// Guards against a lapsed server that is dropped after it has registered again.
func TestLapsedServerReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	apply(t, s, 0, Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Server: server("a")}}})
	apply(t, s, 0, Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Removed: "a", Lapsed: true}}})
	apply(t, s, time.Second, Delta{From: 2, To: 3, Changes: []Change{{Revision: 3, Server: server("a")}}})
	v := s.View(epoch.Add(lapseHoldTime + time.Second))
	is.Equal(ids(v), []string{"a"})
	is.True(!v.Servers[0].Lapsed)
}

// Guards against requests to a stopped server that is still listed although its address has been reassigned.
func TestAddressHasOneHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	next := server("b")
	next.Address = server("a").Address
	apply(t, s, 0, Delta{Full: true, To: 2, Changes: []Change{{Revision: 1, Server: server("a")}, {Revision: 2, Server: next}}})
	is.Equal(ids(s.View(epoch)), []string{"b"})
	apply(t, s, 0, Delta{From: 2, To: 3, Changes: []Change{{Revision: 3, Removed: "b"}}})
	is.Equal(ids(s.View(epoch)), []string{"a"})
}

// Guards against a draining server that receives new requests because its removal is treated as a lapsed entry.
func TestDrainingServerDoesNotLapse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	a := server("a")
	a.Draining = true
	apply(t, s, 0, Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Server: a}}})
	apply(t, s, 0, Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Removed: "a", Lapsed: true}}})
	is.Equal(len(s.View(epoch).Servers), 0)
}

// Guards against late changes that restore a removed server, and against effects of duplicate changes.
func TestStaleChangesHaveNoEffect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	first := Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Server: server("a")}}}
	apply(t, s, 0, first)
	apply(t, s, 0, Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Removed: "a"}}})
	is.True(!apply(t, s, 0, Delta{From: 0, To: 2, Changes: []Change{{Revision: 1, Server: server("a")}}}))
	is.True(!apply(t, s, 0, first))
	is.Equal(len(s.View(epoch).Servers), 0)
}

// Guards against a configuration that reverts to an older version, even in a change with a newer revision.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	apply(t, s, 0, Delta{Full: true, To: 9, Changes: []Change{{Revision: 9, Config: &table.Config{Version: 5}}}})
	apply(t, s, 0, Delta{From: 9, To: 10, Changes: []Change{{Revision: 10, Config: &table.Config{Version: 4}}}})
	is.Equal(s.Config().Version, uint64(5))
	apply(t, s, 0, Delta{From: 10, To: 11, Changes: []Change{{Revision: 11, Config: &table.Config{Version: 6}}}})
	is.Equal(s.Config().Version, uint64(6))
}

// Guards against a node that skips changes, and against deltas with changes that the receiver already has.
func TestGap(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	_, err := s.Apply(epoch, Delta{From: 3, To: 4})
	is.Equal(err, ErrGap)
	apply(t, s, 0, Delta{Full: true, To: 3, Changes: []Change{{Revision: 1, Server: server("a")}}})
	apply(t, s, 0, Delta{From: 3, To: 4, Changes: []Change{{Revision: 4, Server: server("b")}}})
	is.True(s.Since(Position{Revision: 2}).Full)
	d := s.Since(Position{Revision: 3})
	is.True(!d.Full)
	is.Equal(len(d.Changes), 1)
	is.Equal(len(s.Since(Position{Revision: 4}).Changes), 0)
}

// Guards against sending a full configuration to a receiver that has an older one, and against a patch that is applied
// to a version other than its base.
func TestConfigurationIsPatched(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	older := &table.Config{Version: 1, Services: []table.Service{{Name: "a"}, {Name: "b"}}}
	newer := &table.Config{Version: 2, Services: []table.Service{{Name: "a"}, {Name: "c"}}}
	from := NewState()
	apply(t, from, 0, Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Config: older}}})
	apply(t, from, 0, Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Config: newer}}})
	to := NewState()
	apply(t, to, 0, Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Config: older}}})
	d := from.Since(to.Position())
	is.True(d.Changes[0].Config == nil)
	is.Equal(len(d.Changes[0].Patch.Services.Set), 1)
	apply(t, to, 0, d)
	is.Equal(to.Config().Version, newer.Version)
	is.Equal(to.Config().Services, newer.Services)
	_, err := NewState().Apply(epoch, Delta{Full: true, To: 2, Changes: d.Changes})
	is.True(err != nil)
}

// Guards against the memory of a replica growing with each version of the configuration: a replica keeps the versions
// that it can send patches for, whether it receives whole configurations, patches, or several versions at once.
func TestReplicaKeepsFewConfigurations(t *testing.T) {
	is := is.New(t)
	from, to := NewState(), NewState()
	// The servers in the log are needed by nodes that are behind, beside the configurations.
	apply(t, from, 0, Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Server: server("a")}}})
	apply(t, to, 0, from.Since(Position{}))
	var seen []weak.Pointer[table.Config]
	revision := Revision(1)
	for range 40 {
		d := Delta{From: revision}
		for range 5 {
			revision++
			c := &table.Config{Version: uint64(revision), Services: []table.Service{{Name: fmt.Sprint("s-", revision)}}}
			d.Changes = append(d.Changes, Change{Revision: revision, Config: c})
			seen = append(seen, weak.Make(c))
		}
		revision++
		d.Changes = append(d.Changes, Change{Revision: revision, Server: server(fmt.Sprint("b-", revision))})
		d.To = revision
		behind := to.Position()
		apply(t, from, 0, d)
		apply(t, to, 0, from.Since(behind))
		seen = append(seen, weak.Make(to.Config()))
		is.Equal(to.Config().Version, from.Config().Version)
	}
	is.Equal(len(from.Since(Position{Revision: 1}).Changes), 41) // each server, and the current configuration
	runtime.GC()
	kept := 0
	for _, p := range seen {
		if p.Value() != nil {
			kept++
		}
	}
	is.True(kept <= 2*maxConfigs) // by both replicas together
	runtime.KeepAlive(from)
	runtime.KeepAlive(to)
}

// Guards against replicas that diverge after nodes have exchanged changes in any order, with losses, duplicates and
// full reads, and against a configuration that reverts to an older version in between.
func TestCopiesConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		platform := &publisher{entries: make(map[string]Change)}
		states := make([]*State, nodes)
		for i := range states {
			states[i] = NewState()
		}
		versions := make([]uint64, nodes)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				platform.change(t)
			case 2:
				applyAny(t, states[i], platform.full())
			case 3:
				applyAny(t, states[i], platform.since(states[i].Revision()))
			case 4:
				k := rapid.IntRange(0, nodes-1).Draw(t, "peer")
				applyAny(t, states[i], states[k].Since(states[i].Position()))
			}
			if c := states[i].Config(); c != nil {
				if c.Version < versions[i] {
					t.Fatalf("node %d reverted from version %d to %d", i, versions[i], c.Version)
				}
				versions[i] = c.Version
			}
		}
		applyAny(t, states[0], platform.full())
		for i := 1; i < nodes; i++ {
			applyAny(t, states[i], states[i-1].Since(states[i].Position()))
		}
		want := fmt.Sprint(platform.view())
		for i, s := range states {
			v := s.View(epoch)
			if got := fmt.Sprint(ids(v), v.Out, version(v.Config)); got != want {
				t.Fatalf("node %d has %s, want %s as on the platform", i, got, want)
			}
		}
	})
}

func applyAny(t *rapid.T, s *State, d Delta) {
	if _, err := s.Apply(epoch, d); err != nil && !errors.Is(err, ErrGap) {
		t.Fatal(err)
	}
}

func version(c *table.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// publisher is a model of the platform that keeps all changes.
type publisher struct {
	revision Revision
	version  uint64
	entries  map[string]Change
	history  []Change
}

func (p *publisher) change(t *rapid.T) {
	p.revision++
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	c := Change{Revision: p.revision}
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		p.version++
		c.Config = &table.Config{Version: p.version, Services: []table.Service{{Name: name}}}
	case 1:
		c.Server = server(name)
	case 2:
		c.Removed = name
	case 3:
		c.Out = name
	case 4:
		c.In = name
	}
	key := c.key()
	if c.Removed != "" || c.In != "" {
		if _, ok := p.entries[key]; !ok {
			return
		}
		delete(p.entries, key)
	} else {
		p.entries[key] = c
	}
	p.history = append(p.history, c)
}

func (p *publisher) full() Delta {
	d := Delta{Full: true, To: p.revision}
	for _, c := range p.entries {
		d.Changes = append(d.Changes, c)
	}
	return d
}

func (p *publisher) since(revision Revision) Delta {
	d := Delta{From: revision, To: p.revision}
	for _, c := range p.history {
		if c.Revision > revision {
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

func (p *publisher) view() (list []string, out map[string]bool, v uint64) {
	out = make(map[string]bool)
	for _, key := range sortedKeys(p.entries) {
		c := p.entries[key]
		if c.Server != nil {
			list = append(list, c.Server.ID)
		}
		if c.Out != "" {
			out[c.Out] = true
		}
	}
	return list, out, p.version
}

// Guards against a cold start that is lost or counted from the wrong time.
func TestColdServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	a := server("a")
	a.Cold = wire.Duration(3 * time.Second)
	apply(t, s, time.Second, Delta{Full: true, To: 1, Changes: []Change{{Revision: 1, Server: a}}})
	is.Equal(s.View(epoch.Add(2 * time.Second)).Servers[0].ColdUntil, epoch.Add(4*time.Second))
}
