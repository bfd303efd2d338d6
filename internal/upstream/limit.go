package upstream

import (
	"fmt"
	"strconv"
)

const (
	// minLimit is the lowest limit that is applied. An upstream without any request could
	// not state that its limit has ended.
	minLimit = 0.1
	// maxLimit is more requests a second than any upstream takes; a higher limit is none.
	maxLimit = 1e6
)

// A LimitError means that an upstream has stated an implausible limit.
type LimitError struct {
	Stated string
	// Used is the limit that is applied instead; zero for none.
	Used float64
}

// Error implements error.
func (e *LimitError) Error() string {
	if e.Used == 0 {
		return fmt.Sprintf("upstream states a limit of %q requests per second; using none", e.Stated)
	}
	return fmt.Sprintf("upstream states a limit of %q requests per second; using %g", e.Stated, e.Used)
}

// IsPlausibleLimit reports whether ParseLimit may return a limit.
func IsPlausibleLimit(limit float64) bool {
	return limit == 0 || (limit >= minLimit && limit <= maxLimit)
}

// ParseLimit returns how many requests per second an upstream takes from all hosts
// together; zero for no limit. For an implausible number it also returns a *LimitError.
func ParseLimit(stated string) (float64, error) {
	limit, err := strconv.ParseFloat(stated, 64)
	switch {
	case limit > maxLimit:
		return 0, &LimitError{Stated: stated}
	case err != nil || limit != limit || limit < 0:
		return 0, &LimitError{Stated: stated}
	case limit < minLimit:
		return minLimit, &LimitError{Stated: stated, Used: minLimit}
	default:
		return limit, nil
	}
}
