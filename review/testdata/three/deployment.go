package main

import (
	"fmt"
	"time"
)

const (
	host         = "pupu76.example"
	sweepPath    = "/ziti980/ti38/"
	sweepTimeout = 1500 * time.Millisecond
	findPath     = "/bapu561/"
	invoicePath  = "/timi402/"
	// shardCount is the number of shards of souches-mu, and grownShardCount that of souches-mu-grown.
	shardCount      = 20
	grownShardCount = 90
	headerLimit     = 16384
	bodyLimit       = 262144
)

func shardName(i int) string { return fmt.Sprintf("huvo%02da", i) }

// operatorConfig returns a configuration like that of the deployment souches-mu.
func operatorConfig(version, shardCount int, coldPerSecond float64) map[string]any {
	var shards []string
	services := []map[string]any{service("kafi81c", 52, coldPerSecond)}
	for i := range shardCount {
		shards = append(shards, shardName(i))
		services = append(services, service(shardName(i), 26, coldPerSecond))
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-find", "host": host, "prefix": findPath, "route-type": "safe", "timeout-ms": 800, "target-latency-ms": 50,
				"priority": 2, "gather": shards, "max-attempts": 2, "top-k": 5, "min-coverage": 0.75,
			},
			{
				"name": "r-sweep", "host": host, "prefix": sweepPath, "route-type": "safe", "timeout-ms": 1500, "target-latency-ms": 100,
				"priority": 1, "gather": shards, "max-attempts": 2, "top-k": 50, "min-coverage": 0.89,
			},
			{
				"name": "r-invoice", "host": host, "prefix": invoicePath, "route-type": "unsafe", "timeout-ms": 6000,
				"target-latency-ms": 400, "priority": 2, "service": "kafi81c", "max-attempts": 2,
			},
		},
		"services": services,
		"limits": map[string]any{
			"max-header-bytes": headerLimit, "max-body-bytes": bodyLimit, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	}
}

func service(name string, connections int, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-connections": connections, "protocol": "h1", "tls": false,
		"cold-start-s": 3.0, "cold-per-s": coldPerSecond,
	}
}

// startDeployment starts the store, the servers and the nodes.
func (c *caseRun) startDeployment() {
	c.store = startStore()
	c.store.putJSON("op/config", operatorConfig(7, c.shards, c.coldPerSecond))
	for i := range c.shards {
		for k, zone := range []string{"port-louis", "curepipe"} {
			c.addServer(startServer(serverID(shardName(i), k), shardName(i), zone, 2, 26, 11*time.Millisecond, 62))
		}
	}
	for k, zone := range []string{"port-louis", "port-louis", "curepipe", "mahebourg"} {
		c.addServer(startServer(serverID("kafi81c", k), "kafi81c", zone, 6, 52, 90*time.Millisecond, 188))
	}
	c.nodes = startNodes(c.dir, c.store.address)
	// Traffic starts 10 s after the machines do.
	time.Sleep(time.Until(startedAt.Add(10 * time.Second)))
	c.log("%d nodes and %d servers run", len(c.nodes), len(c.servers))
}

func (c *caseRun) addServer(s *server) {
	c.servers = append(c.servers, s)
	c.store.putJSON("servers/"+s.id, s.entry("ready"))
}
