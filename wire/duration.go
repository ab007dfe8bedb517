package wire

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that JSON carries as a string such as "55ms".
type Duration time.Duration

// MarshalJSON writes the duration as a quoted string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a quoted string accepted by time.ParseDuration.
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
