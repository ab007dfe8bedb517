package fake

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

// CallerKey is the bearer key of the caller in documents generated from a Layout.
const CallerKey = "desk-key"

// Layout holds the dimensions of a generated document. Zero fields take the defaults in brackets.
type Layout struct {
	// Services is the number of services, named "service-0" and so on [1].
	Services int
	// Shards is the number of shards of each service, named "shard-0" and so on [4].
	Shards int
	// Replicas is the number of servers that hold each shard [2].
	Replicas int
	// Servers is the number of servers of each service, at least Replicas [the maximum of Replicas
	// and the number of domains].
	Servers int
	// Domains holds the names of the failure domains [Lukang, Yilan, Chiayi]. Servers are assigned
	// to them round-robin.
	Domains []string
	// Slots, ColdSlots and Connections are the limits of each server [2, 1, 25].
	Slots       int
	ColdSlots   int
	Connections int
	// Slices is the number of slices of each service [1].
	Slices int
	// Voters is the number of voters for the lease of a slice [3].
	Voters int
	// MaxTimeout is the maximum timeout of each kind [1s].
	MaxTimeout time.Duration
}

func (l Layout) withDefaults() Layout {
	if len(l.Domains) == 0 {
		l.Domains = []string{"Lukang", "Yilan", "Chiayi"}
	}
	l.Services = cmp.Or(l.Services, 1)
	l.Shards = cmp.Or(l.Shards, 4)
	l.Replicas = cmp.Or(l.Replicas, 2)
	l.Servers = max(cmp.Or(l.Servers, max(l.Replicas, len(l.Domains))), l.Replicas)
	l.Slots = cmp.Or(l.Slots, 2)
	l.ColdSlots = cmp.Or(l.ColdSlots, 1)
	l.Connections = cmp.Or(l.Connections, 25)
	l.Slices = cmp.Or(l.Slices, 1)
	l.Voters = cmp.Or(l.Voters, conf.DefaultVoters)
	l.MaxTimeout = cmp.Or(l.MaxTimeout, time.Second)
	return l
}

// Document generates version 1 of the document. It has one caller "desk" with CallerKey, the presets
// ordinary, peak and maintenance, and for each service the index version "v1" and the kinds
// lookup (worth 1), stock (worth 5) and order (worth 10, not idempotent). The server addresses are
// placeholders that a Fleet replaces when it starts the servers.
func (l Layout) Document() *conf.Document {
	l = l.withDefaults()
	hash := sha256.Sum256([]byte(CallerKey))
	d := &conf.Document{
		Version: 1, Preset: "ordinary",
		Presets: []conf.Preset{
			{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 100},
			{Name: "peak", HedgeBudget: 0.01, RetryBudget: 0.05, QueueLimit: 200, Worth: map[string]float64{"order": 2}},
			{Name: "maintenance", HedgeBudget: 0, RetryBudget: 0.1, QueueLimit: 50},
		},
		Callers: []conf.Caller{{
			Name: "desk", KeyHashes: []string{hex.EncodeToString(hash[:])}, Services: []string{"*"},
		}},
	}
	for _, n := range l.Domains {
		d.FailureDomains = append(d.FailureDomains, conf.FailureDomain{Name: n, Region: "local", State: conf.DomainIn})
	}
	for i := range l.Services {
		d.Services = append(d.Services, l.service(i))
	}
	return d
}

func (l Layout) service(number int) conf.Service {
	timeout := wire.Duration(l.MaxTimeout)
	v := conf.Service{
		Name: fmt.Sprintf("service-%d", number), Slices: l.Slices, Voters: l.Voters,
		Kinds: []conf.Kind{
			{Name: "lookup", Worth: 1, MinCoverage: 0.9, Idempotent: true, MaxTimeout: timeout},
			{Name: "stock", Worth: 5, MinCoverage: 1, Idempotent: true, MaxTimeout: timeout},
			{Name: "order", Worth: 10, MaxTimeout: timeout},
		},
	}
	for i := range l.Servers {
		v.Servers = append(v.Servers, conf.BackendServer{
			Address: placeholder(number*l.Servers + i), FailureDomain: l.Domains[i%len(l.Domains)],
			Slots: l.Slots, ColdSlots: l.ColdSlots, Connections: l.Connections, Slice: i % l.Slices,
		})
	}
	x := conf.Index{Version: "v1"}
	for i := range l.Shards {
		x.Shards = append(x.Shards, l.shard(v.Servers, i))
	}
	v.Indexes = []conf.Index{x}
	return v
}

// shard selects the replicas within one slice, because a slice holds all replicas of its shards.
func (l Layout) shard(servers []conf.BackendServer, number int) conf.Shard {
	var slice []netip.AddrPort
	for _, b := range servers {
		if b.Slice == number%l.Slices {
			slice = append(slice, b.Address)
		}
	}
	s := conf.Shard{Name: fmt.Sprintf("shard-%d", number)}
	for r := range min(l.Replicas, len(slice)) {
		s.Servers = append(s.Servers, slice[(number/l.Slices+r)%len(slice)])
	}
	return s
}

// placeholder returns an address from the range reserved for documentation (RFC 5737).
func placeholder(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(number >> 12)}), uint16(1024+number&0xfff))
}
