package pool

import "time"

// answerSeconds is how many seconds answers are kept, the current one included.
const answerSeconds = 11

// recentAnswers holds the answers of the last seconds.
type recentAnswers struct {
	// seconds holds each second at its Unix time modulo answerSeconds.
	seconds [answerSeconds]answerSecond
}

// An answerSecond is what is kept of the answers in one second.
type answerSecond struct {
	unix    int64
	count   int
	longest time.Duration
}

func (a *recentAnswers) add(now time.Time, took time.Duration) {
	s := &a.seconds[now.Unix()%answerSeconds]
	if s.unix != now.Unix() {
		*s = answerSecond{unix: now.Unix()}
	}
	s.count++
	s.longest = max(s.longest, took)
}

// after returns the number of answers, and the longest one, in the seconds that began after a time.
func (a *recentAnswers) after(now, at time.Time) (count int, longest time.Duration) {
	first := max(at.Unix(), now.Unix()-answerSeconds) + 1
	for _, s := range a.seconds {
		if s.unix >= first {
			count += s.count
			longest = max(longest, s.longest)
		}
	}
	return count, longest
}

// RecordAnswer records how long a request took from its arrival to its answer, and how long it waited
// at its upstream meanwhile.
func (s *LatencyStats) RecordAnswer(now time.Time, elapsed, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.add(now, s.workWithin(elapsed, wait))
}

// AnswersAfter returns how many requests were answered in the recent seconds that began after a time.
func (s *LatencyStats) AnswersAfter(now, at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, _ := s.answers.after(now, at)
	return count
}

// LongestAnswer returns the longest time from a request to its answer in the last ten seconds, without
// waits at upstreams; zero if there was no answer.
func (s *LatencyStats) LongestAnswer(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, longest := s.answers.after(now, time.Time{})
	return longest
}

// HighLatency returns a high quantile of the latency of attempts, or the latency target until there
// are enough samples.
func (s *LatencyStats) HighLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if high := s.tracker.HighQuantile(); high > 0 {
		return high
	}
	return s.target
}
