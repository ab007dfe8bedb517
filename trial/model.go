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

// Model sets how the modelled backend servers behave.
type Model struct {
	Slots, ColdSlots int
	// Service is the median service time of a warm server; Sigma is the spread of its logarithm.
	Service time.Duration
	Sigma   float64
	// StragglerShare of requests takes StragglerFactor times as long, whatever the server.
	StragglerShare, StragglerFactor float64
	// A server is slow by SlowFactor for SlowFor, on average once in SlowEvery.
	SlowEvery, SlowFor time.Duration
	SlowFactor         float64
	// WarmAfter is the number of requests after which a cold server is warm; in between it
	// bears proportionally more. A cold server is slower by up to ColdFactor.
	WarmAfter  int
	ColdFactor float64
	// Network is the delay of one way between a node and a server.
	Network time.Duration
	// Restart is the time from a crash until the server accepts requests again, cold.
	Restart time.Duration
	// StartCold makes servers start cold.
	StartCold bool
	// SayWarm makes a cold server claim to be warm.
	SayWarm bool
}

// modelServer is one modelled backend server.
type modelServer struct {
	model       Model
	address     netip.AddrPort
	seed        uint64
	running     map[flightKey]*flight
	served      int
	incarnation int
	down        bool
	leaving     bool
	failing     bool
	// slowFrom and slowUntil are the current or next slow episode.
	slowFrom, slowUntil time.Duration
	episodes            *rand.Rand

	received     int
	coldReceived int
	coldOver     int
	coldUnseen   int
	// shown is the time of the first answer since the server turned cold.
	shown     time.Duration
	overSince time.Duration
	crashes   int
	sheds     int
	// coldSince is the start of the present cold phase in which the server may be used; ramping
	// means that it has not come into full use since.
	coldSince  time.Duration
	ramping    bool
	markedAt   time.Duration
	lastMarked time.Duration
	afterMark  int
}

type flightKey struct {
	sender  int
	attempt sched.AttemptID
}

// flight is a request at a server.
type flight struct {
	key    flightKey
	server *modelServer
	ended  bool
}

func newModelServer(m Model, seed uint64, a netip.AddrPort) *modelServer {
	v := &modelServer{model: m, address: a, seed: seed, running: make(map[flightKey]*flight), incarnation: 1}
	v.ramping = m.StartCold
	if !m.StartCold {
		v.served = m.WarmAfter
	}
	v.episodes = rand.New(rand.NewPCG(seed, uint64(a.Port())<<32|uint64(a.Addr().As4()[3])))
	v.nextEpisode(0)
	return v
}

func (v *modelServer) nextEpisode(after time.Duration) {
	if v.model.SlowEvery == 0 {
		v.slowFrom, v.slowUntil = math.MaxInt64, math.MaxInt64
		return
	}
	v.slowFrom = after + time.Duration(v.episodes.ExpFloat64()*float64(v.model.SlowEvery))
	v.slowUntil = v.slowFrom + time.Duration((0.5+v.episodes.Float64())*float64(v.model.SlowFor))
}

func (v *modelServer) slow(now time.Duration) bool {
	for now >= v.slowUntil {
		v.nextEpisode(v.slowUntil)
	}
	return now >= v.slowFrom
}

func (v *modelServer) cold() bool {
	return v.served < v.model.WarmAfter
}

// turnCold starts a cold phase.
func (v *modelServer) turnCold(now time.Duration) {
	v.served, v.shown = 0, 0
	v.coldSince, v.ramping = now, true
}

// bears returns the number of requests that the server can run at once now.
func (v *modelServer) bears() int {
	if !v.cold() {
		return v.model.Slots
	}
	more := float64(v.model.Slots-v.model.ColdSlots) * float64(v.served) / float64(v.model.WarmAfter)
	return v.model.ColdSlots + int(more)
}

// factor is the ratio of the present to the warm service time.
func (v *modelServer) factor(now time.Duration) float64 {
	f := 1.0
	if v.slow(now) {
		f *= v.model.SlowFactor
	}
	if v.cold() {
		f *= 1 + (v.model.ColdFactor-1)*(1-float64(v.served)/float64(v.model.WarmAfter))
	}
	return f
}

// draw returns the warm service time of a request. It depends only on the seed, the server, the
// request and the shard, so all policies of a run meet the same draws.
func (v *modelServer) draw(request, shard string) time.Duration {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], v.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(v.address.Port())<<32|uint64(binary.BigEndian.Uint32(v.address.Addr().AsSlice())))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(request)
	_, _ = d.WriteString("/" + shard)
	r := rand.New(rand.NewPCG(d.Sum64(), v.seed))
	t := float64(v.model.Service) * math.Exp(v.model.Sigma*r.NormFloat64())
	if r.Float64() < v.model.StragglerShare {
		t *= v.model.StragglerFactor
	}
	return time.Duration(t)
}

func (v *modelServer) result(c sched.Class, reason wire.BackendReason) sched.Result {
	return sched.Result{
		Class: c, Reason: reason, Incarnation: strconv.Itoa(v.incarnation),
		Warm: !v.cold() || v.model.SayWarm, Draining: v.leaving && c == sched.OK,
	}
}
