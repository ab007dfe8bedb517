package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// drainShare and closeShare are the shares of the stop time after which callers are asked to
	// close their connections, and after which none is accepted any more. Before that, callers that
	// keep an address are still served while the directory no longer names it.
	drainShare = 0.2
	closeShare = 0.6
	// endShare is the share of the stop time after which requests in flight are cut off.
	endShare = 0.95
	// defaultStopTime is used when the settings name none.
	defaultStopTime = 10 * time.Second
	// sideTimeout bounds the headers of a request to a side endpoint, and its answer.
	sideTimeout = 5 * time.Second
)

// Endpoint is a handler on an address of its own.
type Endpoint struct {
	Address netip.AddrPort
	Handler http.Handler
}

// Runtime is a node with its listeners.
type Runtime struct {
	// Callers is the address for callers, and Server serves them.
	Callers netip.AddrPort
	Server  *Server
	// Sides are the other endpoints. They are served until the node ends; one without an address is
	// left out.
	Sides []Endpoint
	// Run runs what lies below until its context ends.
	Run func(ctx context.Context) error
	// Leave announces a planned stop.
	Leave    func()
	StopTime time.Duration
	Log      *slog.Logger
}

// Serve opens the listeners and serves until ctx ends. It then stops in a planned way: it announces
// its end, serves callers that keep its address, and ends when the requests in flight have been
// answered.
func Serve(ctx context.Context, r *Runtime) error {
	callers, err := listen(r.Callers)
	if err != nil {
		return err
	}
	running, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	group, running := errgroup.WithContext(running)
	for _, e := range r.Sides {
		if !e.Address.IsValid() {
			continue
		}
		l, err := listen(e.Address)
		if err != nil {
			cut()
			return errors.CombineErrors(err, group.Wait())
		}
		group.Go(func() error { return serveSide(running, l, e.Handler) })
	}
	group.Go(func() error { return r.Run(running) })
	group.Go(func() error { return r.Server.Serve(running, callers) })
	group.Go(func() error {
		defer cut()
		select {
		case <-running.Done():
			return nil
		case <-ctx.Done():
			return r.stop(running, callers)
		}
	})
	return group.Wait()
}

// stop ends the node in a planned way.
func (r *Runtime) stop(ctx context.Context, callers net.Listener) error {
	begin := time.Now()
	stopTime := r.StopTime
	if stopTime <= 0 {
		stopTime = defaultStopTime
	}
	after := func(share float64) time.Duration {
		return time.Until(begin.Add(time.Duration(share * float64(stopTime))))
	}
	r.Log.Info("node stops", "StopTime", stopTime)
	r.Leave()
	clock.Sleep(ctx, after(drainShare))
	r.Server.Drain()
	clock.Sleep(ctx, after(closeShare))
	_ = callers.Close()
	ctx, cancel := context.WithTimeout(ctx, after(endShare))
	defer cancel()
	if err := r.Server.Shutdown(ctx); err != nil {
		r.Log.Warn("requests in flight were cut off", "Error", err)
	}
	r.Log.Info("node stopped", "After", time.Since(begin).Round(time.Millisecond))
	return nil
}

func serveSide(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: sideTimeout, WriteTimeout: sideTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "front: serve on %s", l.Addr())
	}
	return nil
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	return l, errors.Wrapf(err, "front: listen on %s", a)
}
