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
	compare := func(a, b [RecordSize]byte) int { return bytes.Compare(b[:], a[:]) }
	var greatest [][RecordSize]byte
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			record := [RecordSize]byte(p)
			isFull := len(greatest) >= top
			if isFull && (top <= 0 || compare(record, greatest[top-1]) >= 0) {
				continue
			}
			if isFull {
				greatest = greatest[:top-1]
			}
			i, _ := slices.BinarySearchFunc(greatest, record, compare)
			greatest = slices.Insert(greatest, i, record)
		}
	}
	merged := make([]byte, 0, len(greatest)*RecordSize)
	for i := range greatest {
		merged = append(merged, greatest[i][:]...)
	}
	return merged
}
