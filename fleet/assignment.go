package fleet

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/cespare/xxhash/v2"
)

// sliceKey identifies one slice of a service.
type sliceKey struct {
	service string
	slice   int
}

// domain is a failure domain with the members that are eligible as voters in it.
type domain struct {
	name    string
	hash    uint64
	out     bool
	members []*record
	// weighted is set once a member with a weight above 1 was added.
	weighted bool
	refs     []voterRef
}

// voterRef refers from a domain to a slice that has voters in it.
type voterRef struct {
	voters *sliceVoters
	group  int
}

// sliceVoters holds the voters of a slice. Voter i belongs to group i modulo the number of groups, and
// is the member with rank i divided by that number within the group.
type sliceVoters struct {
	sliceKey
	hash   uint64
	count  int
	groups []voterGroup
	// itemSize is the maximum encoded size in bytes of a lease item of the slice.
	itemSize int
}

type voterGroup struct {
	domain *domain
	count  int
	// top lists the highest-ranked members for the slice in descending order, at most count.
	top []*record
}

// voter returns the member that is voter i, or nil when there is none.
func (s *sliceVoters) voter(i int) *record {
	if len(s.groups) == 0 {
		return nil
	}
	g := s.groups[i%len(s.groups)]
	if k := i / len(s.groups); k < len(g.top) {
		return g.top[k]
	}
	return nil
}

// indexOf returns the voter index of r, or -1.
func (s *sliceVoters) indexOf(r *record) int {
	for i := range s.count {
		if s.voter(i) == r {
			return i
		}
	}
	return -1
}

// preferredHolder returns the first voter in a domain that is not out, or nil.
func (s *sliceVoters) preferredHolder() *record {
	for i := range s.count {
		if r := s.voter(i); r != nil && !s.groups[i%len(s.groups)].domain.out {
			return r
		}
	}
	return nil
}

// assignment assigns the voters of all slices by weighted rendezvous hashing. A change of a member or
// a document updates only the slices whose voters it can affect.
type assignment struct {
	codec    Codec
	domains  map[string]*domain
	voters   map[sliceKey]*sliceVoters
	services map[string]serviceShape
	// domainNames are the domains of the document, sorted.
	domainNames []string
	// onChange is called for each slice whose voters may have changed. reshaped is set when a new
	// document has changed the shape of a known slice's service or removed the slice.
	onChange func(s *sliceVoters, reshaped bool)
}

// serviceShape is the part of a service definition that determines its voters.
type serviceShape struct {
	slices, voters int
	domains        []string
}

func newAssignment(c Codec, onChange func(*sliceVoters, bool)) *assignment {
	return &assignment{
		codec:    c,
		domains:  make(map[string]*domain),
		voters:   make(map[sliceKey]*sliceVoters),
		services: make(map[string]serviceShape),
		onChange: onChange,
	}
}

func (v *assignment) domain(name string) *domain {
	d := v.domains[name]
	if d == nil {
		d = &domain{name: name, hash: xxhash.Sum64String(name), out: true}
		v.domains[name] = d
	}
	return d
}

// setDocument rebuilds the voters of services that are new or whose shape has changed, and removes
// those of deleted services.
func (v *assignment) setDocument(doc *conf.Document) {
	names := make([]string, 0, len(doc.FailureDomains))
	for _, d := range v.domains {
		d.out = true
	}
	for _, f := range doc.FailureDomains {
		v.domain(f.Name).out = f.State != conf.DomainIn
		names = append(names, f.Name)
	}
	slices.Sort(names)
	v.domainNames = names
	shapes := make(map[string]serviceShape, len(doc.Services))
	for i := range doc.Services {
		s := &doc.Services[i]
		shape := serviceShape{slices: s.SliceCount(), voters: s.VoterCount(), domains: names}
		if len(s.VoterDomains) > 0 {
			shape.domains = slices.Clone(s.VoterDomains)
			slices.Sort(shape.domains)
			shape.domains = slices.Compact(shape.domains)
		}
		shapes[s.Name] = shape
	}
	var removed []sliceKey
	dropped := make(map[*sliceVoters]bool)
	for name, old := range v.services {
		if current, ok := shapes[name]; ok && current.equal(old) {
			continue
		}
		for i := range old.slices {
			key := sliceKey{name, i}
			dropped[v.voters[key]] = true
			delete(v.voters, key)
			removed = append(removed, key)
		}
	}
	if len(dropped) > 0 {
		for _, d := range v.domains {
			d.refs = slices.DeleteFunc(d.refs, func(r voterRef) bool { return dropped[r.voters] })
		}
	}
	for i := range doc.Services {
		name := doc.Services[i].Name
		if old, ok := v.services[name]; ok && old.equal(shapes[name]) {
			continue
		}
		for k := range shapes[name].slices {
			v.addSlice(sliceKey{name, k}, shapes[name], k < v.services[name].slices)
		}
	}
	v.services = shapes
	for _, key := range removed {
		if v.voters[key] == nil {
			v.onChange(&sliceVoters{sliceKey: key}, true)
		}
	}
}

func (s serviceShape) equal(o serviceShape) bool {
	return s.slices == o.slices && s.voters == o.voters && slices.Equal(s.domains, o.domains)
}

// addSlice assigns the voters of a slice. It ranks the domains of the shape by a hash of domain and slice, without
// weights, and spreads the voters evenly over the first ones. reshaped is passed to onChange.
func (v *assignment) addSlice(key sliceKey, shape serviceShape, reshaped bool) {
	s := &sliceVoters{
		sliceKey: key, count: shape.voters, itemSize: v.codec.maxLeaseItemSize(key.service),
		hash: mix(xxhash.Sum64String(key.service) + uint64(key.slice)),
	}
	ranked := make([]*domain, 0, len(shape.domains))
	for _, name := range shape.domains {
		ranked = append(ranked, v.domain(name))
	}
	slices.SortFunc(ranked, func(a, b *domain) int {
		return cmp.Or(cmp.Compare(mix(b.hash^s.hash), mix(a.hash^s.hash)), cmp.Compare(a.name, b.name))
	})
	groupCount := min(shape.voters, len(ranked))
	for i := range groupCount {
		d := ranked[i]
		s.groups = append(s.groups, voterGroup{domain: d, count: (shape.voters - i + groupCount - 1) / groupCount})
		d.refs = append(d.refs, voterRef{s, i})
		s.fill(i)
	}
	v.voters[key] = s
	v.onChange(s, reshaped)
}

// setMember adds or removes the member as a candidate voter of its domain.
func (v *assignment) setMember(r *record, candidate bool) {
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
			if ref.voters.insertRanked(ref.group, r) {
				v.onChange(ref.voters, false)
			}
			continue
		}
		if slices.Contains(ref.voters.groups[ref.group].top, r) {
			ref.voters.fill(ref.group)
			v.onChange(ref.voters, false)
		}
	}
}

// fill selects the voters of a group from all members of its domain.
func (s *sliceVoters) fill(group int) {
	g := &s.groups[group]
	g.top = g.top[:0]
	for _, r := range g.domain.members {
		s.insertRanked(group, r)
	}
}

// insertRanked inserts r into the group by rank and reports whether its rank was high enough.
func (s *sliceVoters) insertRanked(group int, r *record) bool {
	g := &s.groups[group]
	if len(g.top) == g.count && !s.ranksBefore(g.domain, r, g.top[len(g.top)-1]) {
		return false
	}
	at := len(g.top)
	for at > 0 && s.ranksBefore(g.domain, r, g.top[at-1]) {
		at--
	}
	g.top = slices.Insert(g.top, at, r)
	if len(g.top) > g.count {
		g.top = g.top[:g.count]
	}
	return true
}

func (s *sliceVoters) ranksBefore(d *domain, a, b *record) bool {
	x, y := mix(a.hash^s.hash), mix(b.hash^s.hash)
	if d.weighted {
		if p, q := weightedScore(x, a.Weight), weightedScore(y, b.Weight); p != q {
			return p < q
		}
	}
	if x != y {
		return x > y
	}
	return a.Address.Compare(b.Address) < 0
}

// weightedScore maps a hash to an exponentially distributed value with the weight as its rate. The
// member with the lowest score ranks first, so each member ranks first in a share of the slices that
// is proportional to its weight.
func weightedScore(hash uint64, weight int) float64 {
	return -math.Log((float64(hash>>11)+0.5)/(1<<53)) / float64(max(1, weight))
}

// isReader reports whether r is one of the two members of its domain that watch the platform.
func (v *assignment) isReader(r *record) bool {
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

// addresses returns the caller addresses of the service's voters in order of voter index, without
// duplicates. Members in domains that are out are omitted.
func (v *assignment) addresses(service string) []netip.AddrPort {
	shape, ok := v.services[service]
	if !ok {
		return nil
	}
	var addresses []netip.AddrPort
	seen := make(map[netip.AddrPort]bool)
	for rank := range shape.voters {
		for i := range shape.slices {
			s := v.voters[sliceKey{service, i}]
			r := s.voter(rank)
			if r == nil || s.groups[rank%len(s.groups)].domain.out || !r.Caller.IsValid() || seen[r.Caller] {
				continue
			}
			seen[r.Caller] = true
			addresses = append(addresses, r.Caller)
		}
	}
	return addresses
}
