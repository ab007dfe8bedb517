package trial

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

// maxTraceLine is the maximum size of a record in bytes. It fits the longest query text with JSON escapes
// and the other fields.
const maxTraceLine = 128 << 10

// Trace is the record of one finished request, a line of JSON in a trace file. Either Query or QueryHash
// identifies the query; with the hash, a node can record a trace without the text of its callers' queries.
type Trace struct {
	// At is the arrival time.
	At        time.Time         `json:"At"`
	RequestID string            `json:"RequestId"`
	Service   string            `json:"Service"`
	Kind      string            `json:"Kind"`
	Query     string            `json:"Query,omitempty"`
	QueryHash guard.Fingerprint `json:"QueryHash,omitempty"`
	Timeout   wire.Duration     `json:"Timeout"`
	Outcome   wire.Outcome      `json:"Outcome"`
	Latency   wire.Duration     `json:"Latency"`
	// Sends is the number of shard requests sent.
	Sends int `json:"Sends"`
}

// Fingerprint returns QueryHash if it is set, and the fingerprint of service, kind and query text otherwise.
func (t *Trace) Fingerprint() guard.Fingerprint {
	if t.QueryHash != 0 {
		return t.QueryHash
	}
	return guard.FingerprintOf(t.Service, t.Kind, t.Query)
}

func (t *Trace) validate() error {
	switch {
	case t.At.IsZero():
		return errors.New("At is missing")
	case t.RequestID == "":
		return errors.New("RequestId is missing")
	case t.Service == "" || t.Kind == "":
		return errors.New("Service or Kind is missing")
	case t.Timeout <= 0:
		return errors.New("Timeout must be positive")
	case t.Latency < 0 || t.Sends < 0:
		return errors.New("Latency and Sends must not be negative")
	case t.Outcome != wire.Answered && t.Outcome != wire.Refused && t.Outcome != wire.Unknown:
		return errors.Newf("unknown Outcome %q", t.Outcome)
	}
	return nil
}

// ParseTrace decodes and validates one line of a trace file. Unknown keys are errors.
func ParseTrace(line []byte) (Trace, error) {
	var t Trace
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		return Trace{}, errors.Wrap(err, "trial: decode trace record")
	}
	if d.More() {
		return Trace{}, errors.New("trial: decode trace record: more than one value in a line")
	}
	if err := t.validate(); err != nil {
		return Trace{}, errors.Wrap(err, "trial: validate trace record")
	}
	return t, nil
}

// ReadTraces reads a trace file. Empty lines are skipped; errors include the line number, counted from 1.
func ReadTraces(r io.Reader) ([]Trace, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxTraceLine)
	var list []Trace
	n := 0
	for s.Scan() {
		n++
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		t, err := ParseTrace(s.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "trial: read traces: line %d", n)
		}
		list = append(list, t)
	}
	return list, errors.Wrapf(s.Err(), "trial: read traces: line %d", n+1)
}

// Recorder writes traces. It is safe for concurrent use. A nil Recorder discards all traces.
type Recorder struct {
	mutex  sync.Mutex
	writer io.Writer
	err    error
}

// NewRecorder returns a recorder that writes one line per request to w, each with a single call of Write.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{writer: w}
}

// Record writes the trace of a finished request. After the first error it drops all further traces, so
// that a full disk does not delay requests. Err returns the error.
func (r *Recorder) Record(t Trace) {
	if r == nil {
		return
	}
	line, err := json.Marshal(t)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.err != nil {
		return
	}
	if err != nil {
		r.err = errors.Wrap(err, "trial: encode trace record")
		return
	}
	if _, err = r.writer.Write(append(line, '\n')); err != nil {
		r.err = errors.Wrap(err, "trial: write trace record")
	}
}

// Err returns the error that stopped the recording, or nil.
func (r *Recorder) Err() error {
	if r == nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.err
}
