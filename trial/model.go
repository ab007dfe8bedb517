package trial

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusthread/arbutusthread/sched"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Model configures the simulated backend servers.
type Model struct {
	Slots, ColdSlots int
	// ServiceTime is the median service time of a warm server; Sigma is the standard deviation of its
	// logarithm.
	ServiceTime time.Duration
	Sigma       float64
	// StragglerShare is the share of requests that take StragglerFactor times as long on any server.
	StragglerShare, StragglerFactor float64
	// SlowEvery is the mean time between slow episodes of a server, and SlowFor their mean duration.
	// SlowFactor multiplies the service time during an episode. SlowEvery 0 disables them.
	SlowEvery, SlowFor time.Duration
	SlowFactor         float64
	// WarmAfter is the number of completed requests after which a cold server is warm. Until then its
	// concurrency limit rises linearly from ColdSlots to Slots, and the factor on its service time falls
	// linearly from ColdFactor to 1.
	WarmAfter  int
	ColdFactor float64
	// Network is the one-way delay between a node and a server.
	Network time.Duration
	// Restart is the time from a crash until the server accepts requests again, cold.
	Restart time.Duration
	// StartCold makes servers start cold instead of warm.
	StartCold bool
	// ReportWarm makes a cold server report itself as warm.
	ReportWarm bool
}

// modelServer is a simulated backend server.
type modelServer struct {
	model       Model
	address     netip.AddrPort
	seed        uint64
	running     map[attemptKey]*attempt
	completed   int
	incarnation int
	down        bool
	leaving     bool
	failing     bool
	// slowFrom and slowUntil delimit the current or next slow episode.
	slowFrom, slowUntil time.Duration
	episodeRand         *rand.Rand

	received             int
	coldReceived         int
	coldExcess           int
	coldExcessUndetected int
	// firstAnswerAt is the time of the first response since the start of the cold phase.
	firstAnswerAt   time.Duration
	overloadedSince time.Duration
	crashes         int
	sheds           int
	// coldSince is the start of the current cold phase, in which the server may be used. ramping is set
	// until the server is warm and all its slots may be used.
	coldSince               time.Duration
	ramping                 bool
	withdrawnAt             time.Duration
	lastSendAfterWithdrawal time.Duration
	sendsAfterWithdrawal    int
}

type attemptKey struct {
	sender int
	id     sched.AttemptID
}

// attempt is a shard request sent to a server.
type attempt struct {
	key    attemptKey
	server *modelServer
	ended  bool
}

func newModelServer(m Model, seed uint64, a netip.AddrPort) *modelServer {
	v := &modelServer{model: m, address: a, seed: seed, running: make(map[attemptKey]*attempt), incarnation: 1}
	v.ramping = m.StartCold
	if !m.StartCold {
		v.completed = m.WarmAfter
	}
	v.episodeRand = rand.New(rand.NewPCG(seed, uint64(a.Port())<<32|uint64(a.Addr().As4()[3])))
	v.nextSlowEpisode(0)
	return v
}

func (v *modelServer) nextSlowEpisode(after time.Duration) {
	if v.model.SlowEvery == 0 {
		v.slowFrom, v.slowUntil = math.MaxInt64, math.MaxInt64
		return
	}
	v.slowFrom = after + time.Duration(v.episodeRand.ExpFloat64()*float64(v.model.SlowEvery))
	v.slowUntil = v.slowFrom + time.Duration((0.5+v.episodeRand.Float64())*float64(v.model.SlowFor))
}

func (v *modelServer) slow(now time.Duration) bool {
	for now >= v.slowUntil {
		v.nextSlowEpisode(v.slowUntil)
	}
	return now >= v.slowFrom
}

func (v *modelServer) cold() bool {
	return v.completed < v.model.WarmAfter
}

func (v *modelServer) startColdPhase(now time.Duration) {
	v.completed, v.firstAnswerAt = 0, 0
	v.coldSince, v.ramping = now, true
}

// concurrencyLimit returns the number of requests that the server can currently run concurrently.
func (v *modelServer) concurrencyLimit() int {
	if !v.cold() {
		return v.model.Slots
	}
	more := float64(v.model.Slots-v.model.ColdSlots) * float64(v.completed) / float64(v.model.WarmAfter)
	return v.model.ColdSlots + int(more)
}

// slowdown returns the current factor on the warm service time.
func (v *modelServer) slowdown(now time.Duration) float64 {
	f := 1.0
	if v.slow(now) {
		f *= v.model.SlowFactor
	}
	if v.cold() {
		f *= 1 + (v.model.ColdFactor-1)*(1-float64(v.completed)/float64(v.model.WarmAfter))
	}
	return f
}

// serviceTime draws the warm service time of a request. It depends only on the seed, the server, the
// request and the shard, so that all policies get the same values.
func (v *modelServer) serviceTime(request, shard string) time.Duration {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], v.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(v.address.Port())<<32|uint64(binary.BigEndian.Uint32(v.address.Addr().AsSlice())))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(request)
	_, _ = d.WriteString("/" + shard)
	r := rand.New(rand.NewPCG(d.Sum64(), v.seed))
	t := float64(v.model.ServiceTime) * math.Exp(v.model.Sigma*r.NormFloat64())
	if r.Float64() < v.model.StragglerShare {
		t *= v.model.StragglerFactor
	}
	return time.Duration(t)
}

func (v *modelServer) result(c sched.Outcome, reason wire.BackendReason) sched.Result {
	return sched.Result{
		Outcome: c, Reason: reason, Incarnation: strconv.Itoa(v.incarnation),
		Warm: !v.cold() || v.model.ReportWarm, Draining: v.leaving && c == sched.OK,
	}
}
