package conf

import (
	"encoding/hex"
	"net/netip"
	"strings"
	"unicode"
)

// Limits of a document. They reject mistakes such as a wrong unit, and bound the memory that a document
// uses in a node.
const (
	MaxNameBytes   = 100
	MaxServices    = 10_000
	MaxRoutes      = 20_000
	MaxCallers     = 20_000
	MaxDomains     = 1_000
	MaxPresets     = 100
	MaxKinds       = 100
	MaxKeyHashes   = 8
	MaxSlices      = 4_096
	MaxIndexes     = 8
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxQueueLimit  = 1_000_000
	MaxWorth       = 1e6
	hashBytes      = 32
	allServices    = "*"
)

// checker collects faults and the names that the parts of a document refer to.
type checker struct {
	faults   Faults
	services map[string]bool
	domains  map[string]bool
	kinds    map[string]bool
	// routedServices are the services that routes refer to. They need no kinds and no indexes.
	routedServices map[string]bool
	servers        distinct[netip.AddrPort]
}

// Check returns all faults of the document. A document is accepted only as a whole, if it has none.
func (d *Document) Check() Faults {
	c := &checker{
		services:       map[string]bool{},
		domains:        map[string]bool{},
		kinds:          map[string]bool{},
		routedServices: d.RoutedServices(),
		servers:        distinct[netip.AddrPort]{},
	}
	for _, s := range d.Services {
		c.services[s.Name] = true
		for _, k := range s.Kinds {
			c.kinds[k.Name] = true
		}
	}
	for _, x := range d.FailureDomains {
		c.domains[x.Name] = true
	}
	if d.Version == 0 {
		c.faults.add("Version", "must be at least 1")
	}
	c.presets(d)
	c.failureDomains(d.FailureDomains)
	c.callers(d.Callers)
	c.count("Services", len(d.Services), 1, MaxServices)
	names := distinct[string]{}
	for i := range d.Services {
		p := indexPath("Services", i)
		c.identifier(fieldPath(p, "Name"), d.Services[i].Name)
		names.check(&c.faults, fieldPath(p, "Name"), d.Services[i].Name)
		c.service(p, &d.Services[i])
	}
	c.count("Routes", len(d.Routes), 0, MaxRoutes)
	if err := d.Routing().Check(); err != nil && len(c.faults) == 0 {
		c.faults.add("Routes", "%v", err)
	}
	return c.faults
}

func (c *checker) presets(d *Document) {
	c.count("Presets", len(d.Presets), 1, MaxPresets)
	names := distinct[string]{}
	found := false
	for i, p := range d.Presets {
		at := indexPath("Presets", i)
		found = found || p.Name == d.Preset
		c.identifier(fieldPath(at, "Name"), p.Name)
		names.check(&c.faults, fieldPath(at, "Name"), p.Name)
		checkRange(&c.faults, fieldPath(at, "HedgeBudget"), p.HedgeBudget, 0, 1)
		checkRange(&c.faults, fieldPath(at, "RetryBudget"), p.RetryBudget, 0, 1)
		checkRange(&c.faults, fieldPath(at, "QueueLimit"), p.QueueLimit, 1, MaxQueueLimit)
		for _, k := range sortedKeys(p.Worth) {
			w := fieldPath(fieldPath(at, "Worth"), k)
			checkRange(&c.faults, w, p.Worth[k], 0, MaxWorth)
			if !c.kinds[k] {
				c.faults.add(w, "no service has a kind of this name")
			}
		}
	}
	if !found {
		c.faults.add("Preset", "no preset has the name %q", d.Preset)
	}
}

func (c *checker) failureDomains(all []FailureDomain) {
	c.count("FailureDomains", len(all), 1, MaxDomains)
	names := distinct[string]{}
	for i, x := range all {
		p := indexPath("FailureDomains", i)
		c.text(fieldPath(p, "Name"), x.Name)
		names.check(&c.faults, fieldPath(p, "Name"), x.Name)
		c.text(fieldPath(p, "Region"), x.Region)
		if x.State != DomainIn && x.State != DomainOut {
			c.faults.add(fieldPath(p, "State"), "must be %q or %q", DomainIn, DomainOut)
		}
	}
}

func (c *checker) callers(all []Caller) {
	c.count("Callers", len(all), 0, MaxCallers)
	names, hashes := distinct[string]{}, distinct[string]{}
	for i, x := range all {
		p := indexPath("Callers", i)
		c.identifier(fieldPath(p, "Name"), x.Name)
		names.check(&c.faults, fieldPath(p, "Name"), x.Name)
		c.count(fieldPath(p, "KeyHashes"), len(x.KeyHashes), 1, MaxKeyHashes)
		for j, h := range x.KeyHashes {
			at := indexPath(fieldPath(p, "KeyHashes"), j)
			if raw, err := hex.DecodeString(h); err != nil || len(raw) != hashBytes {
				c.faults.add(at, "must be a SHA-256 hash of 64 hex digits")
				continue
			}
			// A key shared by two callers would give one of them the access rights of the other.
			hashes.check(&c.faults, at, strings.ToLower(h))
		}
		c.count(fieldPath(p, "Services"), len(x.Services), 0, MaxServices)
		for j, s := range x.Services {
			if s != allServices && !c.services[s] {
				c.faults.add(indexPath(fieldPath(p, "Services"), j), "no service has the name %q", s)
			}
		}
	}
}

func (c *checker) count(path string, n, low, high int) {
	if n < low {
		c.faults.add(path, "must have at least %d entries, has %d", low, n)
	}
	if n > high {
		c.faults.add(path, "must have at most %d entries, has %d", high, n)
	}
}

// identifier checks a name that appears in paths, headers and log lines.
func (c *checker) identifier(path, name string) {
	if !isIdentifier(name) {
		c.faults.add(path, "must be 1 to %d letters, digits, '-', '_' or '.', and start with a letter or digit", MaxNameBytes)
	}
}

func isIdentifier(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i, r := range []byte(name) {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || r != '-' && r != '_' && r != '.') {
			return false
		}
	}
	return true
}

// text checks a display name in free text, such as the name of a town.
func (c *checker) text(path, name string) {
	if !isText(name) {
		c.faults.add(path, "must be 1 to %d bytes of printable text without spaces at its ends", MaxNameBytes)
	}
}

func isText(name string) bool {
	if name == "" || len(name) > MaxNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	for _, r := range name {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
