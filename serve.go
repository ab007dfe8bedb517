package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/serve"
	"github.com/arbutusthread/arbutusthread/trial"
)

// serveCommand runs a node of the slice path.
type serveCommand struct {
	*cli
	settings string
	trace    string
}

func newServe(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &serveCommand{cli: s}
	flags := ff.NewFlagSet("serve").SetParent(parent)
	flags.StringVar(&c.settings, 's', "settings", "", "settings file of the node")
	flags.StringVar(&c.trace, 0, "trace", "", "file to append finished queries to, without their texts, for replay")
	return &ff.Command{
		Name:      "serve",
		Usage:     "arbutusthread serve --settings FILE",
		ShortHelp: "run one node",
		LongHelp: `Logs JSON lines to the standard error. The first SIGTERM or SIGINT shuts the node down
gracefully: it finishes its work, hands over its leases and relays requests of
callers that have cached its address. A second signal stops it immediately. Exits
with 4 if the settings are invalid, and with 1 if a socket fails.

Example:
  arbutusthread serve --settings sample/node.json`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *serveCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	if c.settings == "" {
		return usagef("--settings is required")
	}
	_, settings, err := c.loadSettings(c.settings)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(c.err, &slog.HandlerOptions{Level: settings.Log.SlogLevel()}))
	config := serve.Config{Settings: settings, Log: log}
	if c.trace == "" {
		return start(ctx, config)
	}
	f, err := os.OpenFile(c.trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "serve: open trace file")
	}
	config.Traces = trial.NewRecorder(f)
	return errors.CombineErrors(start(ctx, config), errors.CombineErrors(config.Traces.Err(), f.Close()))
}

func start(ctx context.Context, c serve.Config) error {
	n, err := serve.New(c)
	if err != nil {
		return err
	}
	return runNode(ctx, n)
}

// runNode runs the node until it has stopped. The first signal ends ctx and starts a graceful shutdown; a
// second signal stops the node immediately.
func runNode(ctx context.Context, n *serve.Node) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		go func() {
			<-signals
			cancel()
		}()
		n.Stop(runCtx)
	})
	defer stop()
	return n.Run(runCtx)
}
