package trial

import (
	"time"

	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

func (w *world) send(s *sender, v sched.Send) {
	w.result.countSend(v)
	if r := s.jobs[v.Job]; r != nil {
		r.sends++
		if r.sends == 1 {
			w.firstSends = append(w.firstSends, firstSend{w.now, r.kind.Worth})
		}
	}
	key := attemptKey{sender: s.id, id: v.Attempt}
	server := w.servers[v.Server]
	server.received++
	if server.withdrawnAt > 0 && w.now >= server.withdrawnAt {
		server.sendsAfterWithdrawal++
		server.lastSendAfterWithdrawal = w.now
	}
	if server.down {
		w.deliver(s, server, key, server.result(sched.Unsent, ""), w.now+2*w.config.Model.Network)
		return
	}
	f := &attempt{key: key, server: server}
	server.running[key] = f
	w.attempts[key] = f
	w.events.Add(w.now+w.config.Model.Network, func() { w.receive(s, f, v) })
}

func (w *world) receive(s *sender, f *attempt, v sched.Send) {
	server := f.server
	if f.ended {
		return
	}
	if server.failing {
		w.endAttempt(s, f, server.result(sched.Broken, ""))
		return
	}
	if w.isPoison(s, v.Job) {
		w.crash(server)
		return
	}
	if server.cold() {
		server.coldReceived++
		if len(server.running) > server.concurrencyLimit() {
			if server.firstAnswerAt > 0 && w.now-server.firstAnswerAt > 2*w.config.Model.Network {
				server.coldExcess++
			} else {
				server.coldExcessUndetected++
			}
		}
		if w.crashIfOverloaded(server) {
			return
		}
	} else if len(server.running) > server.model.Slots {
		server.sheds++
		w.endAttempt(s, f, server.result(sched.NotRun, wire.BackendShed))
		return
	}
	took := time.Duration(float64(server.serviceTime(v.RequestID, v.Shard)) * server.slowdown(w.now))
	w.events.Add(w.now+took, func() { w.complete(s, f) })
}

// crashIfOverloaded crashes a cold server whose requests in flight have exceeded its concurrency limit for
// coldOverloadTolerance. It reports whether the server crashed.
func (w *world) crashIfOverloaded(v *modelServer) bool {
	if len(v.running) <= v.concurrencyLimit() {
		v.overloadedSince = 0
		return false
	}
	if v.overloadedSince == 0 {
		v.overloadedSince = w.now
	}
	if w.now-v.overloadedSince < coldOverloadTolerance {
		return false
	}
	w.crash(v)
	return true
}

// coldOverloadTolerance is the time above its concurrency limit after which a cold server crashes.
const coldOverloadTolerance = 50 * time.Millisecond

func (w *world) isPoison(s *sender, id sched.JobID) bool {
	r := s.jobs[id]
	return r != nil && r.poison
}

func (w *world) complete(s *sender, f *attempt) {
	if f.ended {
		return
	}
	f.server.completed++
	if len(f.server.running) <= f.server.concurrencyLimit() {
		f.server.overloadedSince = 0
	}
	w.endAttempt(s, f, f.server.result(sched.OK, ""))
}

// endAttempt removes the attempt from the server and delivers the result after the network delay.
func (w *world) endAttempt(s *sender, f *attempt, r sched.Result) {
	f.ended = true
	delete(f.server.running, f.key)
	delete(w.attempts, f.key)
	if f.server.cold() && f.server.firstAnswerAt == 0 && r.Outcome != sched.Cancelled {
		f.server.firstAnswerAt = w.now
	}
	w.deliver(s, f.server, f.key, r, w.now+w.config.Model.Network)
}

func (w *world) deliver(s *sender, v *modelServer, key attemptKey, r sched.Result, at time.Duration) {
	w.events.Add(at, func() {
		w.applyActions(s, s.slice.Done(w.time(), key.id, r))
		w.recordRamp(s, v)
	})
}

// recordRamp ends the ramp of a server that is warm and may use all its slots. Ramps that began during the
// warm-up are not counted.
func (w *world) recordRamp(s *sender, v *modelServer) {
	if !v.ramping || v.cold() || s.slice.ConcurrencyLimit(v.address) < v.model.Slots {
		return
	}
	v.ramping = false
	if v.coldSince < w.config.Warmup {
		return
	}
	w.result.addRamp(w.now - v.coldSince)
}

func (w *world) cancel(s *sender, a sched.AttemptID) {
	key := attemptKey{sender: s.id, id: a}
	w.events.Add(w.now+w.config.Model.Network, func() {
		if f := w.attempts[key]; f != nil {
			w.endAttempt(s, f, sched.Result{Outcome: sched.Cancelled})
		}
	})
}

// crash fails all attempts at the server, which restarts cold after Model.Restart.
func (w *world) crash(v *modelServer) {
	v.crashes++
	v.overloadedSince = 0
	v.down = true
	for _, f := range sortedAttempts(v.running) {
		w.endAttempt(w.senders[f.key.sender], f, v.result(sched.Crashed, ""))
	}
	w.events.Add(w.now+w.config.Model.Restart, func() {
		v.down = false
		v.incarnation++
		v.startColdPhase(w.now)
	})
}

// startColdPhase makes a server cold without a restart that its clients could observe.
func (w *world) startColdPhase(v *modelServer) {
	v.startColdPhase(w.now)
}
