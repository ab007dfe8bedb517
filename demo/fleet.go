package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/serve"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// fleetKeyBytes is the length of the key shared by the nodes, in bytes.
	fleetKeyBytes = 32
	// readyTimeout is the longest time from the start of a fleet until all nodes are ready.
	readyTimeout = 15 * time.Second
	pollInterval = 10 * time.Millisecond
)

// FleetConfig describes a fleet of nodes that uses stand-ins for the platform and the backend servers.
type FleetConfig struct {
	Stand fake.FleetConfig
	// Domains lists the failure domain of each node.
	Domains    []string
	AddressTTL time.Duration
	Log        *slog.Logger
}

// Fleet is a set of nodes that run in this process, with their stand-ins.
type Fleet struct {
	*fake.Fleet
	Nodes []*serve.Node

	config FleetConfig
	key    string
	vms    []wire.VM
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// StartFleet starts the stand-ins and the nodes, and waits until the fleet is ready. It returns an error if
// it is not ready after 15 s.
func StartFleet(ctx context.Context, c FleetConfig) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	standins, err := fake.StartFleet(ctx, c.Stand)
	if err != nil {
		cancel()
		return nil, err
	}
	key := make([]byte, fleetKeyBytes)
	_, _ = rand.Read(key)
	f := &Fleet{Fleet: standins, config: c, key: hex.EncodeToString(key), cancel: cancel}
	for i, d := range c.Domains {
		if err := f.start(ctx, fmt.Sprintf("entry-%d", i+1), d); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.SetEntryVMs(f.vms)
	if err := f.awaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, name, domain string) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := serve.New(serve.Config{Log: f.config.Log, Settings: &conf.Settings{
		Name: name, FailureDomain: domain, Region: "demo", CallerAddress: loopback, PeerAddress: loopback,
		OpsAddress: loopback, Platform: f.URL, FleetKeys: []string{f.key},
		AddressTTL: wire.Duration(f.config.AddressTTL), Limits: limits(),
	}})
	if err != nil {
		return err
	}
	f.Nodes = append(f.Nodes, n)
	f.vms = append(f.vms, wire.VM{
		Address: n.PeerAddress(), Role: wire.RoleEntry, FailureDomain: domain, State: wire.VMLive,
	})
	f.wg.Go(func() {
		if err := n.Run(ctx); err != nil {
			f.config.Log.Error("node ended", "Name", name, "Error", err)
		}
	})
	return nil
}

func limits() conf.Limits {
	return conf.Limits{
		BodyBytes: conf.DefaultBodyBytes, AnswerBytes: conf.DefaultAnswerBytes, TopK: conf.DefaultTopK,
		CallerConnections: conf.DefaultCallerConnections, OrderKeyBatch: conf.DefaultOrderKeyBatch,
		OrderKeys: conf.DefaultOrderKeys, Decisions: conf.DefaultDecisions,
	}
}

// awaitReady waits until all nodes are ready and each slice has a lease holder.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if f.ready() {
			return nil
		}
	}
	return errors.Newf("demo: the fleet is not ready after %v", readyTimeout)
}

func (f *Fleet) ready() bool {
	slices := 0
	for _, s := range f.Document().Services {
		slices += s.SliceCount()
	}
	for _, n := range f.Nodes {
		if !n.Ready() {
			return false
		}
		slices -= len(n.Status().Slices)
	}
	return slices <= 0
}

// Seeds returns the addresses on which the nodes serve callers.
func (f *Fleet) Seeds() []netip.AddrPort {
	list := make([]netip.AddrPort, len(f.Nodes))
	for i, n := range f.Nodes {
		list[i] = n.CallerAddress()
	}
	return list
}

// Close stops the nodes and the stand-ins.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	f.Fleet.Close()
}
