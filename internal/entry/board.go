package entry

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// surveyAfter is the age from which versions are asked for again.
	surveyAfter = time.Second
	// surveyBefore is the age from which a query waits for the survey.
	surveyBefore  = 5 * time.Second
	surveyTimeout = 300 * time.Millisecond
)

// board is what an entry knows of the shards of one service. It is safe for
// concurrent use.
type board struct {
	mu       sync.Mutex
	versions *snapshot.Board
	waits    map[string]waitHint
	// surveying is not nil while a survey runs and closed at its end.
	surveying chan struct{}
}

// waitHint is how long a shard said new requests wait.
type waitHint struct {
	at    time.Time
	waits [catalog.Urgencies]time.Duration
}

func newBoard() *board {
	return &board{versions: snapshot.NewBoard(), waits: make(map[string]waitHint)}
}

// note takes what a gate said of a shard.
func (b *board) note(now time.Time, path string, waitMicros []int64, versions []*wire.ShardVersion) {
	if len(waitMicros) != catalog.Urgencies {
		return
	}
	replicas := make(map[snapshot.Version]int)
	for _, v := range versions {
		replicas[snapshot.New(v.GetVersion().GetNumber(), v.GetVersion().GetMap())] = int(v.GetReplicas())
	}
	hint := waitHint{at: now}
	for u, micros := range waitMicros {
		hint.waits[u] = time.Duration(micros) * time.Microsecond
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions.Report(now, path, replicas)
	b.waits[path] = hint
}

// wait returns the longest wait of the shards: what was said, less the time
// since then, in which the queue moved on.
func (b *board) wait(now time.Time, paths []string, u catalog.Urgency) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := time.Duration(0)
	for _, p := range paths {
		h := b.waits[p]
		longest = max(longest, h.waits[u.Bounded()]-now.Sub(h.at))
	}
	return longest
}

func (b *board) choose(s *catalog.Service) (snapshot.Version, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions.Choose(s.ShardPaths, s.MinReplicas())
}

func (b *board) gone(path string, v snapshot.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions.Gone(path, v)
}

func (b *board) fresh(now time.Time, paths []string, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions.Fresh(now, age, paths)
}

// survey makes sure that the versions of a service are known; it waits only if
// they are unknown or old.
func (e *Entry) survey(ctx context.Context, s *catalog.Service, b *board, version snapshot.Version) {
	paths := s.ShardPaths(version.Map())
	now := time.Now()
	if len(paths) > 0 && b.fresh(now, paths, surveyAfter) {
		return
	}
	done := e.startSurvey(s, b)
	if len(paths) > 0 && b.fresh(now, paths, surveyBefore) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// startSurvey starts a survey unless one runs.
func (e *Entry) startSurvey(s *catalog.Service, b *board) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.surveying != nil {
		return b.surveying
	}
	done := make(chan struct{})
	b.surveying = done
	started := e.group.Go(func() {
		e.runSurvey(s, b)
		b.mu.Lock()
		b.surveying = nil
		b.mu.Unlock()
		close(done)
	})
	if !started {
		b.surveying = nil
		close(done)
	}
	return done
}

// runSurvey asks the owners of all shards of all maps of a service.
func (e *Entry) runSurvey(s *catalog.Service, b *board) {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	byGate := make(map[string][]string)
	now := time.Now()
	for _, g := range s.Groups() {
		if m, ok := e.view.owner(g.Name(), now, nil); ok {
			byGate[m.GateAddress()] = append(byGate[m.GateAddress()], g.Shards()...)
		}
	}
	var group sync.WaitGroup
	for address, paths := range byGate {
		group.Go(func() {
			reply, err := e.Gates.Survey(ctx, address, &wire.SurveyRequest{Service: s.Name(), Shards: paths})
			if err != nil {
				return
			}
			e.follower.Hint(reply.GetRevision(), address)
			for _, r := range reply.GetReports() {
				b.note(time.Now(), r.GetShard(), r.GetWaitMicros(), r.GetVersions())
			}
		})
	}
	group.Wait()
}
