package conf

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes is the maximum size of a value in the platform's configuration service.
const MaxDocumentBytes = 1 << 20

// MaxSettingsBytes is the maximum size of a settings file, which has a fixed number of fields.
const MaxSettingsBytes = 64 << 10

// ParseDocument decodes a configuration document. Unknown fields, field names in the wrong case,
// duplicate names and trailing data are faults, which it returns as an error of type Faults. It does
// not validate the document; see Document.Check.
func ParseDocument(b []byte) (*Document, error) {
	return decode[Document](b, MaxDocumentBytes)
}

// ParseDelta decodes a delta by the same rules as ParseDocument.
func ParseDelta(b []byte) (*Delta, error) {
	return decode[Delta](b, MaxDocumentBytes)
}

// ParseSettings decodes a settings file by the same rules as ParseDocument and sets the defaults. It
// does not validate the settings; see Settings.Check.
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
	t := reflect.TypeFor[T]()
	faults := scan(b, t, false)
	v := new(T)
	err := json.Unmarshal(b, v)
	if err != nil {
		faults = scan(b, t, true)
	}
	switch {
	case len(faults) > 0:
		return nil, faults
	case err != nil:
		return nil, errors.Wrap(err, "conf: decode")
	}
	return v, nil
}

// syntaxFault reports a syntax error by its line; the decoder gives only an offset.
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
	rawMessage      = reflect.TypeFor[json.RawMessage]()
)

// decodeFault decodes one value of a larger text into type t and returns the faults of that value.
func decodeFault(p *pathNode, raw []byte, t reflect.Type) Faults {
	var f Faults
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch) && t.Kind() == reflect.Slice && !isOpaque(t):
		f.add(p.String(), "must be a JSON array")
	case errors.As(err, &mismatch) && t.Kind() == reflect.Map && !isOpaque(t):
		f.add(p.String(), "must be a JSON object")
	case errors.As(err, &mismatch):
		f.add(p.String(), "must not be a JSON %s", mismatch.Value)
	case err != nil:
		f.add(p.String(), "%v", err)
	}
	return f
}
