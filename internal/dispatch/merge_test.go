package dispatch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMergeIsSortAndCut compares merge with sorting all records.
func TestMergeIsSortAndCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 5*RecordSize), 0, 5).Draw(t, "parts")
		top := rapid.IntRange(-1, 12).Draw(t, "top")
		var records []string
		for _, p := range parts {
			for ; len(p) >= RecordSize; p = p[RecordSize:] {
				records = append(records, string(p[:RecordSize]))
			}
		}
		slices.Sort(records)
		slices.Reverse(records)
		want := ""
		for _, r := range records[:min(len(records), max(0, top))] {
			want += r
		}
		if got := string(merge(parts, top)); got != want {
			t.Fatalf("merged %x, want %x", got, want)
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	for _, size := range []struct{ parts, records, top int }{{10, 62, 50}, {36, 12, 10}, {225, 62, 50}} {
		b.Run(fmt.Sprint(size.parts), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			parts := make([][]byte, size.parts)
			for i := range parts {
				parts[i] = make([]byte, size.records*RecordSize)
				for j := range parts[i] {
					parts[i][j] = byte(random.Uint32())
				}
			}
			qt.New(b).Assert(bytes.Equal(parts[0], parts[1]), qt.IsFalse)
			b.ReportAllocs()
			for b.Loop() {
				merge(parts, size.top)
			}
		})
	}
}
