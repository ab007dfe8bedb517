package trial

import (
	"time"

	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

func (w *world) send(s *sender, v sched.Send) {
	w.result.sent(v)
	if r := s.jobs[v.Job]; r != nil {
		r.sends++
		if r.sends == 1 {
			w.starts = append(w.starts, start{w.now, r.kind.Worth})
		}
	}
	key := flightKey{sender: s.id, attempt: v.Attempt}
	server := w.servers[v.Server]
	server.received++
	if server.markedAt > 0 && w.now >= server.markedAt {
		server.afterMark++
		server.lastMarked = w.now
	}
	if server.down {
		w.answer(s, server, key, server.result(sched.Unsent, ""), w.now+2*w.setup.Model.Network)
		return
	}
	f := &flight{key: key, server: server}
	server.running[key] = f
	w.flights[key] = f
	w.events.Add(w.now+w.setup.Model.Network, func() { w.received(s, f, v) })
}

func (w *world) received(s *sender, f *flight, v sched.Send) {
	server := f.server
	if f.ended {
		return
	}
	if server.failing {
		w.end(s, f, server.result(sched.Broken, ""))
		return
	}
	if w.poisoned(s, v.Job) {
		w.crash(server)
		return
	}
	if server.cold() {
		server.coldReceived++
		if len(server.running) > server.bears() {
			if server.shown > 0 && w.now-server.shown > 2*w.setup.Model.Network {
				server.coldOver++
			} else {
				server.coldUnseen++
			}
		}
		if w.overrun(server) {
			return
		}
	} else if len(server.running) > server.model.Slots {
		server.sheds++
		w.end(s, f, server.result(sched.NotRun, wire.BackendShed))
		return
	}
	took := time.Duration(float64(server.draw(v.RequestID, v.Shard)) * server.factor(w.now))
	w.events.Add(w.now+took, func() { w.served(s, f) })
}

// overrun crashes a cold server that has had more work than it bears for too long.
func (w *world) overrun(v *modelServer) bool {
	if len(v.running) <= v.bears() {
		v.overSince = 0
		return false
	}
	if v.overSince == 0 {
		v.overSince = w.now
	}
	if w.now-v.overSince < overrunTime {
		return false
	}
	w.crash(v)
	return true
}

// overrunTime is how long a cold server stands more work than it bears.
const overrunTime = 50 * time.Millisecond

func (w *world) poisoned(s *sender, id sched.JobID) bool {
	r := s.jobs[id]
	return r != nil && r.poison
}

func (w *world) served(s *sender, f *flight) {
	if f.ended {
		return
	}
	f.server.served++
	if len(f.server.running) <= f.server.bears() {
		f.server.overSince = 0
	}
	w.end(s, f, f.server.result(sched.OK, ""))
}

// end takes the request off the server and answers after the network delay.
func (w *world) end(s *sender, f *flight, r sched.Result) {
	f.ended = true
	delete(f.server.running, f.key)
	delete(w.flights, f.key)
	if f.server.cold() && f.server.shown == 0 && r.Class != sched.Cancelled {
		f.server.shown = w.now
	}
	w.answer(s, f.server, f.key, r, w.now+w.setup.Model.Network)
}

func (w *world) answer(s *sender, v *modelServer, key flightKey, r sched.Result, at time.Duration) {
	w.events.Add(at, func() {
		w.carryOut(s, s.slice.Done(w.time(), key.attempt, r))
		w.checkRamp(s, v)
	})
}

// checkRamp ends the ramp of a server that is warm and may use all its slots.
func (w *world) checkRamp(s *sender, v *modelServer) {
	if !v.ramping || v.cold() || s.slice.Allowance(v.address) < v.model.Slots {
		return
	}
	v.ramping = false
	if v.coldSince < w.setup.Warmup {
		return
	}
	w.result.ramp(w.now - v.coldSince)
}

func (w *world) cancel(s *sender, a sched.AttemptID) {
	key := flightKey{sender: s.id, attempt: a}
	w.events.Add(w.now+w.setup.Model.Network, func() {
		if f := w.flights[key]; f != nil {
			w.end(s, f, sched.Result{Class: sched.Cancelled})
		}
	})
}

// crash ends all requests at the server, which comes back cold.
func (w *world) crash(v *modelServer) {
	v.crashes++
	v.overSince = 0
	v.down = true
	for _, f := range sortedFlights(v.running) {
		w.end(w.senders[f.key.sender], f, v.result(sched.Crashed, ""))
	}
	w.events.Add(w.now+w.setup.Model.Restart, func() {
		v.down = false
		v.incarnation++
		v.turnCold(w.now)
	})
}

// turnCold makes a server cold without a sign to its clients.
func (w *world) turnCold(v *modelServer) {
	v.turnCold(w.now)
}
