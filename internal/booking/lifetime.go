package booking

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// KeyPrefix is the prefix of the keys of all claims.
	KeyPrefix = "foxtailshelf/claims/"
	// keptPrefix is the key prefix of claims for request ids without a creation
	// time. These claims never expire, since the request may be sent again at any
	// time.
	keptPrefix = KeyPrefix + "kept/"
	// bucketPeriod is the length of a bucket. A bucket holds the claims of ids
	// created in the same period, which are deleted together.
	bucketPeriod = time.Hour
	// maxIDAge is how long after its creation an id is accepted.
	maxIDAge = 24 * time.Hour
	// maxClockDifference is how much the clocks of callers and hosts may differ.
	maxClockDifference = time.Hour
	// bucketsPerSweep is how many expired buckets each sweep deletes. It is
	// more than one so that missed sweeps are made up for.
	bucketsPerSweep = 24
)

// Key returns the key of the claim for a request to a service. Claims of ids
// that contain a creation time (UUID version 7) are in a bucket of one hour.
func Key(service, requestID string) string {
	if createdAt, ok := creationTime(requestID); ok {
		return bucketPrefix(createdAt) + service + "/" + requestID
	}
	return keptPrefix + service + "/" + requestID
}

// Expired reports whether an id was created more than maxIDAge ago, or more than
// maxClockDifference ahead of now. Its claim may have been deleted, so it cannot
// be determined whether the request was run.
func Expired(requestID string, now time.Time) bool {
	createdAt, ok := creationTime(requestID)
	return ok && (now.Sub(createdAt) > maxIDAge || createdAt.Sub(now) > maxClockDifference)
}

// ExpiredPrefixes returns the key prefixes of the newest bucketsPerSweep buckets
// whose ids are no longer accepted by any host with a clock that is right within
// maxClockDifference. Twice that difference is allowed, since the clock of the
// deleting host may be ahead while the clock of the accepting host is behind.
func ExpiredPrefixes(now time.Time) []string {
	var prefixes []string
	newest := now.Add(-maxIDAge - 2*maxClockDifference - bucketPeriod)
	for i := range bucketsPerSweep {
		prefixes = append(prefixes, bucketPrefix(newest.Add(-time.Duration(i)*bucketPeriod)))
	}
	return prefixes
}

func bucketPrefix(t time.Time) string {
	return fmt.Sprintf("%s%d/", KeyPrefix, t.Unix()/int64(bucketPeriod/time.Second))
}

// creationTime returns when an id was created, if the id contains the time.
func creationTime(requestID string) (time.Time, bool) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}
