package entry

// generationSize is how many fingerprints one generation holds.
const generationSize = 16384

// recentSet is a set of the request fingerprints that were added last, at most
// 2*generationSize. It keeps two generations; when the current generation is full,
// the previous one is dropped and a new one begins. The zero value is empty. A
// recentSet is not safe for concurrent use.
type recentSet struct {
	current, previous map[uint64]struct{}
}

func (r *recentSet) add(fingerprint uint64) {
	if len(r.current) >= generationSize || r.current == nil {
		r.previous = r.current
		r.current = make(map[uint64]struct{})
	}
	r.current[fingerprint] = struct{}{}
}

func (r *recentSet) contains(fingerprint uint64) bool {
	if _, ok := r.current[fingerprint]; ok {
		return true
	}
	_, ok := r.previous[fingerprint]
	return ok
}
