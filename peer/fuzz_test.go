package peer

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	jsonv2 "github.com/go-json-experiment/json"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against request and response bodies that crash the decoder or that change when they are decoded and
// encoded again.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"RequestId":"r","Service":"s","Slice":1,"Shards":["a"],"Deadline":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"RequestId":"r","Hits":[{"Id":"a","Score":0.5,"Fields":{"x":1}}],"Covered":["a"],"Missing":[{"Shard":"b","Reason":"Deadline"}]}`))
	f.Add([]byte(`{"Order":{"Key":"k","Kind":"o","Body":1,"Timeout":"1s"},"LookUp":true}`))
	f.Add([]byte(`{"Members":[{"Address":"127.0.0.1:1","Incarnation":5,"State":"Alive"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, v := range []any{
			&wire.SliceQuery{}, &wire.SliceResult{}, &wire.OrderRelay{}, &wire.ExecuteOrder{}, &wire.ExecuteResult{},
			&wire.OrderResult{}, &wire.Failure{}, &fleet.Table{}, &Document{},
		} {
			if jsonv2.Unmarshal(body, v) != nil {
				continue
			}
			raw, err := jsonv2.Marshal(v, jsonv2.Deterministic(true))
			if err != nil {
				continue // times outside the range of years of RFC 3339 cannot be encoded
			}
			again := reflect.New(reflect.TypeOf(v).Elem()).Interface()
			if err := jsonv2.Unmarshal(raw, again); err != nil {
				t.Fatalf("%q is encoded as %s, which cannot be decoded: %v", body, raw, err)
			}
			if second, err := jsonv2.Marshal(again, jsonv2.Deterministic(true)); err != nil || string(raw) != string(second) {
				t.Fatalf("%s is encoded again as %s: %v", raw, second, err)
			}
		}
	})
}

// Guards against frames that crash the reader, and against accepting frames without a valid tag.
func FuzzReadFrame(f *testing.F) {
	key := [][]byte{bytes.Repeat([]byte{7}, 32)}
	body, err := cbor.Marshal(wire.GatherPart{Answered: []int{0}, Seals: []string{"s"}, Records: make([]byte, 16), Latencies: []byte{3}})
	if err != nil {
		f.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	frame = append(append(frame, frameMAC(key[0], "auth", 0, body)...), body...)
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := readFrame(key, bytes.NewReader(b), "auth", 0)
		if err == nil && !bytes.HasPrefix(b, frame) {
			t.Fatalf("frame %x without a valid tag was decoded as %v", b, p)
		}
	})
}
