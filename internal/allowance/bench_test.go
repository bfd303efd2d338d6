package allowance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

func benchmarkView(size int) *View {
	var members []Member
	for n := range size {
		members = append(members, Member{Host: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250), Address: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250), DataCenter: fmt.Sprint("z", n%3)})
	}
	return NewView(members[0], members, size, 1, Share{From: 0, To: 1 / float64(size), Hosts: float64(size)})
}

// BenchmarkAccounts measures the memory of a host at which all accounts have been in use within
// holderIdlePeriod, and the bytes of a call.
func BenchmarkAccounts(b *testing.B) {
	for _, accounts := range []int{87, 5_000, 50_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			view := benchmarkView(89)
			l := account.Limit{RatePerSecond: 2, Burst: 2}
			now := time.Unix(1000, 0)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				h, i := Holder{Margin: modelMargin}, Issuer{Margin: modelMargin}
				i.SetView(now, view)
				for n := range accounts {
					name := fmt.Sprint("account-", n)
					d := h.Take(now, Request{Account: name, Limit: l}, view, true)
					h.Receive(now, now, name, d.Issuer.Host, Reply{Issued: 1, Validity: Validity}, 0)
					h.Take(now, Request{Account: name, Limit: l}, view, false)
					i.Issue(now, name, l, 1)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(accounts), "B/account")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
				b.ReportMetric(float64(i.Len()), "buckets")
				runtime.KeepAlive(&h)
			}
			request := proto.Size(&wire.IssueTokensRequest{Account: "account-12345", Version: 300, Wanted: 2})
			reply := proto.Size(&wire.IssueTokensReply{Issued: 2, ValidMicros: Validity.Microseconds(), Version: 300})
			b.ReportMetric(float64(request+reply), "B/call")
		})
	}
}

// BenchmarkIssuers measures the choice of issuers, which is made again for each account in use
// after a change of the members.
func BenchmarkIssuers(b *testing.B) {
	for _, size := range []int{7, 89, 300, 2400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			view := benchmarkView(size)
			for b.Loop() {
				view.issuers("account-12345")
			}
		})
	}
}

// BenchmarkTake measures the decision on a request with a token at hand.
func BenchmarkTake(b *testing.B) {
	h, view, now := Holder{Margin: modelMargin}, benchmarkView(89), time.Unix(1000, 0)
	r := Request{Account: "a", Limit: account.Limit{RatePerSecond: 2, Burst: 2}}
	d := h.Take(now, r, view, true)
	for b.Loop() {
		h.Receive(now, now, "a", d.Issuer.Host, Reply{Issued: 1, Validity: Validity}, 0)
		h.Take(now, r, view, true)
	}
}
