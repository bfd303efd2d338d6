package allowance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A Member is a host that may issue tokens.
type Member struct {
	Host, Address, DataCenter string
}

// A Share is the part of the load that a host carries: From to To, where the parts of all hosts
// are consecutive parts of 0 to 1. Hosts is how many hosts carry the load; hosts with small
// parts count less.
type Share struct{ From, To, Hosts float64 }

// A View is what a host knows of the others. It is immutable.
type View struct {
	self       Member
	candidates []candidate
	dataCenter []string
	// known is how many members are known, dead ones included. running is the part of the
	// load, 0 to 1, that is carried by the members believed to run.
	known   int
	running float64
	// shareFrom and shareTo bound the host's part of the load; the parts of the hosts are
	// consecutive parts of 0 to 1.
	shareFrom, shareTo float64
	// hosts is how many hosts carry the load.
	hosts float64
}

type candidate struct {
	Member
	hash uint64
	// place is the index of the data centre.
	place int
}

// NewView returns the view of a host. members are those that may issue tokens, known is how many
// are known in any state, and running the part of the load that those carry that are not
// suspected to have failed.
func NewView(self Member, members []Member, known int, running float64, share Share) *View {
	v := &View{self: self, known: max(1, known), running: running, shareFrom: share.From, shareTo: share.To, hosts: share.Hosts}
	for _, m := range members {
		place := slices.Index(v.dataCenter, m.DataCenter)
		if place < 0 {
			place = len(v.dataCenter)
			v.dataCenter = append(v.dataCenter, m.DataCenter)
		}
		v.candidates = append(v.candidates, candidate{Member: m, hash: xxhash.Sum64String(m.Host), place: place})
	}
	return v
}

// Equal reports whether two views have the same members that may issue tokens.
func (v *View) Equal(o *View) bool {
	return slices.EqualFunc(v.candidates, o.candidates, func(a, b candidate) bool { return a.Member == b.Member })
}

// issuers returns the hosts that issue the tokens of an account, at most maxIssuers, of
// different data centres if possible. All hosts with the same members agree on them; if a
// member is lost, only its accounts get another issuer. The order is that in which
// the host asks: itself, then those of its own data centre. Hosts of one data centre start
// with different ones.
func (v *View) issuers(name string) []*Member {
	h := xxhash.Sum64String(name)
	best := make([]ranked, len(v.dataCenter))
	var top [maxIssuers]ranked
	for i := range v.candidates {
		c := &v.candidates[i]
		r := ranked{candidate: c, score: mix(h ^ c.hash)}
		if best[c.place].isBelow(r) {
			best[c.place] = r
		}
		for j := range top {
			if top[j].isBelow(r) {
				top[j], r = r, top[j]
			}
		}
	}
	slices.SortFunc(best, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var chosen []*candidate
	for _, r := range slices.Concat(best, top[:]) {
		if len(chosen) < maxIssuers && r.candidate != nil && !slices.Contains(chosen, r.candidate) {
			chosen = append(chosen, r.candidate)
		}
	}
	own := xxhash.Sum64String(v.self.Host)
	slices.SortFunc(chosen, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(v.distance(a), v.distance(b)), cmp.Compare(mix(h^own^a.hash), mix(h^own^b.hash)))
	})
	list := make([]*Member, 0, len(chosen))
	for _, c := range chosen {
		list = append(list, &c.Member)
	}
	return list
}

func (v *View) distance(c *candidate) int {
	switch {
	case c.Host == v.self.Host:
		return 0
	case c.DataCenter == v.self.DataCenter:
		return 1
	default:
		return 2
	}
}

// part returns this host's part of a number of requests of an account, in whole requests. The
// fractions of all hosts are added up from an offset that differs by account, so that the parts
// of all hosts together are at most one more than the number.
func (v *View) part(total float64, name string) int {
	offset := float64(mix(xxhash.Sum64String(name))>>11) / (1 << 53)
	return int(math.Floor(v.shareTo*total+offset) - math.Floor(v.shareFrom*total+offset))
}

// A ranked candidate has the score of one account.
type ranked struct {
	*candidate
	score uint64
}

func (r ranked) isBelow(o ranked) bool {
	return o.candidate != nil && (r.candidate == nil || r.score < o.score)
}

// mix is the finalizer of SplitMix64. It makes scores of similar hashes independent.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
