package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	routesName = "tw-routes"
	// routesPort is the port of the first backend server behind routes.
	routesPort = 23000
	// archiveShards is the number of services that each hold one shard of the archive.
	archiveShards = 6
)

// routes returns the document for nodes that serve routes: a sharded archive with scatter-gather search, and a
// shop that is being migrated from one set of servers to another.
func routes() *conf.Document {
	d := deployment{region: "tw-west", domains: []string{"Lukang", "Yilan", "Chiayi"}}
	doc := &conf.Document{Version: 1, Preset: "ordinary", Presets: presets(nil, nil)}
	for _, n := range d.domains {
		doc.FailureDomains = append(doc.FailureDomains, conf.FailureDomain{Name: n, Region: d.region, State: conf.DomainIn})
	}
	port := uint16(routesPort)
	g := group{services: 1, servers: 2, slots: 4, coldSlots: 1, connections: 50}
	var shards []string
	for i := range archiveShards {
		g.name = fmt.Sprintf("archive-%d", i)
		shards = append(shards, g.name)
		doc.Services = append(doc.Services, d.service(g, i, &port))
	}
	for i, name := range []string{"shop-old", "shop-new"} {
		doc.Services = append(doc.Services, d.service(group{
			name: name, services: 1, servers: 3, slots: 8, coldSlots: 2, connections: 50,
		}, i, &port))
	}
	doc.Routes = []table.Route{
		{
			Name: "archive", Host: "archive.example", Prefix: "/search/", Shards: shards, TopK: 10, MinCoverage: 0.8,
			Idempotent: true, Timeout: wire.Duration(time.Second), TargetLatency: wire.Duration(50 * time.Millisecond),
			MaxAttempts: 3,
		},
		{
			Name: "shop", Host: "shop.example", Prefix: "/",
			Targets: []table.Target{{Service: "shop-old", Weight: 95}, {Service: "shop-new", Weight: 5}},
			Timeout: wire.Duration(2 * time.Second), TargetLatency: wire.Duration(50 * time.Millisecond), MaxAttempts: 3,
		},
	}
	return doc
}

// serviceAddress returns the loopback address of a backend server.
func serviceAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
