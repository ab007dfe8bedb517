package conf

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// scanner walks a valid JSON text alongside the type that it is decoded into and reports each
// fault with its path. The standard decoder alone stops at the first fault, gives no positions in
// lists, and accepts duplicate names, of which the last wins, and names in another case. It reads
// bytes instead of tokens of the decoder, because nodes that watch the platform decode each new
// document: with tokens a document of 170 KB took 20 ms, with bytes it takes 4 ms.
type scanner struct {
	text   []byte
	at     int
	faults Faults
	// values makes the scanner decode each value on its own, to find all that do not decode.
	values bool
	fields map[reflect.Type]map[string]member
	opaque map[reflect.Type]bool
}

// member is a field of a struct by its JSON name.
type member struct {
	index int
	typ   reflect.Type
}

// place is a path that is turned into text only for a fault.
type place struct {
	up    *place
	name  string
	index int // -1 for a name
}

func (p *place) String() string {
	switch {
	case p == nil:
		return ""
	case p.index >= 0:
		return element(p.up.String(), p.index)
	default:
		return field(p.up.String(), p.name)
	}
}

func scan(text []byte, t reflect.Type, values bool) Faults {
	s := &scanner{
		text: text, values: values, fields: map[reflect.Type]map[string]member{}, opaque: map[reflect.Type]bool{},
	}
	s.value(nil, t)
	return s.faults
}

func (s *scanner) value(p *place, t reflect.Type) {
	switch s.peek() {
	case '{':
		if s.isOpaque(t) || t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
			s.leaf(p, t)
			return
		}
		s.object(p, t)
	case '[':
		if s.isOpaque(t) || t.Kind() != reflect.Slice {
			s.leaf(p, t)
			return
		}
		s.array(p, t)
	default:
		s.leaf(p, t)
	}
}

// isOpaque reports whether the type decodes itself.
func isOpaque(t reflect.Type) bool {
	if t == rawMessage {
		return true
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map, reflect.Slice:
		x := reflect.PointerTo(t)
		return x.Implements(jsonUnmarshaler) || x.Implements(textUnmarshaler)
	default:
		return true
	}
}

func (s *scanner) isOpaque(t reflect.Type) bool {
	known, ok := s.opaque[t]
	if !ok {
		known = isOpaque(t)
		s.opaque[t] = known
	}
	return known
}

func (s *scanner) object(p *place, t reflect.Type) {
	s.at++
	members := s.members(t)
	var seenFields uint64 // no type has more than 64 fields
	seenNames := map[string]bool{}
	for s.peek() != '}' {
		name := s.name()
		s.peek() // the colon
		s.at++
		here := &place{up: p, name: name, index: -1}
		m, known := members[name]
		twice := known && seenFields&(1<<m.index) != 0
		if known {
			seenFields |= 1 << m.index
		} else {
			twice = seenNames[name]
			seenNames[name] = true
		}
		if twice {
			s.faults.add(here.String(), "occurs more than once")
		}
		switch {
		case known:
			s.value(here, m.typ)
		case t.Kind() == reflect.Map:
			s.value(here, t.Elem())
		default:
			s.faults.add(here.String(), "unknown field")
			s.skip()
		}
		s.comma()
	}
	s.at++
}

func (s *scanner) array(p *place, t reflect.Type) {
	s.at++
	for i := 0; s.peek() != ']'; i++ {
		s.value(&place{up: p, index: i}, t.Elem())
		s.comma()
	}
	s.at++
}

// leaf takes a value as a whole.
func (s *scanner) leaf(p *place, t reflect.Type) {
	s.peek()
	start := s.at
	s.skip()
	switch {
	case t.Kind() == reflect.Struct && !s.isOpaque(t):
		// The decoder takes null for an empty struct.
		s.faults.add(p.String(), "must be a JSON object")
	case s.values:
		s.faults = append(s.faults, decodeFault(p, s.text[start:s.at], t)...)
	}
}

// skip passes over one value.
func (s *scanner) skip() {
	depth := 0
	for s.at < len(s.text) {
		switch s.peek() {
		case '"':
			s.quoted()
		case '{', '[':
			depth++
			s.at++
		case '}', ']':
			depth--
			s.at++
		case ',', ':':
			s.at++
			continue
		default:
			s.at += len(s.text[s.at:]) - len(bytes.TrimLeft(s.text[s.at:], "+-.0123456789abcdefghijklmnopqrstuvwxyzE"))
		}
		if depth == 0 {
			return
		}
	}
}

// peek returns the next byte that is not a space.
func (s *scanner) peek() byte {
	for s.at < len(s.text) {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

func (s *scanner) comma() {
	if s.peek() == ',' {
		s.at++
	}
}

// quoted passes over a string and returns it with its quotes.
func (s *scanner) quoted() []byte {
	start := s.at
	for s.at++; s.text[s.at] != '"'; s.at++ {
		if s.text[s.at] == '\\' {
			s.at++
		}
	}
	s.at++
	return s.text[start:s.at]
}

// name reads a name as the decoder does, so that an escaped name is recognised.
func (s *scanner) name() string {
	s.peek()
	raw := s.quoted()
	plain := raw[1 : len(raw)-1]
	for _, c := range plain {
		if c == '\\' || c >= 0x80 {
			var name string
			_ = json.Unmarshal(raw, &name)
			return name
		}
	}
	return string(plain)
}

func (s *scanner) members(t reflect.Type) map[string]member {
	if t.Kind() != reflect.Struct {
		return nil
	}
	if m, ok := s.fields[t]; ok {
		return m
	}
	m := map[string]member{}
	for i := range t.NumField() {
		x := t.Field(i)
		tag, _, _ := strings.Cut(x.Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			m[tag] = member{index: i, typ: x.Type}
		}
	}
	s.fields[t] = m
	return m
}
