package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func crashAt(upstream int, at time.Duration, testRun bool) Crash {
	return Crash{Upstream: uint64(upstream), Service: uint64(upstream % 10), At: start.Add(at), TestRun: testRun}
}

// TestVerdicts checks that crashes in ordinary runs make a request suspect, however many
// there are, and that only crashes in test runs quarantine it.
func TestVerdicts(t *testing.T) {
	ordinary := func(n int) (list []Crash) {
		for i := range n {
			list = append(list, crashAt(i, 0, false))
		}
		return list
	}
	for _, test := range []struct {
		name    string
		crashes []Crash
		after   time.Duration
		want    Decision
		wait    time.Duration
	}{
		{"none", nil, 0, Allowed, 0},
		{"one", ordinary(1), 0, Suspect, 0},
		{"thirty at once, as in a mass crash", ordinary(30), 0, Suspect, 0},
		{"the suspicion ends", ordinary(3), suspicionPeriod + 1, Allowed, 0},
		{"one, one in a test run", append(ordinary(1), crashAt(50, 0, true)), 0, Suspect, 0},
		{"two, one in a test run", append(ordinary(2), crashAt(50, 0, true)), time.Second, Quarantined, firstQuarantinePeriod - time.Second},
		{"ten, one in a test run", append(ordinary(10), crashAt(50, 0, true)), time.Second, Quarantined, firstQuarantinePeriod - time.Second},
		{"the first quarantine is short", append(ordinary(10), crashAt(50, 0, true)), firstQuarantinePeriod, Suspect, 0},
		{"two in test runs", []Crash{crashAt(50, 0, true), crashAt(51, time.Second, true)}, time.Second, Quarantined, quarantinePeriod},
		{"suspect after the quarantine", []Crash{crashAt(50, 0, true), crashAt(51, 0, true)}, quarantinePeriod, Suspect, 0},
		{"the same upstream counts once", []Crash{crashAt(50, 0, true), crashAt(50, time.Second, true)}, time.Second, Suspect, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewCrashRecords()
			for _, crash := range test.crashes {
				r.Record(crash.At, "", Report{Fingerprint: 7, Crashes: []Crash{crash}})
			}
			v := r.Check(start.Add(test.after), 7)
			c.Check(v.Decision, qt.Equals, test.want)
			c.Check(v.Wait, qt.Equals, test.wait)
			c.Check(r.Check(start, 8).Decision, qt.Equals, Allowed)
		})
	}
}

// TestEvidenceIsMergedInAnyOrder applies the same crashes to several records, each time in
// another order, in reports of random size and with duplicates. The verdicts must be the
// same.
func TestEvidenceIsMergedInAnyOrder(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var crashes []Crash
		for i := range 1 + random.IntN(2*maxCrashes) {
			crashes = append(crashes, crashAt(i, time.Duration(random.IntN(5000))*time.Millisecond, random.IntN(4) == 0))
		}
		now := start.Add(6 * time.Second)
		var want Verdict
		for order := range 5 {
			r := NewCrashRecords()
			sent := append([]Crash(nil), crashes...)
			for range random.IntN(len(crashes) + 1) {
				sent = append(sent, crashes[random.IntN(len(crashes))])
			}
			random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
			for len(sent) > 0 {
				n := 1 + random.IntN(len(sent))
				r.Record(now, "", Report{Fingerprint: 7, Crashes: sent[:n]})
				sent = sent[n:]
			}
			if v := r.Check(now, 7); order == 0 {
				want = v
			} else {
				c.Assert(v.Decision, qt.Equals, want.Decision, qt.Commentf("seed %d", seed))
				c.Assert(v.TestRuns, qt.Equals, want.TestRuns, qt.Commentf("seed %d", seed))
				c.Assert(v.Wait, qt.Equals, want.Wait, qt.Commentf("seed %d", seed))
			}
		}
	}
}

// TestAnswersRefuteEvidence checks that an answer refutes the crashes of its service, that
// an answered test run refutes all, and that older crashes do not come back with a report
// of another host.
func TestAnswersRefuteEvidence(t *testing.T) {
	c := qt.New(t)
	r := NewCrashRecords()
	report := Report{Fingerprint: 7, Crashes: []Crash{crashAt(1, 0, false), crashAt(2, 0, false)}}
	r.Record(start, "", report)
	answered := start.Add(time.Second)
	r.RecordAnswer(answered, 7, 1)
	c.Check(r.Check(answered, 7).Crashes, qt.Equals, 1)
	r.Record(answered, "peer", report)
	c.Check(r.Check(answered, 7).Crashes, qt.Equals, 1)
	r.Clear(answered, 7)
	r.Record(answered, "peer", report)
	c.Check(r.Check(answered, 7).Decision, qt.Equals, Allowed)
	later := Report{Fingerprint: 7, Crashes: []Crash{crashAt(3, 2*time.Second, false)}}
	r.Record(answered.Add(time.Second), "peer", later)
	v := r.Check(answered.Add(time.Second), 7)
	c.Check(v.Decision, qt.Equals, Suspect)
	c.Check(v.Source, qt.Equals, "peer")
}

// TestRecordsAreBounded records crashes of three times as many requests as fit. A
// quarantined request must keep its record.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	r := NewCrashRecords()
	for i := range 3 {
		r.Record(start, "", Report{Fingerprint: 7, Crashes: []Crash{crashAt(i, 0, i > 0)}})
	}
	for f := range uint64(3 * maxSuspects) {
		r.Record(start, "", Report{Fingerprint: 100 + f, Crashes: []Crash{crashAt(1, 0, false)}})
	}
	c.Check(r.Len(), qt.Equals, maxSuspects)
	c.Check(r.Check(start, 7).Decision, qt.Equals, Quarantined)
	many := Report{Fingerprint: 9}
	for i := range 1000 {
		many.Crashes = append(many.Crashes, crashAt(i, 0, true))
	}
	r.Record(start, "", many)
	c.Check(r.Report(9).Crashes, qt.HasLen, maxCrashes)
	r.RemoveExpired(start.Add(suspicionPeriod + quarantinePeriod + 1))
	r.RemoveExpired(start.Add(2*suspicionPeriod + quarantinePeriod + 2))
	c.Check(r.Len(), qt.Equals, 0)
}

// TestReports checks that changed records come first, the strongest first, and that the
// others take turns.
func TestReports(t *testing.T) {
	c := qt.New(t)
	r := NewCrashRecords()
	for f := range uint64(20) {
		r.Record(start, "", Report{Fingerprint: f, Crashes: []Crash{crashAt(1, 0, false)}})
	}
	later := start.Add(recentPeriod + time.Second)
	r.Record(later, "", Report{Fingerprint: 100, Crashes: []Crash{crashAt(1, recentPeriod, false)}})
	r.Record(later, "", Report{Fingerprint: 101, Crashes: []Crash{crashAt(1, recentPeriod, true)}})
	seen := make(map[uint64]bool)
	for range 1000 {
		reports := r.Reports(later, 2, 3)
		c.Assert(reports, qt.HasLen, 5)
		c.Assert(fmt.Sprint(reports[0].Fingerprint, reports[1].Fingerprint), qt.Equals, "101 100")
		for _, report := range reports[2:] {
			seen[report.Fingerprint] = true
		}
	}
	c.Check(seen, qt.HasLen, 20)
}
