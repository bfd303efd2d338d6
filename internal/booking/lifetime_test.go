package booking

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// TestSweptClaimsCanNotRunAgain checks that no id is accepted whose claim may be
// swept, however the clocks differ within the margin.
func TestSweptClaimsCanNotRunAgain(t *testing.T) {
	c := qt.New(t)
	id := uuid.Must(uuid.NewV7()).String()
	made, ok := madeAt(id)
	c.Assert(ok, qt.IsTrue)
	swept := false
	for age := -2 * time.Hour; age < 60*time.Hour; age += 10 * time.Minute {
		for _, prefix := range ExpiredPrefixes(made.Add(age)) {
			if !strings.HasPrefix(Key("s", id), prefix) {
				continue
			}
			swept = true
			c.Assert(Expired(id, made.Add(age-clockMargin)), qt.IsTrue, qt.Commentf("age %s", age))
		}
	}
	c.Check(swept, qt.IsTrue)
	c.Check(Expired(id, made.Add(time.Hour)), qt.IsFalse)
	c.Check(Expired(id, made.Add(-2*time.Hour)), qt.IsTrue)
}

func TestOtherIdsAreKept(t *testing.T) {
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
