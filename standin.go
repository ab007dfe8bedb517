package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// standinCommand runs the stand-ins for the platform and the backend servers.
type standinCommand struct {
	*cli
	config   string
	platform string
	nodes    []string
	latency  time.Duration
	seed     uint64
}

func newStandin(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &standinCommand{cli: s}
	flags := ff.NewFlagSet("standin").SetParent(parent)
	flags.StringVar(&c.config, 'c', "config", "", "configuration document to publish; its servers are started at their addresses")
	flags.StringVar(&c.platform, 'p', "platform", "127.0.0.1:7300", "address of the platform")
	flags.StringListVar(&c.nodes, 'n', "node", "entry VM as DOMAIN=PEERADDRESS, repeatable (default: VMs of sample/node*.json)")
	flags.DurationVar(&c.latency, 'l', "latency", 2*time.Millisecond, "median latency of a warm server")
	flags.Uint64Var(&c.seed, 0, "seed", 1, "seed for latencies and faults")
	return &ff.Command{
		Name:      "standin",
		Usage:     "arbutusthread standin --config FILE",
		ShortHelp: "run stand-ins for the platform and the backend servers",
		LongHelp: `Runs on loopback until interrupted. Use PUT /v1/config to publish a new document, and
PUT /v1/vms to publish a list of VMs, at the address of the platform.

Example:
  arbutusthread standin --config sample/tw-west.json
  arbutusthread standin --config sample/mu-island.json --platform 127.0.0.1:7310`,
		Flags: flags,
		Exec:  c.exec,
	}
}

// exampleNodes are the entry VMs of sample/node*.json.
var exampleNodes = []string{
	"Lukang=127.0.0.1:7100", "Yilan=127.0.0.1:7101", "Chiayi=127.0.0.1:7102",
	"Port Louis=127.0.0.1:7110", "Curepipe=127.0.0.1:7111", "Mahebourg=127.0.0.1:7112",
}

func (c *standinCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	if c.config == "" {
		return usagef("--config is required")
	}
	config, err := c.fleetConfig()
	if err != nil {
		return err
	}
	vms, err := c.entryVMs(config.Document)
	if err != nil {
		return err
	}
	f, err := fake.StartFleet(ctx, config)
	if err != nil {
		return errors.Wrap(err, "standin: start")
	}
	defer f.Close()
	f.SetEntryVMs(vms)
	fmt.Fprintf(c.out, "%s\n", f)
	<-ctx.Done()
	return nil
}

func (c *standinCommand) fleetConfig() (fake.FleetConfig, error) {
	b, err := c.readFile(c.config)
	if err != nil {
		return fake.FleetConfig{}, err
	}
	d, err := conf.ParseDocument(b)
	if err != nil {
		return fake.FleetConfig{}, exitWith(exitInvalid, err)
	}
	if err := d.Check().Err(); err != nil {
		return fake.FleetConfig{}, exitWith(exitInvalid, err)
	}
	address, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		return fake.FleetConfig{}, usagef("--platform: %v", err)
	}
	return fake.FleetConfig{
		Document: d, KeepAddresses: true, PlatformAddress: address, Seed: c.seed,
		Server: fake.ServerConfig{StartWarm: true, Latency: fake.Latency{Median: c.latency}},
	}, nil
}

// entryVMs returns the entry VMs given by flags or, if there are none, the example nodes in failure domains of
// the document.
func (c *standinCommand) entryVMs(d *conf.Document) ([]wire.VM, error) {
	known := make(map[string]bool)
	for _, f := range d.FailureDomains {
		known[f.Name] = true
	}
	nodes := c.nodes
	if len(nodes) == 0 {
		nodes = exampleNodes
	}
	var list []wire.VM
	for _, n := range nodes {
		domain, text, ok := strings.Cut(n, "=")
		address, err := netip.ParseAddrPort(text)
		if !ok || err != nil {
			return nil, usagef("--node: expected DOMAIN=ADDRESS, got %q", n)
		}
		if len(c.nodes) == 0 && !known[domain] {
			continue
		}
		list = append(list, wire.VM{Address: address, Role: wire.RoleEntry, FailureDomain: domain, State: wire.VMLive})
	}
	return list, nil
}
