package gather

import (
	"bytes"
	"container/heap"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// TopK returns the greatest k records of the parts in descending order, compared byte by byte. Duplicate
// records are kept. Trailing bytes of a part that are shorter than a record are ignored.
func TopK(parts [][]byte, k int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	h := make(records, 0, max(0, min(k, total)))
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			r := p[:RecordSize]
			if len(h) < k {
				heap.Push(&h, r)
			} else if k > 0 && bytes.Compare(r, h[0]) > 0 {
				h[0] = r
				heap.Fix(&h, 0)
			}
		}
	}
	top := make([]byte, len(h)*RecordSize)
	for i := len(h) - 1; i >= 0; i-- {
		copy(top[i*RecordSize:], heap.Pop(&h).([]byte))
	}
	return top
}

// records is a min-heap of records.
type records [][]byte

func (h records) Len() int           { return len(h) }
func (h records) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h records) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *records) Push(x any)        { *h = append(*h, x.([]byte)) }

// Pop removes the last record, as required by heap.Interface.
func (h *records) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
