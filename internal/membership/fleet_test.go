package membership

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// TestSendUpdatesSkipsUnreachableHosts checks that the next reachable host in the order
// of names receives the updates although the hosts between do not answer, whether or not
// they are suspect yet. Without this guarantee, a change of the store reaches a host
// behind an unreachable one only by chance.
func TestSendUpdatesSkipsUnreachableHosts(t *testing.T) {
	const fleetSize = 40
	tests := map[string]struct {
		self        int
		unreachable []int
		isSuspect   bool
		maxDelay    time.Duration
	}{
		"all-reachable":      {20, nil, false, 10 * time.Millisecond},
		"next-unreachable":   {20, []int{21}, false, 300 * time.Millisecond},
		"next-suspect":       {20, []int{21}, true, 10 * time.Millisecond},
		"three-unreachable":  {20, []int{21, 22, 23}, false, 700 * time.Millisecond},
		"three-suspect":      {20, []int{21, 22, 23}, true, 10 * time.Millisecond},
		"wraps-at-last-name": {36, []int{37, 38, 39, 0}, true, 10 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newTestNetwork(test.unreachable)
				f := network.newFleet(test.self, fleetSize)
				for _, i := range test.unreachable {
					if test.isSuspect {
						f.HandleUpdates(roster.Member{}, []roster.Member{newTestMember(i).WithState(roster.Suspect, 1)})
					}
				}
				next := test.self + 1 + len(test.unreachable)
				var group work.Group
				group.Go(func() { f.SendUpdates(t.Context()) })
				time.Sleep(test.maxDelay)
				c.Check(network.hasReceived(newTestMember(next%fleetSize).Host()), qt.IsTrue, qt.Commentf("received: %v", network.received))
				group.Wait()
			})
		})
	}
}

// TestSendUpdatesIsBounded checks that SendUpdates ends soon, after a bounded number of
// messages, if no other host answers.
func TestSendUpdatesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newTestNetwork(slices.Collect(indexes(40)))
		f := network.newFleet(20, 40)
		startedAt := time.Now()
		f.SendUpdates(t.Context())
		c.Check(time.Since(startedAt) <= maxRingAttempts*roster.ProbeTimeout, qt.IsTrue)
		c.Check(network.calls <= maxRingAttempts+fanOut-1, qt.IsTrue, qt.Commentf("%d messages", network.calls))
	})
}

// TestReturnsOfDeadMembersAreSent checks that a host sends the return of members that were
// dead to the next host by name, in one round for members that return together, and that
// other changes cause no messages.
func TestReturnsOfDeadMembersAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newTestNetwork(nil)
		f := network.newFleet(20, 40)
		for i := range 3 {
			f.HandleUpdates(roster.Member{}, []roster.Member{newTestMember(i).WithState(roster.Dead, 1)})
		}
		time.Sleep(2 * returnDelay)
		c.Check(network.calls, qt.Equals, 0)
		for i := range 3 {
			f.HandleUpdates(roster.Member{}, []roster.Member{newTestMember(i).WithState(roster.Alive, 2)})
		}
		time.Sleep(2 * returnDelay)
		c.Check(network.calls, qt.Equals, fanOut)
		c.Check(network.hasReceived(newTestMember(21).Host()), qt.IsTrue)
		f.Tasks.Wait()
	})
}

// callTimeout is the timeout of calls between hosts, as in peer.HostClient.
const callTimeout = time.Second

// A testNetwork records which hosts receive messages. Calls to unreachable hosts end
// with the context.
type testNetwork struct {
	mu          sync.Mutex
	unreachable map[string]bool
	received    []string
	calls       int
}

func newTestNetwork(unreachable []int) *testNetwork {
	n := &testNetwork{unreachable: make(map[string]bool)}
	for _, i := range unreachable {
		n.unreachable[newTestMember(i).Host()] = true
	}
	return n
}

func (n *testNetwork) exchange(ctx context.Context, address string, _ *roster.Member) (bool, error) {
	n.mu.Lock()
	n.calls++
	isUnreachable := n.unreachable[address]
	if !isUnreachable {
		n.received = append(n.received, address)
	}
	n.mu.Unlock()
	if isUnreachable {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return false, errors.New("host unreachable")
	}
	return false, nil
}

func (n *testNetwork) hasReceived(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.received, host)
}

// newFleet returns the view of the host with this index in a fleet in which all members
// are alive.
func (n *testNetwork) newFleet(self, size int) *Fleet {
	f := &Fleet{Self: newTestMember(self), Seed: 3, Exchange: n.exchange, OnChange: func(roster.MemberChanged) {}, Tasks: &work.Group{}}
	f.Init()
	var members []roster.Member
	for i := range size {
		members = append(members, newTestMember(i))
	}
	f.HandleUpdates(roster.Member{}, members)
	return f
}

func newTestMember(i int) roster.Member {
	host := fmt.Sprintf("host-%02d", i)
	return roster.NewMember(host, "z", host, host, 1, roster.Alive)
}

func indexes(count int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := range count {
			if !yield(i) {
				return
			}
		}
	}
}
