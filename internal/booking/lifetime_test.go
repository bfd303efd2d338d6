package booking

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// TestIDsWithExpiredPrefixesAreRejected guards against running a request twice
// because its claim was deleted: a host whose clock is maxClockDifference behind
// that of the deleting host accepts no id whose claim is being deleted. The claim
// is deleted at some age, an id of one hour is accepted, and an id two hours ahead
// of the clock is rejected.
func TestIDsWithExpiredPrefixesAreRejected(t *testing.T) {
	c := qt.New(t)
	id := uuid.Must(uuid.NewV7()).String()
	createdAt, ok := creationTime(id)
	c.Assert(ok, qt.IsTrue)
	found := false
	for age := -2 * time.Hour; age < 60*time.Hour; age += 10 * time.Minute {
		for _, prefix := range ExpiredPrefixes(createdAt.Add(age)) {
			if !strings.HasPrefix(Key("s", id), prefix) {
				continue
			}
			found = true
			c.Assert(Expired(id, createdAt.Add(age-maxClockDifference)), qt.IsTrue, qt.Commentf("age %s", age))
		}
	}
	c.Check(found, qt.IsTrue)
	c.Check(Expired(id, createdAt.Add(time.Hour)), qt.IsFalse)
	c.Check(Expired(id, createdAt.Add(-2*time.Hour)), qt.IsTrue)
}

func TestClaimsOfIDsWithoutTimeDoNotExpire(t *testing.T) {
	c := qt.New(t)
	for _, id := range []string{"booking-17", uuid.NewString()} {
		c.Check(Key("s", id), qt.Equals, keptPrefix+"s/"+id)
		c.Check(Expired(id, time.Now()), qt.IsFalse)
	}
}

func FuzzParseRecord(f *testing.F) {
	f.Add([]byte(`{"nonce":"n","phase":"done","digest":"d","part":{"shard":"s","body":"eA=="}}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = ParseRecord(data) })
}
