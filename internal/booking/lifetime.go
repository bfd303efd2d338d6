package booking

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// KeyPrefix comes before all claims.
	KeyPrefix = "foxtailshelf/claims/"
	// keptPrefix is for ids that do not tell their time: their claims must be
	// kept, since the request may come again at any time.
	keptPrefix = KeyPrefix + "kept/"
	// bucket is the time whose claims are deleted together.
	bucket = time.Hour
	// requestLife is how long after its making an id is accepted.
	requestLife = 24 * time.Hour
	// clockMargin is how much the clocks of callers and hosts may differ.
	clockMargin = time.Hour
	// sweptBuckets is how many old buckets are deleted each time, so that a
	// time without a sweep is made up for.
	sweptBuckets = 24
)

// Key returns the key of the claim for a request of a service. Ids that tell
// their time (UUID version 7) are kept by the hour.
func Key(service, requestID string) string {
	if made, ok := madeAt(requestID); ok {
		return bucketPrefix(made) + service + "/" + requestID
	}
	return keptPrefix + service + "/" + requestID
}

// Expired reports whether an id is so old, or so far ahead, that its claim may
// be gone: whether the request was run cannot be known any more.
func Expired(requestID string, now time.Time) bool {
	made, ok := madeAt(requestID)
	return ok && (now.Sub(made) > requestLife || made.Sub(now) > clockMargin)
}

// ExpiredPrefixes returns the prefixes of all claims that no accepted id can have any
// more, on any host whose clock is right to the margin.
func ExpiredPrefixes(now time.Time) []string {
	var prefixes []string
	newest := now.Add(-requestLife - 2*clockMargin - bucket)
	for i := range sweptBuckets {
		prefixes = append(prefixes, bucketPrefix(newest.Add(-time.Duration(i)*bucket)))
	}
	return prefixes
}

func bucketPrefix(t time.Time) string {
	return fmt.Sprintf("%s%d/", KeyPrefix, t.Unix()/int64(bucket/time.Second))
}

// madeAt returns when an id was made, if it tells.
func madeAt(requestID string) (time.Time, bool) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}
