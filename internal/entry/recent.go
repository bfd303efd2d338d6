package entry

// recentSize is how many requests one generation remembers.
const recentSize = 16384

// recent is a set of fingerprints that forgets the oldest, by generations. The
// zero value is empty; it is not safe for concurrent use.
type recent struct {
	young, old map[uint64]struct{}
}

func (r *recent) add(fingerprint uint64) {
	if len(r.young) >= recentSize || r.young == nil {
		r.old = r.young
		r.young = make(map[uint64]struct{})
	}
	r.young[fingerprint] = struct{}{}
}

func (r *recent) has(fingerprint uint64) bool {
	if _, ok := r.young[fingerprint]; ok {
		return true
	}
	_, ok := r.old[fingerprint]
	return ok
}
