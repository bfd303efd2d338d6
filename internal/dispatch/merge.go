package dispatch

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record of a part, in bytes.
const RecordSize = 16

// merge returns the greatest records of all parts, greatest first, compared
// byte by byte. Equal records all count; a remainder shorter than a record is
// not one.
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
