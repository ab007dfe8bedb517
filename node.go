package main

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/front"
	"github.com/arbutusthread/arbutusthread/logs"
	"github.com/arbutusthread/arbutusthread/node"
	"github.com/arbutusthread/arbutusthread/platform"
	"github.com/arbutusthread/arbutusthread/table"
)

// router runs one node on the users' platform.
type router struct {
	*shell
	config string
}

func newNode(s *shell, parent *ff.FlagSet) *ff.Command {
	c := &router{shell: s}
	flags := ff.NewFlagSet("node").SetParent(parent)
	flags.StringVar(&c.config, 'c', "config", "", "settings file of the node")
	return &ff.Command{
		Name:      "node",
		Usage:     "arbutusthread node --config FILE",
		ShortHelp: "run one node on the users' platform",
		LongHelp: `Logs JSON lines to the standard output. SIGTERM and SIGINT stop the node in a planned
way; a second one ends it at once. SIGHUP reads the settings again. Exits with 4 if the
settings have faults, and with 1 if a socket fails.

Example:
  arbutusthread node --config examples/node.json`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *router) exec(ctx context.Context, args []string) error {
	if err := wantArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	if c.config == "" {
		return usagef("--config is required")
	}
	b, settings, err := c.loadSettings(c.config)
	if err != nil {
		return err
	}
	output := logs.New(logs.Config{Output: c.out, Level: settings.Log.SlogLevel()})
	defer output.Close()
	log := output.Logger("Node", settings.Name)
	n, err := node.New(node.Config{
		Settings: settings, Source: platform.NewStore(settings.Platform, log), Headers: platform.Headers(), Log: log,
	})
	if err != nil {
		return err
	}
	go newSettingsWatch(settingsWatch{
		read: func() ([]byte, error) { return c.readFile(c.config) }, apply: n.Reload, log: log, last: b,
	}).run(ctx)
	handler := front.NewHandler(front.Config{Backend: n, Headers: platform.Headers(), Metrics: n.Metrics(), Log: log})
	log.Info("node starts", "FailureDomain", settings.FailureDomain, "CallerAddress", settings.CallerAddress)
	return front.Serve(ctx, &front.Runtime{
		Callers: settings.CallerAddress,
		Server:  front.NewServer(handler, func() table.Limits { return limitsOf(n.Table()) }, log),
		Sides: []front.Endpoint{
			{Address: settings.DirectoryAddress, Handler: platform.DirectoryHandler(n, log)},
			{Address: settings.ReadyAddress, Handler: platform.ReadyHandler(n)},
			{Address: settings.OpsAddress, Handler: front.OpsHandler(n, log)},
			{Address: settings.MetricsAddress, Handler: front.OpsHandler(n, log)},
		},
		Run: n.Run, Leave: n.Leave, StopTime: settings.Bounds.StopTime.Std(), Log: log,
	})
}

func limitsOf(t *table.Table) table.Limits {
	if t == nil {
		return table.Limits{}
	}
	return t.Config().Limits
}
