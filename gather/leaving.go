package gather

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// A server that is about to stop announces it in its answers, which may be long before its entry in the list changes. It
// must get no new requests from then on. Time alone never ends this state: only another process is a new server, which
// the list shows by another ID, address or start time.

// process identifies a server process.
type process struct {
	id      string
	address netip.AddrPort
	// start is the start time in Unix milliseconds, the resolution of the list.
	start int64
}

func processOf(s *Server, start time.Time) process {
	return process{id: s.ID, address: s.Address, start: start.UnixMilli()}
}

// leavingProcesses holds the times at which processes announced that they leave. It includes processes that are not
// listed, whose entries may return.
type leavingProcesses map[process]time.Time

// maxLeaving is the maximum number of processes that are remembered as leaving, each of which takes about 100 bytes.
const maxLeaving = 4096

func (s *server) isLeaving() bool { return !s.leavingSince.IsZero() }

// recordLeaving records that the server of an attempt has announced that it leaves. If the server has been restarted
// since the attempt was sent, the answer is of the earlier process and does not concern the present one.
func (e *Engine) recordLeaving(now time.Time, a *attempt, act *Actions) {
	k := processOf(&a.server.Server, a.startTime)
	if _, known := e.leaving[k]; known {
		return
	}
	if len(e.leaving) >= maxLeaving {
		e.dropOldestLeaving()
	}
	e.leaving[k] = now
	act.Events = append(act.Events, Event{
		Name: "server leaving", Job: a.job.id, Pool: a.server.pool.name, Server: a.server.ID,
		Detail: "announced in the answer to a " + string(a.purpose) + " attempt: " + string(a.outcome),
	})
	if s := e.servers[k.id]; s != nil && processOf(&s.Server, s.StartTime) == k {
		s.leavingSince = now
	}
}

// dropOldestLeaving forgets the process that announced first, preferably one that is not listed.
func (e *Engine) dropOldestLeaving() {
	listed := func(k process) int {
		if s := e.servers[k.id]; s != nil && processOf(&s.Server, s.StartTime) == k {
			return 1
		}
		return 0
	}
	processes := slices.Collect(maps.Keys(e.leaving))
	delete(e.leaving, slices.MinFunc(processes, func(a, b process) int {
		return cmp.Or(cmp.Compare(listed(a), listed(b)), e.leaving[a].Compare(e.leaving[b]), cmp.Compare(a.id, b.id))
	}))
}
