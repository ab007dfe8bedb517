package gather

import (
	"bytes"
	"encoding/binary"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// TopK returns the greatest k records of the parts in descending order, compared byte by byte. Duplicate
// records are kept. Trailing bytes of a part that are shorter than a record are ignored.
func TopK(parts [][]byte, k int) []byte { return Merge(parts, k).Records }

// Merged holds the greatest records of several parts in descending order.
type Merged struct {
	Records []byte
	// Sources holds, for each record, the index of its part.
	Sources []int
	// Full is set if there may be further records that are not greater than the last one.
	Full bool
}

// Merge returns the greatest k records of the parts with their sources.
func Merge(parts [][]byte, k int) Merged {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	k = max(0, min(k, total))
	h := make(records, 0, k)
	for i, p := range parts {
		for ; len(p) >= RecordSize && k > 0; p = p[RecordSize:] {
			r := record{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:]), i}
			if len(h) < k {
				h = append(h, r)
				h.up(len(h) - 1)
			} else if h[0].less(&r) {
				h[0] = r
				h.down(0)
			}
		}
	}
	m := Merged{Records: make([]byte, k*RecordSize), Sources: make([]int, k), Full: k < total}
	for i := k - 1; i >= 0; i-- {
		binary.BigEndian.PutUint64(m.Records[i*RecordSize:], h[0].high)
		binary.BigEndian.PutUint64(m.Records[i*RecordSize+8:], h[0].low)
		m.Sources[i] = h[0].part
		h[0] = h[i]
		h = h[:i]
		h.down(0)
	}
	return m
}

// Only returns the records whose source is kept, in descending order.
func (m Merged) Only(keep func(source int) bool) []byte {
	var kept []byte
	for i, source := range m.Sources {
		if keep(source) {
			kept = append(kept, m.Records[i*RecordSize:(i+1)*RecordSize]...)
		}
	}
	return kept
}

// Suffices reports whether the greatest k records of the parts are known, although m holds only the greatest records
// of some of them: no record that m lacks can be among the greatest k. The parts include the records of m that are kept.
func (m Merged) Suffices(parts [][]byte, k int) bool {
	if !m.Full || k <= 0 {
		return true
	}
	top := TopK(parts, k)
	if len(top)/RecordSize < k || len(m.Sources) == 0 {
		return false
	}
	least := m.Records[(len(m.Sources)-1)*RecordSize:]
	return bytes.Compare(top[len(top)-RecordSize:], least) >= 0
}

// record is a record as two numbers, which compare like its bytes, with the index of its part.
type record struct {
	high, low uint64
	part      int
}

func (r *record) less(o *record) bool {
	return r.high < o.high || r.high == o.high && r.low < o.low
}

// records is a binary heap with the least record first. Unlike with container/heap, a record takes no allocation.
type records []record

func (h records) up(i int) {
	for parent := (i - 1) / 2; i > 0 && h[i].less(&h[parent]); parent = (i - 1) / 2 {
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (h records) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].less(&h[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
