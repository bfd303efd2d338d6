package dispatch

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one record in the body of a part's response, in bytes.
const RecordSize = 16

// merge returns the top greatest records of all parts in descending order, compared
// byte by byte. Equal records are all kept; a trailing remainder shorter than a
// record is ignored.
func merge(parts [][]byte, top int) []byte {
	count := 0
	for _, p := range parts {
		count += len(p) / RecordSize
	}
	records := make([][RecordSize]byte, 0, count)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			records = append(records, [RecordSize]byte(p))
		}
	}
	slices.SortFunc(records, func(a, b [RecordSize]byte) int { return bytes.Compare(b[:], a[:]) })
	records = records[:min(len(records), max(0, top))]
	merged := make([]byte, 0, len(records)*RecordSize)
	for i := range records {
		merged = append(merged, records[i][:]...)
	}
	return merged
}
