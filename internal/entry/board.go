package entry

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// surveyAfter is the age from which versions are asked for again.
	surveyAfter = time.Second
	// surveyBefore is the age from which a query waits for the survey.
	surveyBefore  = 5 * time.Second
	surveyTimeout = 400 * time.Millisecond
	// surveyRounds is how many owners of a group are tried.
	surveyRounds = 2
)

// board is what an entry knows of the shards of one service. It is safe for
// concurrent use.
type board struct {
	mu       sync.Mutex
	versions *snapshot.VersionCache
	waits    map[string]waitHint
	// surveying is not nil while a survey runs and closed at its end.
	surveying chan struct{}
}

// waitHint is how long a shard said new requests wait.
type waitHint struct {
	at    time.Time
	waits [catalog.UrgencyCount]time.Duration
}

func newBoard() *board {
	return &board{versions: snapshot.NewVersionCache(), waits: make(map[string]waitHint)}
}

// note takes what a gate said of a shard.
func (b *board) note(now time.Time, path string, waitMicros []int64, versions []*wire.ShardVersion) {
	if len(waitMicros) != catalog.UrgencyCount {
		return
	}
	replicas := make(map[snapshot.Version]int)
	for _, v := range versions {
		replicas[peer.DecodeVersion(v.GetVersion())] = int(v.GetReplicas())
	}
	hint := waitHint{at: now}
	for u, micros := range waitMicros {
		hint.waits[u] = time.Duration(micros) * time.Microsecond
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions.Update(now, path, replicas)
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
		longest = max(longest, h.waits[u.OrBackground()]-now.Sub(h.at))
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
	b.versions.MarkUnavailable(path, v)
}

func (b *board) fresh(now time.Time, paths []string, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions.IsFresh(now, age, paths)
}

// survey makes sure that the versions of a service are known. It waits only if
// they are unknown or old, and reports whether it did.
func (e *Entry) survey(ctx context.Context, s *catalog.Service, b *board, version snapshot.Version) bool {
	paths := s.ShardPaths(version.ShardMap())
	now := time.Now()
	if len(paths) > 0 && b.fresh(now, paths, surveyAfter) {
		return false
	}
	done := e.startSurvey(s, b, false)
	if len(paths) > 0 && b.fresh(now, paths, surveyBefore) {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}

// surveyAnew asks the owners to ask their upstreams, and waits.
func (e *Entry) surveyAnew(ctx context.Context, s *catalog.Service, b *board) {
	select {
	case <-e.startSurvey(s, b, true):
	case <-ctx.Done():
	}
}

// startSurvey starts a survey unless one runs.
func (e *Entry) startSurvey(s *catalog.Service, b *board, refresh bool) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.surveying != nil {
		return b.surveying
	}
	done := make(chan struct{})
	b.surveying = done
	started := e.group.Go(func() {
		e.runSurvey(s, b, refresh)
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

// runSurvey asks the owners of all shards of all maps of a service, and the
// next owners where one cannot be reached.
func (e *Entry) runSurvey(s *catalog.Service, b *board, refresh bool) {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	groups := s.Groups()
	for range surveyRounds {
		groups = e.surveyGroups(ctx, s, b, groups, refresh)
	}
}

// surveyGroups returns the groups whose owner could not be reached.
func (e *Entry) surveyGroups(ctx context.Context, s *catalog.Service, b *board, groups []*catalog.Group, refresh bool) []*catalog.Group {
	byOwner := make(map[roster.Member][]*catalog.Group)
	now := time.Now()
	for _, g := range groups {
		if m, ok := e.view.owner(g.Name(), now); ok {
			byOwner[m] = append(byOwner[m], g)
		}
	}
	var mu sync.Mutex
	var unreached []*catalog.Group
	var group sync.WaitGroup
	for m, owned := range byOwner {
		group.Go(func() {
			if e.surveyOwner(ctx, m, s, b, owned, refresh) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unreached = append(unreached, owned...)
		})
	}
	group.Wait()
	return unreached
}

// surveyOwner asks one gate about its groups.
func (e *Entry) surveyOwner(ctx context.Context, m roster.Member, s *catalog.Service, b *board, groups []*catalog.Group, refresh bool) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout/surveyRounds)
	defer cancel()
	request := &wire.SurveyRequest{Service: s.Name(), Refresh: refresh}
	for _, g := range groups {
		request.Shards = append(request.Shards, g.ShardPaths()...)
	}
	reply, err := e.GateTransport.Survey(ctx, m.GateAddress(), request)
	if err != nil {
		e.view.avoid(m.Host(), time.Now())
		return false
	}
	e.follower.HandlePeerRevision(reply.GetRevision(), m.GateAddress())
	for _, r := range reply.GetReports() {
		b.note(time.Now(), r.GetShard(), r.GetWaitMicros(), r.GetVersions())
	}
	return true
}
