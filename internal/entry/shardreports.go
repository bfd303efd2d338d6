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
	// surveyAge is the age of shard reports above which a new survey is started. It
	// is also the retry time of requests for which no version can be served.
	surveyAge = time.Second
	// blockingSurveyAge is the age of shard reports above which a query waits for
	// the survey.
	blockingSurveyAge = 5 * time.Second
	surveyTimeout     = 400 * time.Millisecond
	// maxSurveyRounds is how many gates are asked for the reports on a group: its
	// owner and, if the owner cannot be reached, the next owner.
	maxSurveyRounds = 2
)

// shardReportCache caches the gates' latest reports on the shards of one service.
// It is safe for concurrent use.
type shardReportCache struct {
	mu           sync.Mutex
	versionCache *snapshot.VersionCache
	waits        map[string]waitEstimate
	// surveyDone is closed when the running survey ends; nil if none runs.
	surveyDone chan struct{}
}

// waitEstimate is a gate's estimate of how long new requests wait for a shard, by
// urgency. It was received at receivedAt.
type waitEstimate struct {
	receivedAt time.Time
	waits      [catalog.UrgencyCount]time.Duration
}

func newShardReportCache() *shardReportCache {
	return &shardReportCache{versionCache: snapshot.NewVersionCache(), waits: make(map[string]waitEstimate)}
}

// update stores a gate's report on a shard. A report without a wait for each
// urgency is ignored.
func (c *shardReportCache) update(now time.Time, path string, waitMicros []int64, versions []*wire.ShardVersion) {
	if len(waitMicros) != catalog.UrgencyCount {
		return
	}
	replicas := make(map[snapshot.Version]int)
	for _, v := range versions {
		replicas[peer.DecodeVersion(v.GetVersion())] = int(v.GetReplicas())
	}
	estimate := waitEstimate{receivedAt: now}
	for u, micros := range waitMicros {
		estimate.waits[u] = time.Duration(micros) * time.Microsecond
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versionCache.Update(now, path, replicas)
	c.waits[path] = estimate
}

// maxWait returns the longest estimated wait of the shards, zero if there is none.
// The estimate of a shard is the reported wait less the time since the report, in
// which the queue has advanced.
func (c *shardReportCache) maxWait(now time.Time, paths []string, u catalog.Urgency) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for _, p := range paths {
		estimate := c.waits[p]
		longest = max(longest, estimate.waits[u.OrBackground()]-now.Sub(estimate.receivedAt))
	}
	return longest
}

func (c *shardReportCache) chooseVersion(s *catalog.Service) (snapshot.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versionCache.Choose(s.ShardPaths, s.MinReplicas())
}

func (c *shardReportCache) markUnavailable(path string, v snapshot.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versionCache.MarkUnavailable(path, v)
}

func (c *shardReportCache) isFresh(now time.Time, paths []string, maxAge time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versionCache.IsFresh(now, maxAge, paths)
}

// ensureFresh starts a survey if the cached reports on a version's shards are
// missing or older than surveyAge. It waits for the survey only if they are
// missing or older than blockingSurveyAge, and reports whether it waited.
func (e *Entry) ensureFresh(ctx context.Context, s *catalog.Service, cache *shardReportCache, version snapshot.Version) bool {
	paths := s.ShardPaths(version.ShardMap())
	now := time.Now()
	if len(paths) > 0 && cache.isFresh(now, paths, surveyAge) {
		return false
	}
	done := e.startSurvey(s, cache, false)
	if len(paths) > 0 && cache.isFresh(now, paths, blockingSurveyAge) {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}

// refreshAndSurvey starts a survey in which the owners first fetch new load reports
// from their upstreams, and waits for it. If a survey is already running, it waits
// for the running survey instead, whose reports may be without new load reports.
func (e *Entry) refreshAndSurvey(ctx context.Context, s *catalog.Service, cache *shardReportCache) {
	select {
	case <-e.startSurvey(s, cache, true):
	case <-ctx.Done():
	}
}

// startSurvey starts a survey unless one is running, and returns a channel that is
// closed at its end.
func (e *Entry) startSurvey(s *catalog.Service, cache *shardReportCache, refresh bool) <-chan struct{} {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.surveyDone != nil {
		return cache.surveyDone
	}
	done := make(chan struct{})
	cache.surveyDone = done
	started := e.tasks.Go(func() {
		e.runSurvey(s, cache, refresh)
		cache.mu.Lock()
		cache.surveyDone = nil
		cache.mu.Unlock()
		close(done)
	})
	if !started {
		cache.surveyDone = nil
		close(done)
	}
	return done
}

// runSurvey requests reports on all shards of all maps of a service from the owners
// of their groups. If an owner cannot be reached, it requests the reports on its
// groups from the next owners.
func (e *Entry) runSurvey(s *catalog.Service, cache *shardReportCache, refresh bool) {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	groups := s.Groups()
	for range maxSurveyRounds {
		groups = e.surveyGroups(ctx, s, cache, groups, refresh)
	}
}

// surveyGroups requests reports on groups from their owners and returns the
// groups whose owner could not be reached. Groups without an owner are skipped.
func (e *Entry) surveyGroups(ctx context.Context, s *catalog.Service, cache *shardReportCache, groups []*catalog.Group, refresh bool) []*catalog.Group {
	byOwner := make(map[roster.Member][]*catalog.Group)
	now := time.Now()
	for _, g := range groups {
		if owner, ok := e.view.owner(g.Name(), now); ok {
			byOwner[owner] = append(byOwner[owner], g)
		}
	}
	var mu sync.Mutex
	var unreached []*catalog.Group
	var surveys sync.WaitGroup
	for owner, owned := range byOwner {
		surveys.Go(func() {
			if e.surveyOwner(ctx, owner, s, cache, owned, refresh) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unreached = append(unreached, owned...)
		})
	}
	surveys.Wait()
	return unreached
}

// surveyOwner requests reports on groups from one gate and caches them. It reports
// whether the gate could be reached. If not, the gate is excluded for excludePeriod.
func (e *Entry) surveyOwner(ctx context.Context, owner roster.Member, s *catalog.Service, cache *shardReportCache, groups []*catalog.Group, refresh bool) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout/maxSurveyRounds)
	defer cancel()
	request := &wire.SurveyRequest{Service: s.Name(), Refresh: refresh}
	for _, g := range groups {
		request.Shards = append(request.Shards, g.ShardPaths()...)
	}
	reply, err := e.GateTransport.Survey(ctx, owner.GateAddress(), request)
	if err != nil {
		e.view.exclude(owner.Host(), time.Now())
		return false
	}
	e.follower.HandlePeerRevision(reply.GetRevision(), owner.GateAddress())
	for _, r := range reply.GetReports() {
		cache.update(time.Now(), r.GetShard(), r.GetWaitMicros(), r.GetVersions())
	}
	return true
}
