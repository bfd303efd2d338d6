package upstream

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// maxRest bounds the rest of an upstream, so that a wrong value does not take it out of
	// service for hours.
	maxRest = 10 * time.Minute
	// unclearRest is the rest of an upstream that does not say for how long.
	unclearRest = time.Second
)

// A RestError means that an upstream has asked for rest for an implausible time.
type RestError struct {
	Stated string
	// Used is how long the upstream rests instead.
	Used time.Duration
}

// Error implements error.
func (e *RestError) Error() string {
	return fmt.Sprintf("upstream asks for rest for %q seconds; using %s", e.Stated, e.Used)
}

// ParseRest returns how long an upstream rests that has asked for rest for a number of
// seconds, which may have fractions. For an implausible number it also returns a
// *RestError.
func ParseRest(stated string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(stated, 64)
	switch {
	case err != nil || seconds != seconds:
		return unclearRest, &RestError{Stated: stated, Used: unclearRest}
	case seconds < 0:
		return 0, &RestError{Stated: stated}
	case seconds > maxRest.Seconds():
		return maxRest, &RestError{Stated: stated, Used: maxRest}
	default:
		return time.Duration(seconds * float64(time.Second)), nil
	}
}
