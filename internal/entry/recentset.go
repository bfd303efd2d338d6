package entry

// generationSize is how many fingerprints one generation holds.
const generationSize = 16384

// recentSet is a set of request fingerprints of bounded size. It keeps two
// generations and drops the previous one when the current one is full. The zero
// value is empty; a recentSet is not safe for concurrent use.
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
