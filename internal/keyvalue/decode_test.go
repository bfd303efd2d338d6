package keyvalue

import "testing"

func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(`[{"Key":"a","Value":"eA==","ModifyIndex":3}]`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = decodeEntry("a", data) })
}
