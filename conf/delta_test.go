package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/wire"
)

func exampleDocument(services int) *Document {
	d := &Document{
		Version: 1, Preset: "ordinary",
		Presets:        []Preset{{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 100}},
		FailureDomains: []FailureDomain{{Name: "Lukang", Region: "tw-west", State: DomainIn}},
	}
	for i := range services {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20000+i))
		name := fmt.Sprintf("service-%d", i)
		d.Services = append(d.Services, Service{
			Name:    name,
			Kinds:   []Kind{{Name: "lookup", Worth: 1, MinCoverage: 1, Idempotent: true, MaxTimeout: wire.Duration(time.Second)}},
			Servers: []BackendServer{{Address: a, FailureDomain: "Lukang", Slots: 2, ColdSlots: 1, Connections: 25}},
			Indexes: []Index{{Version: "v1", Shards: []Shard{{Name: "a", Servers: []netip.AddrPort{a}}}}},
		})
		d.Callers = append(d.Callers, Caller{Name: name, KeyHashes: []string{HashKey(name)}, Services: []string{name}})
	}
	return d
}

// edit returns a copy of the document with one typical change by an operator.
func edit(t *rapid.T, d *Document) *Document {
	n := *d
	n.Version += uint64(rapid.IntRange(1, 3).Draw(t, "versions"))
	n.Services, n.Callers = slices.Clone(d.Services), slices.Clone(d.Callers)
	n.FailureDomains, n.Presets = slices.Clone(d.FailureDomains), slices.Clone(d.Presets)
	i := rapid.IntRange(0, len(n.Services)-1).Draw(t, "service")
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		n.FailureDomains[0].State = DomainOut
	case 1:
		n.Presets = append(n.Presets, Preset{Name: fmt.Sprint("p", n.Version), QueueLimit: 1, Worth: map[string]float64{"lookup": 2}})
		n.Preset = n.Presets[len(n.Presets)-1].Name
	case 2:
		n.Services[i].Kinds = []Kind{{Name: "search", Worth: float64(n.Version)}}
	case 3:
		n.Services = append(slices.Delete(n.Services, i, i+1), Service{Name: fmt.Sprint("s", n.Version)})
	case 4:
		n.Callers[i].KeyHashes = []string{HashKey(fmt.Sprint(n.Version))}
	case 5:
		slices.Reverse(n.Services)
	}
	return &n
}

// Guards against nodes with different configurations under the same version after they received it as
// deltas.
func TestDeltaYieldsSenderDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(&fatal{t})
		first := exampleDocument(6)
		last := first
		for range rapid.IntRange(1, 6).Draw(t, "edits") {
			last = edit(t, last)
		}
		b, err := json.Marshal(Diff(first, last))
		is.NoErr(err)
		d, err := ParseDelta(b)
		is.NoErr(err)
		got, err := d.Apply(first)
		is.NoErr(err)
		is.Equal(Hash(got), Hash(last))
		is.Equal(Diff(got, last), Delta{From: last.Version, To: last.Version, Hash: Hash(last), Preset: last.Preset})
		is.Equal(Hash(first), Hash(exampleDocument(6))) // Apply must not change its base
		whole, err := json.Marshal(last)
		is.NoErr(err)
		parsed, err := ParseDocument(whole)
		is.NoErr(err)
		is.Equal(Hash(parsed), Hash(last))

		_, err = d.Apply(last)
		is.True(errors.Is(err, ErrBaseMismatch))
		first.Services[0].Kinds[0].Worth++ // the same version with different contents
		if got, err := d.Apply(first); err == nil {
			is.Equal(Hash(got), Hash(last))
		} else {
			is.True(errors.Is(err, ErrHashMismatch))
		}
	})
}

// fatal adapts rapid.T to is.T.
type fatal struct{ *rapid.T }

// Guards against a change of one failure domain that sends a full document: it would exceed the limit of
// 5 KB/s of control traffic per node.
func TestDeltaOfDomainIsSmall(t *testing.T) {
	is := is.New(t)
	older, newer := exampleDocument(500), exampleDocument(500)
	newer.Version = 2
	newer.FailureDomains[0].State = DomainOut
	b, err := json.Marshal(Diff(older, newer))
	is.NoErr(err)
	is.True(len(b) < 300)
}

func BenchmarkDelta(b *testing.B) {
	older, newer := exampleDocument(500), exampleDocument(500)
	newer.Version = 2
	newer.Services[7].Kinds[0].Worth = 2
	for b.Loop() {
		if _, err := Diff(older, newer).Apply(older); err != nil {
			b.Fatal(err)
		}
	}
}
