package conf

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes is the largest value that the platform's configuration service holds.
const MaxDocumentBytes = 1 << 20

// MaxSettingsBytes bounds a settings file, which has a fixed number of fields.
const MaxSettingsBytes = 64 << 10

// ParseDocument decodes a configuration document. Unknown fields, field names in another case,
// names that occur twice and trailing data are faults; the error is then Faults. The document is
// not checked: see Document.Check.
func ParseDocument(b []byte) (*Document, error) {
	return decode[Document](b, MaxDocumentBytes)
}

// ParseDelta decodes a delta with the same rules as ParseDocument.
func ParseDelta(b []byte) (*Delta, error) {
	return decode[Delta](b, MaxDocumentBytes)
}

// ParseSettings decodes a settings file with the same rules as ParseDocument and fills in the
// defaults. The settings are not checked: see Settings.Check.
func ParseSettings(b []byte) (*Settings, error) {
	s, err := decode[Settings](b, MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	return s, nil
}

func decode[T any](b []byte, limit int) (*T, error) {
	if len(b) > limit {
		return nil, Faults{{Detail: fmt.Sprintf("has %d bytes, more than %d", len(b), limit)}}
	}
	if !json.Valid(b) {
		return nil, syntaxFault(b)
	}
	var f Faults
	d := json.NewDecoder(bytes.NewReader(b))
	if err := inspect(d, &f, "", reflect.TypeFor[T]()); err != nil {
		return nil, errors.Wrap(err, "conf: inspect fields")
	}
	if len(f) > 0 {
		return nil, f
	}
	v := new(T)
	if err := json.Unmarshal(b, v); err != nil {
		return nil, errors.Wrap(err, "conf: decode")
	}
	return v, nil
}

// syntaxFault names the line of a syntax error, which the decoder gives as an offset.
func syntaxFault(b []byte) Faults {
	var f Faults
	var v json.RawMessage
	err := json.Unmarshal(b, &v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		at := min(int(syntax.Offset), len(b))
		f.add("", "line %d: %v", 1+bytes.Count(b[:at], []byte("\n")), err)
		return f
	}
	f.add("", "%v", err)
	return f
}

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// inspect walks the next JSON value alongside the type that it is decoded into and reports each
// fault with its path. The standard decoder alone stops at the first fault, gives no positions in
// lists, and accepts duplicate names, of which the last wins, and names in another case.
func inspect(d *json.Decoder, f *Faults, path string, t reflect.Type) error {
	switch {
	case reflect.PointerTo(t).Implements(jsonUnmarshaler), reflect.PointerTo(t).Implements(textUnmarshaler):
		return inspectValue(d, f, path, t)
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return inspectObject(d, f, path, t)
	case t.Kind() == reflect.Slice:
		return inspectArray(d, f, path, t)
	default:
		return inspectValue(d, f, path, t)
	}
}

func inspectObject(d *json.Decoder, f *Faults, path string, t reflect.Type) error {
	open, err := d.Token()
	if err != nil {
		return err
	}
	if open != json.Delim('{') {
		if open != nil || t.Kind() != reflect.Map {
			f.add(path, "must be a JSON object")
		}
		return skipRest(d, open)
	}
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		p := field(path, name)
		if seen[name] {
			f.add(p, "occurs more than once")
		}
		seen[name] = true
		next, ok := memberType(t, name)
		if !ok {
			f.add(p, "unknown field")
			next = reflect.TypeFor[json.RawMessage]()
		}
		if err := inspect(d, f, p, next); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

func inspectArray(d *json.Decoder, f *Faults, path string, t reflect.Type) error {
	open, err := d.Token()
	if err != nil {
		return err
	}
	if open != json.Delim('[') {
		// Go writes an empty list as null.
		if open != nil {
			f.add(path, "must be a JSON array")
		}
		return skipRest(d, open)
	}
	for i := 0; d.More(); i++ {
		if err := inspect(d, f, element(path, i), t.Elem()); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

func inspectValue(d *json.Decoder, f *Faults, path string, t reflect.Type) error {
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		return err
	}
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		f.add(path, "must not be a JSON %s", mismatch.Value)
	case err != nil:
		f.add(path, "%v", err)
	}
	return nil
}

// skipRest reads to the end of a value of which the first token has been read.
func skipRest(d *json.Decoder, open json.Token) error {
	for depth := delimDepth(open); depth > 0; {
		token, err := d.Token()
		if err != nil {
			return err
		}
		depth += delimDepth(token)
	}
	return nil
}

// delimDepth returns by how much a token changes the depth of nesting.
func delimDepth(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	default:
		return 0
	}
}

// memberType returns the type of a struct field by its JSON name, or of any value of a map.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for i := range t.NumField() {
		x := t.Field(i)
		tag, _, _ := strings.Cut(x.Tag.Get("json"), ",")
		if tag == name && tag != "-" {
			return x.Type, true
		}
	}
	return nil, false
}
