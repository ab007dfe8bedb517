package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/front"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/logs"
	"github.com/arbutusthread/arbutusthread/node"
	"github.com/arbutusthread/arbutusthread/plat"
	"github.com/arbutusthread/arbutusthread/platform"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// nodeCommand runs a node that serves routes.
type nodeCommand struct {
	*cli
	config string
	// memoryMB and descriptors replace the capacity in the settings if they are not empty.
	memoryMB, descriptors string
}

func newNode(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &nodeCommand{cli: s}
	flags := ff.NewFlagSet("node").SetParent(parent)
	flags.StringVar(&c.config, 'c', "config", "", "settings file of the node")
	flags.StringVar(&c.memoryMB, 0, "memory-mb", "", "memory of the process in MiB, instead of Capacity.MemoryMB")
	flags.StringVar(&c.descriptors, 0, "descriptors", "", "open files and sockets of the process, instead of Capacity.Descriptors")
	return &ff.Command{
		Name:      "node",
		Usage:     "arbutusthread node --config FILE",
		ShortHelp: "run a node that serves routes",
		LongHelp: `Serves requests on the routes of the configuration, which comes from the project's own
platform or from a metadata store (PlatformForm in the settings). Logs JSON lines to the standard
output. SIGTERM and SIGINT shut the node down gracefully. SIGHUP reloads the settings, and so does a
change of the file. Exits with 4 if the settings are invalid, and with 1 if a socket fails.

Example:
  arbutusthread node --config sample/route-1.json`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *nodeCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	if c.config == "" {
		return usagef("--config is required")
	}
	b, settings, err := c.loadSettings(c.config)
	if err != nil {
		return err
	}
	if err := c.setCapacity(&settings.Capacity); err != nil {
		return err
	}
	output := logs.New(logs.Config{Output: c.out, Level: settings.Log.SlogLevel()})
	defer output.Close()
	log := output.Logger("Node", settings.Name)
	p, err := newPlatformAdapter(settings, log)
	if err != nil {
		return err
	}
	n, err := node.New(node.Config{Settings: settings, Source: p.source, Headers: p.headers, Log: log})
	if err != nil {
		return err
	}
	go newSettingsWatcher(settingsWatcher{
		read: func() ([]byte, error) { return c.readFile(c.config) }, apply: n.Reload, log: log, lastRead: b,
	}).run(ctx)
	handler := front.NewHandler(front.Config{
		Backend: n, Headers: p.headers, Cores: settings.Capacity.Cores, Metrics: n.Metrics(), Log: log,
	})
	directoryGate := gate.New(gate.Config{
		Listener: "directory", Pool: gate.Directory.Pool(settings.Capacity), Metrics: n.Metrics(), Log: log,
	})
	operatorsGate := gate.New(gate.Config{
		Listener: "operators", Pool: gate.Operators.Pool(settings.Capacity), Metrics: n.Metrics(), Log: log,
	})
	limitMemory(settings.Capacity)
	log.Info("node starting", "FailureDomain", settings.FailureDomain, "CallerAddress", settings.CallerAddress,
		"MemoryMB", settings.Capacity.MemoryMB, "Descriptors", settings.Capacity.Descriptors)
	return front.Serve(ctx, &front.Runtime{
		CallerAddress: settings.CallerAddress,
		Server: front.NewServer(front.ServerConfig{
			Handler: handler, Limits: func() table.Limits { return limitsOfTable(n.Table()) }, Capacity: settings.Capacity,
			Connections: settings.Limits.CallerConnections, Metrics: n.Metrics(), Log: log,
		}),
		AuxEndpoints: []front.Endpoint{
			{Address: settings.DirectoryAddress, Handler: p.directory(n, log), Gate: directoryGate},
			{Address: settings.ReadyAddress, Handler: p.ready(n), Gate: operatorsGate},
			{Address: settings.OpsAddress, Handler: front.OpsHandler(n, log), Gate: operatorsGate},
			{Address: settings.MetricsAddress, Handler: front.OpsHandler(n, log), Gate: operatorsGate},
		},
		Run: n.Run, Leave: n.Leave, StopTime: n.StopTime, Log: log,
	})
}

// memoryLimitShare is the share of the VM's memory at which the garbage collector works harder. The rest is for memory that it
// does not manage, such as the program itself.
const memoryLimitShare = 0.7

// limitMemory sets the soft memory limit of the garbage collector, unless the environment has set one.
func limitMemory(c conf.Capacity) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitShare * c.MemoryMB * (1 << 20)))
	}
}

// setCapacity replaces what the flags name. Values below the minimum of the settings mean the minimum, because a small VM serves
// better than none.
func (c *nodeCommand) setCapacity(v *conf.Capacity) error {
	if c.memoryMB != "" {
		n, err := strconv.ParseFloat(c.memoryMB, 64)
		if err != nil || !(n > 0) {
			return usagef("--memory-mb: %q is not a number above 0", c.memoryMB)
		}
		v.MemoryMB = min(max(n, conf.MinMemoryMB), conf.MaxMemoryMB)
	}
	if c.descriptors != "" {
		n, err := strconv.Atoi(c.descriptors)
		if err != nil || n <= 0 {
			return usagef("--descriptors: %q is not a number above 0", c.descriptors)
		}
		v.Descriptors = min(max(n, conf.MinDescriptors), conf.MaxDescriptors)
	}
	return nil
}

// platformAdapter holds the parts of a node that depend on the form of the platform: the configuration
// source, the header names, and the handlers for the directory and readiness.
type platformAdapter struct {
	source    node.Source
	headers   wire.Headers
	directory func(front.Directory, *slog.Logger) http.Handler
	ready     func(front.Directory) http.Handler
}

func newPlatformAdapter(s *conf.Settings, log *slog.Logger) (*platformAdapter, error) {
	if s.PlatformForm == conf.PlatformStore {
		return &platformAdapter{
			source: platform.NewStore(s.Platform, log), headers: platform.Headers(),
			directory: platform.DirectoryHandler, ready: platform.ReadyHandler,
		}, nil
	}
	client, err := plat.New(plat.Config{URL: s.Platform})
	if err != nil {
		return nil, err
	}
	return &platformAdapter{
		source: plat.NewFeed(client), headers: wire.DefaultHeaders(),
		directory: front.DirectoryHandler, ready: front.ReadyHandler,
	}, nil
}

// firstHeaderBytes is the limit for the head of a request before the first configuration. It is generous because callers do
// not repeat a request whose head is too large.
const firstHeaderBytes = 64 << 10

func limitsOfTable(t *table.Table) table.Limits {
	if t == nil {
		return table.Limits{HeaderBytes: firstHeaderBytes}
	}
	return t.Config().Limits
}
