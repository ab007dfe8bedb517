package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/front"
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
		Flags:     flags,
		Exec:      c.exec,
	}
}

func (c *router) exec(ctx context.Context, args []string) error {
	if err := wantArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	b, err := c.readFile(c.config)
	if err != nil {
		return err
	}
	settings, err := conf.ParseSettings(b)
	if err != nil {
		return exitWith(exitInvalid, err)
	}
	if err := settings.Check().Err(); err != nil {
		return exitWith(exitInvalid, err)
	}
	log := slog.New(slog.NewJSONHandler(c.out, &slog.HandlerOptions{Level: settings.Log.SlogLevel()}))
	n, err := node.New(node.Config{
		Settings: settings, Source: platform.NewStore(settings.Platform, log), Headers: platform.Headers(), Log: log,
	})
	if err != nil {
		return err
	}
	handler := front.NewHandler(front.Config{Backend: n, Headers: platform.Headers(), Log: log})
	server := front.NewServer(handler, func() table.Limits {
		if t := n.Table(); t != nil {
			return t.Config().Limits
		}
		return table.Limits{}
	}, log)
	running, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return n.Run(running) })
	l, err := listenAt(settings.CallerAddress)
	if err != nil {
		return err
	}
	group.Go(func() error { return server.Serve(running, l) })
	for _, x := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{settings.DirectoryAddress, platform.DirectoryHandler(n, log)},
		{settings.ReadyAddress, platform.ReadyHandler(n)},
	} {
		l, err := listenAt(x.address)
		if err != nil {
			return err
		}
		group.Go(func() error { return http.Serve(l, x.handler) })
	}
	log.Info("node started", "Name", settings.Name)
	<-ctx.Done()
	log.Info("node stops")
	n.Leave()
	time.Sleep(1500 * time.Millisecond)
	server.Drain()
	time.Sleep(2000 * time.Millisecond)
	stop, cancel := context.WithTimeout(running, 2*time.Second)
	defer cancel()
	_ = server.Shutdown(stop)
	return nil
}

func listenAt(a netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	return l, errors.Wrapf(err, "listen on %s", a)
}
