package drill

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
)

// server is a simulated backend server.
type server struct {
	gather.Server
	world *world
	// pool and domain are the indexes of the pool and the failure domain.
	pool, domain int
	rand         *rand.Rand
	// slow is the factor on service times.
	slow float64
	// silent servers do not respond; down servers refuse connections.
	silent, down bool
	coldUntil    time.Duration
	pausedUntil  time.Duration
	running      []*attempt
	queue        []*attempt
	// recentArrivals are the arrival times within the last second.
	recentArrivals []time.Duration
	crashes        int
}

// attempt is an attempt that is on the way to a server or being processed there.
type attempt struct {
	node    *node
	id      gather.AttemptID
	server  *server
	request *request
	sentAt  time.Duration
	task    int
	endAt   time.Duration
	ended   bool
}

// receive runs, queues or sheds a request.
func (v *server) receive(f *attempt) {
	w := v.world
	switch {
	case f.ended || v.silent:
		return
	case v.down:
		w.reply(f, gather.Result{Outcome: gather.Unsent, Refused: true, Detail: "connection refused"})
		return
	}
	w.result.countArrival(w, f)
	if v.coldOverloaded() {
		v.crashes++
		w.stop(v)
		w.events.Add(w.now+restartTime, func() { w.start(v) })
		return
	}
	switch {
	case len(v.running) < v.Slots:
		v.run(f)
	case len(v.queue) < v.world.config.Model.Queue:
		v.queue = append(v.queue, f)
	default:
		w.reply(f, gather.Result{Outcome: gather.NotRun, Detail: "queue is full"})
	}
}

// restartTime is the time that a crashed server is down.
const restartTime = time.Second

// coldOverloaded records an arrival and reports whether a cold server gets more than twice ColdRate.
func (v *server) coldOverloaded() bool {
	w := v.world
	v.recentArrivals = append(slices.DeleteFunc(v.recentArrivals, func(at time.Duration) bool { return w.now-at >= time.Second }), w.now)
	return v.cold() && v.ColdRate > 0 && float64(len(v.recentArrivals)) > 2*v.ColdRate
}

func (v *server) cold() bool { return v.world.now < v.coldUntil }

func (v *server) run(f *attempt) {
	w := v.world
	took := float64(f.request.kind.ServiceTime) * math.Exp(w.config.Model.Sigma*v.rand.NormFloat64()) * v.slow
	if v.cold() {
		took *= w.config.Model.ColdFactor
	}
	f.endAt = max(w.now, v.pausedUntil) + time.Duration(took)
	v.running = append(v.running, f)
	w.events.Add(f.endAt, func() { v.finish(f) })
}

func (v *server) finish(f *attempt) {
	w := v.world
	if f.ended && !slices.Contains(v.running, f) {
		return
	}
	if w.now < f.endAt {
		// A pause of the server has delayed the end.
		w.events.Add(f.endAt, func() { v.finish(f) })
		return
	}
	if v.remove(f) && !v.silent {
		w.reply(f, gather.Result{Outcome: gather.OK, ColdRemaining: max(0, v.coldUntil-w.now)})
	}
	v.startQueued()
}

// remove removes an attempt from the server and reports whether it was running or queued.
func (v *server) remove(f *attempt) bool {
	n := len(v.running) + len(v.queue)
	is := func(x *attempt) bool { return x == f }
	v.running = slices.DeleteFunc(v.running, is)
	v.queue = slices.DeleteFunc(v.queue, is)
	return len(v.running)+len(v.queue) < n
}

func (v *server) startQueued() {
	for len(v.queue) > 0 && len(v.running) < v.Slots {
		f := v.queue[0]
		v.queue = v.queue[1:]
		v.run(f)
	}
}

// schedulePause schedules the next pause of the server, which delays all running requests.
func (v *server) schedulePause() {
	m := &v.world.config.Model
	if m.PauseEvery == 0 {
		return
	}
	gap := time.Duration(v.rand.ExpFloat64() * float64(m.PauseEvery))
	v.world.events.Add(v.world.now+gap, func() {
		v.pausedUntil = v.world.now + m.PauseFor
		for _, f := range v.running {
			f.endAt += m.PauseFor
		}
		v.schedulePause()
	})
}
