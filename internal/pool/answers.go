package pool

import "time"

// answerSeconds is how many seconds answers are kept, the current one included.
const answerSeconds = 11

// recentAnswers holds the answers of the last seconds. Steps of the time of day do not matter to it.
type recentAnswers struct {
	// startedAt is when the first answer was added. Seconds are numbered from then on, beginning with 1.
	startedAt time.Time
	// seconds holds each second at its number modulo answerSeconds.
	seconds [answerSeconds]answerSecond
}

// An answerSecond is what is kept of the answers in one second.
type answerSecond struct {
	number  int64
	count   int
	longest time.Duration
}

func (a *recentAnswers) add(now time.Time, took time.Duration) {
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	number := a.number(now)
	s := &a.seconds[number%answerSeconds]
	if s.number != number {
		*s = answerSecond{number: number}
	}
	s.count++
	s.longest = max(s.longest, took)
}

// number returns the number of the second of a time; zero before the first answer.
func (a *recentAnswers) number(t time.Time) int64 {
	if t.Before(a.startedAt) {
		return 0
	}
	return 1 + int64(t.Sub(a.startedAt)/time.Second)
}

// after returns the number of answers, and the longest one, in the seconds that began after a time.
func (a *recentAnswers) after(now, at time.Time) (count int, longest time.Duration) {
	first := max(a.number(at), a.number(now)-answerSeconds) + 1
	for _, s := range a.seconds {
		if s.number >= first {
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
	_, longest := s.answers.after(now, now.Add(-answerSeconds*time.Second))
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
