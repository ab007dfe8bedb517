package front

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/gate"
)

const (
	// drainStartShare and acceptStopShare are the shares of the stop time after which callers are asked to
	// close their connections, and after which no new connections are accepted. Until then, callers that have
	// cached the address are still served although the directory no longer lists it.
	drainStartShare = 0.2
	acceptStopShare = 0.6
	// answerShare is the share of the stop time by which all requests are answered, the ones that are still waiting for
	// a server with a failure. abortShare is the share after which the remaining connections are closed.
	answerShare = 0.85
	abortShare  = 0.97
	// defaultStopTime is used if the settings specify no stop time.
	defaultStopTime = 10 * time.Second
	// auxTimeout is the timeout for reading a request to an auxiliary endpoint, and for writing its response.
	// auxIdleTimeout is the time for which a connection without a request stays open.
	auxTimeout     = 5 * time.Second
	auxIdleTimeout = 90 * time.Second
)

// Endpoint is a handler with a separate listen address.
type Endpoint struct {
	Address netip.AddrPort
	Handler http.Handler
	// Gate bounds the clients. Endpoints may share it.
	Gate *gate.Gate
}

// Runtime is a node with its listeners.
type Runtime struct {
	// CallerAddress is the listen address for callers, and Server serves it.
	CallerAddress netip.AddrPort
	Server        *Server
	// AuxEndpoints are the other endpoints, such as the directory and metrics. They are served until the node
	// has stopped. Endpoints without a valid address are skipped.
	AuxEndpoints []Endpoint
	// Run runs the node behind the listeners until its context ends.
	Run func(ctx context.Context) error
	// Leave announces a graceful shutdown to the other nodes. All requests must be answered by the given time.
	Leave func(end time.Time)
	// StopTime returns the time within which the process must have ended after SIGTERM. It is called at the stop, because
	// a reload of the settings may change it.
	StopTime func() time.Duration
	Log      *slog.Logger
}

// Serve opens the listeners and serves until ctx ends. It then shuts down gracefully: it announces the
// shutdown, continues to serve callers that have cached its address, and returns when the requests in flight
// have been answered or the stop time is nearly over. It returns an error if a listener or Run fails.
func Serve(ctx context.Context, r *Runtime) error {
	callers, err := listen(r.CallerAddress)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, e := range r.AuxEndpoints {
		if !e.Address.IsValid() {
			continue
		}
		l, err := listen(e.Address)
		if err != nil {
			cancel()
			return errors.CombineErrors(err, group.Wait())
		}
		group.Go(func() error { return serveAux(runCtx, l, &e) })
	}
	group.Go(func() error { return r.Run(runCtx) })
	group.Go(func() error { return r.Server.Serve(runCtx, callers) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
			return r.shutDown(runCtx, callers)
		}
	})
	return group.Wait()
}

// shutDown shuts the node down gracefully.
func (r *Runtime) shutDown(ctx context.Context, callers *listener) error {
	begin := time.Now()
	stopTime := r.StopTime()
	if stopTime <= 0 {
		stopTime = defaultStopTime
	}
	at := func(share float64) time.Time { return begin.Add(time.Duration(share * float64(stopTime))) }
	requests, connections := r.Server.conns.open()
	before := r.Server.conns.endCounts()
	r.Log.Info("node shutting down", "StopTime", stopTime, "Requests", requests, "Connections", connections)
	r.logHeldRequests()
	r.Leave(at(answerShare))
	clock.Sleep(ctx, time.Until(at(drainStartShare)))
	r.Server.Drain()
	clock.Sleep(ctx, time.Until(at(acceptStopShare)))
	callers.drain()
	r.logHeldRequests()
	ctx, cancel := context.WithDeadline(ctx, at(abortShare))
	defer cancel()
	aborted := 0
	if err := r.Server.Shutdown(ctx); err != nil {
		_, aborted = r.Server.conns.open()
		r.Log.Warn("requests in flight aborted at the end of the stop time", "Error", err)
		r.Server.Close()
	}
	ended := r.Server.conns.endCounts()
	for i := range ended {
		ended[i] -= before[i]
	}
	r.Log.Info("node stopped", "After", time.Since(begin).Round(time.Millisecond), "Answered", ended[endAnswered],
		"Refused", ended[endRefused], "EndedByStop", ended[endStopped], "Disconnected", ended[endDisconnected],
		"Aborted", ended[endAborted], "AbortedConnections", aborted)
	return nil
}

// logHeldRequests names the requests in progress, because a process that is killed later cannot say what became of them.
func (r *Runtime) logHeldRequests() {
	for _, attributes := range r.Server.conns.held(time.Now()) {
		r.Log.Info("request held", attributes...)
	}
}

func serveAux(ctx context.Context, l net.Listener, e *Endpoint) error {
	s := &http.Server{
		Handler: e.Handler, MaxHeaderBytes: math.MaxInt32, // the gate has the limit
		ReadTimeout: auxTimeout, WriteTimeout: auxTimeout, IdleTimeout: auxIdleTimeout,
		ConnState: e.Gate.ConnState, ConnContext: e.Gate.ConnContext,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(e.Gate.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "front: serve on %s", l.Addr())
	}
	return nil
}
