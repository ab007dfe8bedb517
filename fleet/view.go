package fleet

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/cespare/xxhash/v2"
)

// sliceKey names one slice of a service.
type sliceKey struct {
	service string
	slice   int
}

// domain is a failure domain with the members that can take seats in it.
type domain struct {
	name    string
	hash    uint64
	out     bool
	members []*record
	// weighted is set once a member has a weight other than 1.
	weighted bool
	refs     []seatRef
}

// seatRef points from a domain to a slice that has seats in it.
type seatRef struct {
	slot  *slot
	group int
}

// slot is a slice with its seats. Seat i belongs to group i modulo the number of groups, and there
// to the member of rank i divided by that number.
type slot struct {
	sliceKey
	hash   uint64
	seats  int
	groups []seatGroup
	// size is the most bytes that a lease item of the slice takes.
	size int
}

type seatGroup struct {
	domain *domain
	wanted int
	// top are the best members for the slice, best first, at most wanted.
	top []*record
}

// seat returns the member on seat i, or nil.
func (s *slot) seat(i int) *record {
	if len(s.groups) == 0 {
		return nil
	}
	g := s.groups[i%len(s.groups)]
	if k := i / len(s.groups); k < len(g.top) {
		return g.top[k]
	}
	return nil
}

// seatOf returns the seat that r has, or -1.
func (s *slot) seatOf(r *record) int {
	for i := range s.seats {
		if s.seat(i) == r {
			return i
		}
	}
	return -1
}

// first returns the first seat with a member in a domain that is not out, or nil.
func (s *slot) first() *record {
	for i := range s.seats {
		if r := s.seat(i); r != nil && !s.groups[i%len(s.groups)].domain.out {
			return r
		}
	}
	return nil
}

// view assigns the seats of all slices to members by weighted rendezvous hash. It changes only
// the seats that a change of one member or document can affect.
type view struct {
	codec    Codec
	domains  map[string]*domain
	slots    map[sliceKey]*slot
	services map[string]serviceShape
	// named are the domains of the document, sorted.
	named []string
	// changed is called for each slice whose seats may have changed; reshaped tells that the seats
	// of a known slice are in other domains because of another document.
	changed func(s *slot, reshaped bool)
}

// serviceShape is the part of a service that determines its seats.
type serviceShape struct {
	slices, seats int
	domains       []string
}

func newView(c Codec, changed func(*slot, bool)) *view {
	return &view{
		codec:    c,
		domains:  make(map[string]*domain),
		slots:    make(map[sliceKey]*slot),
		services: make(map[string]serviceShape),
		changed:  changed,
	}
}

func (v *view) domain(name string) *domain {
	d := v.domains[name]
	if d == nil {
		d = &domain{name: name, hash: xxhash.Sum64String(name), out: true}
		v.domains[name] = d
	}
	return d
}

// setDocument builds the slots of services that are new or have another shape, and drops those
// of services that are gone.
func (v *view) setDocument(doc *conf.Document) {
	names := make([]string, 0, len(doc.FailureDomains))
	for _, d := range v.domains {
		d.out = true
	}
	for _, f := range doc.FailureDomains {
		v.domain(f.Name).out = f.State != conf.DomainIn
		names = append(names, f.Name)
	}
	slices.Sort(names)
	v.named = names
	shapes := make(map[string]serviceShape, len(doc.Services))
	for i := range doc.Services {
		s := &doc.Services[i]
		shape := serviceShape{slices: s.SliceCount(), seats: s.SeatCount(), domains: names}
		if len(s.HomeDomains) > 0 {
			shape.domains = slices.Clone(s.HomeDomains)
			slices.Sort(shape.domains)
			shape.domains = slices.Compact(shape.domains)
		}
		shapes[s.Name] = shape
	}
	var gone []sliceKey
	dropped := make(map[*slot]bool)
	for name, old := range v.services {
		if now, ok := shapes[name]; ok && now.equal(old) {
			continue
		}
		for i := range old.slices {
			key := sliceKey{name, i}
			dropped[v.slots[key]] = true
			delete(v.slots, key)
			gone = append(gone, key)
		}
	}
	if len(dropped) > 0 {
		for _, d := range v.domains {
			d.refs = slices.DeleteFunc(d.refs, func(r seatRef) bool { return dropped[r.slot] })
		}
	}
	for i := range doc.Services {
		name := doc.Services[i].Name
		if old, ok := v.services[name]; ok && old.equal(shapes[name]) {
			continue
		}
		for k := range shapes[name].slices {
			v.addSlot(sliceKey{name, k}, shapes[name], k < v.services[name].slices)
		}
	}
	v.services = shapes
	for _, key := range gone {
		if v.slots[key] == nil {
			v.changed(&slot{sliceKey: key}, true)
		}
	}
}

func (s serviceShape) equal(o serviceShape) bool {
	return s.slices == o.slices && s.seats == o.seats && slices.Equal(s.domains, o.domains)
}

func (v *view) addSlot(key sliceKey, shape serviceShape, reshaped bool) {
	s := &slot{
		sliceKey: key, seats: shape.seats, size: v.codec.leaseSize(key.service),
		hash: mix(xxhash.Sum64String(key.service) + uint64(key.slice)),
	}
	ranked := make([]*domain, 0, len(shape.domains))
	for _, name := range shape.domains {
		ranked = append(ranked, v.domain(name))
	}
	slices.SortFunc(ranked, func(a, b *domain) int {
		return cmp.Or(cmp.Compare(mix(b.hash^s.hash), mix(a.hash^s.hash)), cmp.Compare(a.name, b.name))
	})
	count := min(shape.seats, len(ranked))
	for i := range count {
		d := ranked[i]
		s.groups = append(s.groups, seatGroup{domain: d, wanted: (shape.seats - i + count - 1) / count})
		d.refs = append(d.refs, seatRef{s, i})
		s.fill(i)
	}
	v.slots[key] = s
	v.changed(s, reshaped)
}

// setMember adds or removes the member as a candidate for the seats of its domain.
func (v *view) setMember(r *record, candidate bool) {
	d := v.domain(r.FailureDomain)
	at := slices.Index(d.members, r)
	if candidate == (at >= 0) {
		return
	}
	if candidate {
		d.members = append(d.members, r)
		d.weighted = d.weighted || r.Weight > 1
	} else {
		d.members = slices.Delete(d.members, at, at+1)
	}
	for _, ref := range d.refs {
		if candidate {
			if ref.slot.offer(ref.group, r) {
				v.changed(ref.slot, false)
			}
			continue
		}
		if slices.Contains(ref.slot.groups[ref.group].top, r) {
			ref.slot.fill(ref.group)
			v.changed(ref.slot, false)
		}
	}
}

// fill chooses the members of a group among all of its domain.
func (s *slot) fill(group int) {
	g := &s.groups[group]
	g.top = g.top[:0]
	for _, r := range g.domain.members {
		s.offer(group, r)
	}
}

// offer gives r the place in the group that its hash earns and reports whether it earns one.
func (s *slot) offer(group int, r *record) bool {
	g := &s.groups[group]
	if len(g.top) == g.wanted && !s.better(g.domain, r, g.top[len(g.top)-1]) {
		return false
	}
	at := len(g.top)
	for at > 0 && s.better(g.domain, r, g.top[at-1]) {
		at--
	}
	g.top = slices.Insert(g.top, at, r)
	if len(g.top) > g.wanted {
		g.top = g.top[:g.wanted]
	}
	return true
}

func (s *slot) better(d *domain, a, b *record) bool {
	x, y := mix(a.hash^s.hash), mix(b.hash^s.hash)
	if d.weighted {
		if p, q := weigh(x, a.Weight), weigh(y, b.Weight); p != q {
			return p < q
		}
	}
	if x != y {
		return x > y
	}
	return a.Address.Compare(b.Address) < 0
}

// weigh turns a hash into an exponentially distributed value with the weight as its rate. The
// member with the lowest value wins, so each wins a share of slices that its weight determines.
func weigh(hash uint64, weight int) float64 {
	return -math.Log((float64(hash>>11)+0.5)/(1<<53)) / float64(max(1, weight))
}

// isReader reports whether r is among the two members of its domain that watch the platform.
func (v *view) isReader(r *record) bool {
	d := v.domain(r.FailureDomain)
	better := 0
	for _, o := range d.members {
		if o != r && mix(o.hash^d.hash^readerSalt) > mix(r.hash^d.hash^readerSalt) {
			better++
		}
	}
	return better < readersPerDomain && slices.Contains(d.members, r)
}

const (
	readersPerDomain = 2
	readerSalt       = 0x7265616465727321
)

// addresses returns the callers' addresses of the members on seats of the service, the first
// seats of its slices before the others. Members in domains that are out are left out.
func (v *view) addresses(service string) []netip.AddrPort {
	shape, ok := v.services[service]
	if !ok {
		return nil
	}
	var found []netip.AddrPort
	seen := make(map[netip.AddrPort]bool)
	for rank := range shape.seats {
		for i := range shape.slices {
			s := v.slots[sliceKey{service, i}]
			r := s.seat(rank)
			if r == nil || s.groups[rank%len(s.groups)].domain.out || !r.Caller.IsValid() || seen[r.Caller] {
				continue
			}
			seen[r.Caller] = true
			found = append(found, r.Caller)
		}
	}
	return found
}
