package host

import (
	"context"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// inEra returns a change as the store states it in an era.
func inEra(c keyvalue.Change, era uint64) keyvalue.Change {
	revision := keyvalue.NewRevision(era, c.Revision().Number())
	if c.Deleted() {
		return keyvalue.NewRemoval(c.Key(), revision)
	}
	return keyvalue.NewChange(c.Key(), c.Value(), revision)
}

// callStore counts a call to the store and returns an error if the call fails. If the
// store is silent for this host, callStore waits for the end of the context.
func (p simulatedNetwork) callStore(ctx context.Context) error {
	time.Sleep(networkDelay)
	p.fleet.mu.Lock()
	p.fleet.storeCalls++
	r := p.fleet.hosts[p.self]
	fails := p.fleet.storeDown || r == nil || r.storeFailing
	isSilent := r != nil && (r.isolated || r.storeSilent)
	p.fleet.mu.Unlock()
	switch {
	case isSilent:
		<-ctx.Done()
		return errUnreachable
	case fails:
		return errUnreachable
	default:
		return nil
	}
}

func (p simulatedNetwork) List(ctx context.Context, _ string, _ bool) ([]keyvalue.Change, keyvalue.Revision, error) {
	if err := p.callStore(ctx); err != nil {
		return nil, 0, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	var all []keyvalue.Change
	for _, r := range p.fleet.records {
		all = append(all, inEra(r, p.fleet.era))
	}
	return all, keyvalue.NewRevision(p.fleet.era, p.fleet.revision), nil
}

func (p simulatedNetwork) WatchPrefix(ctx context.Context, _ string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Change, keyvalue.Revision, error) {
	if err := p.callStore(ctx); err != nil {
		return nil, 0, err
	}
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		p.fleet.mu.Lock()
		revision := keyvalue.NewRevision(p.fleet.era, p.fleet.revision)
		isDiscarded := after.Number() < p.fleet.discardedRevision || after.Number() > p.fleet.revision
		var events []keyvalue.Change
		for _, h := range p.fleet.history {
			if h.Revision().Number() > after.Number() {
				events = append(events, inEra(h, p.fleet.era))
			}
		}
		r := p.fleet.hosts[p.self]
		isUnreachable := p.fleet.storeDown || r == nil || r.storeFailing || r.isolated
		isSilent := r != nil && r.storeSilent
		p.fleet.mu.Unlock()
		switch {
		case isSilent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case isUnreachable:
			return nil, 0, errUnreachable
		case isDiscarded:
			return nil, 0, &keyvalue.HistoryLostError{AfterRevision: after}
		case len(events) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil:
			return events, revision, ctx.Err()
		}
	}
}

func (p simulatedNetwork) GrantLease(ctx context.Context, _ time.Duration) (uint64, error) {
	if err := p.callStore(ctx); err != nil {
		return 0, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.lastLease++
	p.fleet.leases[p.fleet.lastLease] = true
	return p.fleet.lastLease, nil
}

func (p simulatedNetwork) RenewLease(ctx context.Context, lease uint64) (bool, error) {
	if err := p.callStore(ctx); err != nil {
		return false, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.leases[lease], nil
}

func (p simulatedNetwork) PutLeased(ctx context.Context, key string, value []byte, _ uint64) error {
	if err := p.callStore(ctx); err != nil {
		return err
	}
	p.fleet.put(key, string(value))
	return nil
}
