package wire

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "55ms".
type Duration time.Duration

// MarshalJSON encodes the duration as a JSON string in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a JSON string in the format of time.ParseDuration. It returns an error for anything else.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "wire: duration must be a string such as \"55ms\"")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrapf(err, "wire: duration %q", s)
	}
	*d = Duration(v)
	return nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
