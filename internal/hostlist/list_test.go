package hostlist

import "testing"

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"name":"a","gate-address":"127.0.0.1:1"}]`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode(data) })
}
