package allowance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

const (
	modelAccount = "a"
	modelStep    = 50 * time.Millisecond
	// viewSteps is how many steps pass between two evaluations of the members by a host.
	viewSteps = 4
	// suspectDelay is how long after the last contact a host suspects another one, as package
	// roster does at the earliest.
	suspectDelay = 600 * time.Millisecond
)

var modelMargin = Margin{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}

// A model is a fleet whose hosts issue and spend tokens of one account.
type model struct {
	now   time.Time
	hosts []*modelHost
	calls []*modelCall
	// limits are the limits of the versions of the configuration.
	limits []account.Limit
	// runs are the times of admitted requests, limitAt the highest limit in force at a host at
	// each step.
	runs    []time.Time
	limitAt map[time.Time]account.Limit
}

type modelHost struct {
	number         int
	down, paused   bool
	group          int
	version        int
	issuer         Issuer
	holder         Holder
	view           *View
	nextProbeAt    time.Time
	probeTarget    int
	unreachedSince map[int]time.Time
}

type modelCall struct {
	from, to     *modelHost
	lifetime     *Holder
	at           time.Time
	wanted       int
	version      int
	reply        *Reply
	replyVersion int
	wasDelivered bool
}

func newModel(size int, l account.Limit) *model {
	m := &model{now: time.Unix(1000, 0), limits: []account.Limit{l}, limitAt: make(map[time.Time]account.Limit)}
	for n := range size {
		m.hosts = append(m.hosts, &modelHost{number: n})
	}
	for _, h := range m.hosts {
		m.start(h)
	}
	return m
}

// start starts a new lifetime of a host, which knows the other hosts from the store.
func (m *model) start(h *modelHost) {
	h.down, h.paused, h.version = false, false, len(m.limits)-1
	h.issuer, h.holder = Issuer{Margin: modelMargin}, Holder{Margin: modelMargin}
	h.view, h.unreachedSince, h.nextProbeAt = nil, make(map[int]time.Time), m.now
	m.updateView(h)
}

func (m *model) reaches(a, b *modelHost) bool {
	return !a.down && !b.down && !a.paused && !b.paused && a.group == b.group
}

// updateView has a host find out which others run.
func (m *model) updateView(h *modelHost) {
	var members []Member
	running := 0.0
	for _, o := range m.hosts {
		if o == h || m.reaches(h, o) {
			delete(h.unreachedSince, o.number)
		} else if _, ok := h.unreachedSince[o.number]; !ok {
			h.unreachedSince[o.number] = m.now
		}
		since, isUnreached := h.unreachedSince[o.number]
		if !isUnreached || m.now.Sub(since) < suspectDelay {
			running += 1 / float64(len(m.hosts))
		}
		if !isUnreached || m.now.Sub(since) < suspectDelay+TakeoverDelay {
			members = append(members, modelMember(o.number))
		}
	}
	size := float64(len(m.hosts))
	share := Share{From: float64(h.number) / max(3, size), To: float64(h.number+1) / max(3, size), Hosts: size}
	v := NewView(modelMember(h.number), members, len(m.hosts), running, share)
	if h.view == nil || !h.view.Equal(v) || h.view.running != v.running {
		h.view = v
		h.issuer.SetView(m.now, v)
	}
}

func modelMember(n int) Member {
	return Member{Host: fmt.Sprint("h", n), DataCenter: fmt.Sprint("z", n%2)}
}

// step advances the time and has the hosts probe each other.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	highest := account.Limit{}
	for _, h := range m.hosts {
		if h.down || h.paused {
			continue
		}
		l := m.limits[h.version]
		highest.RatePerSecond, highest.Burst = max(highest.RatePerSecond, l.RatePerSecond), max(highest.Burst, l.Burst)
		if !m.now.Before(h.nextProbeAt) {
			h.probeTarget = (h.probeTarget + 1) % len(m.hosts)
			if target := m.hosts[h.probeTarget]; target != h {
				h.issuer.RecordContact(m.now, fmt.Sprint(target.number), m.reaches(h, target))
			}
			h.nextProbeAt = m.now.Add(500 * time.Millisecond)
		}
		// The hosts do this at different times.
		if int(m.now.UnixMilli()/modelStep.Milliseconds())%viewSteps == h.number%viewSteps {
			m.updateView(h)
			h.issuer.Maintain(m.now)
			h.holder.Maintain(m.now)
		}
	}
	m.limitAt[m.now] = highest
	for _, c := range m.calls {
		if m.now.Sub(c.at) >= 250*time.Millisecond && c.reply == nil && !c.wasDelivered && c.lifetime == &c.from.holder {
			c.from.holder.Fail(m.now, modelAccount, modelMember(c.to.number).Host)
			c.wasDelivered = true
		}
	}
	m.calls = slices.DeleteFunc(m.calls, func(c *modelCall) bool { return m.now.Sub(c.at) > time.Second })
}

// request sends a request to a host and reports whether it runs.
func (m *model) request(h *modelHost) bool {
	if h.down || h.paused {
		return false
	}
	r := Request{Account: modelAccount, Limit: m.limits[h.version], Version: uint64(h.version)}
	for arrived := true; ; arrived = false {
		d := h.holder.Take(m.now, r, h.view, arrived)
		if d.Kind == Ask && d.Issuer.Host == h.view.self.Host {
			h.holder.Receive(m.now, m.now, modelAccount, d.Issuer.Host, h.issuer.Issue(m.now, modelAccount, r.Limit, d.Wanted), r.Version)
			continue
		}
		if d.Kind == Ask {
			to := m.hosts[slices.IndexFunc(m.hosts, func(o *modelHost) bool { return modelMember(o.number).Host == d.Issuer.Host })]
			m.calls = append(m.calls, &modelCall{from: h, to: to, lifetime: &h.holder, at: m.now, wanted: d.Wanted, version: h.version})
			continue
		}
		if d.Kind == Wait {
			d = h.holder.Conclude(m.now, r, h.view)
		}
		if d.Kind == Admitted {
			m.runs = append(m.runs, m.now)
		}
		return d.Kind == Admitted
	}
}

// deliver delivers a call that has no reply yet, or a reply. Both may be delivered again.
func (m *model) deliver(c *modelCall) {
	if c.reply == nil {
		if m.reaches(c.from, c.to) {
			reply := c.to.issuer.Issue(m.now, modelAccount, m.limits[c.to.version], c.wanted)
			c.reply, c.replyVersion = &reply, c.to.version
		}
		return
	}
	if !c.from.down && !c.from.paused {
		c.wasDelivered = true
		c.from.holder.Receive(m.now, c.at, modelAccount, modelMember(c.to.number).Host, *c.reply, uint64(c.replyVersion))
	}
}

// excess returns how many requests of the last window are above the bound.
func (m *model) excess() float64 {
	from := m.now.Add(-modelMargin.Window)
	l := account.Limit{}
	for at, k := range m.limitAt {
		if !at.Before(from.Add(-Validity)) {
			l.RatePerSecond, l.Burst = max(l.RatePerSecond, k.RatePerSecond), max(l.Burst, k.Burst)
		} else {
			delete(m.limitAt, at)
		}
	}
	m.runs = slices.DeleteFunc(m.runs, func(t time.Time) bool { return t.Before(from) })
	bound := (l.RatePerSecond*modelMargin.Window.Seconds()+l.Burst)*(1+modelMargin.Tolerance) + modelMargin.Slack
	return float64(len(m.runs)) - bound
}

// TestNoOrderOfEventsExceedsTheBound floods an account at all hosts while hosts are killed,
// paused, restarted and split into groups, calls are lost, late and repeated, and the limit
// changes. More requests than the bound would mean that a limit does not hold.
func TestNoOrderOfEventsExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := account.Limit{RatePerSecond: rapid.SampledFrom([]float64{0.2, 2, 10, 54}).Draw(t, "rate")}
		l.Burst = max(1, l.RatePerSecond)
		m := newModel(rapid.SampledFrom([]int{2, 3, 7, 16}).Draw(t, "size"), l)
		host := rapid.Custom(func(t *rapid.T) *modelHost { return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "n")] })
		// Without it, calls would be lost in nearly all runs.
		deliverRatio := rapid.SampledFrom([]float64{1, 1, 0.8}).Draw(t, "delivered")
		advance := func(steps, requests int) {
			for n := range steps {
				m.step()
				for i := range requests {
					m.request(m.hosts[(n*requests+i)%len(m.hosts)])
				}
				for i, c := range slices.Clone(m.calls) {
					if float64((n*7+i*3)%10) < deliverRatio*10 && !c.wasDelivered {
						m.deliver(c)
						m.deliver(c)
					}
				}
				if e := m.excess(); e > 0 {
					t.Fatalf("%.1f requests above the bound", e)
				}
			}
		}
		advance(rapid.IntRange(0, 400).Draw(t, "calm"), 0)
		// Each fault is followed by a time without and one with requests: an account uses what has
		// accumulated during the fault.
		pressure := func(t *rapid.T) {
			advance(rapid.IntRange(0, 80).Draw(t, "calm"), 0)
			advance(rapid.IntRange(0, 100).Draw(t, "flood"), rapid.SampledFrom([]int{3, 30}).Draw(t, "requests"))
		}
		// Others take the place of issuers: faults of these matter most.
		victim := func(t *rapid.T) *modelHost {
			if rapid.Bool().Draw(t, "issuer") {
				first := m.hosts[0].view.issuers(modelAccount)
				i := rapid.IntRange(0, len(first)-1).Draw(t, "place")
				return m.hosts[slices.IndexFunc(m.hosts, func(h *modelHost) bool { return modelMember(h.number) == *first[i] })]
			}
			return host.Draw(t, "host")
		}
		t.Repeat(map[string]func(*rapid.T){
			"flood": pressure,
			"repeat": func(t *rapid.T) {
				if len(m.calls) > 0 {
					m.deliver(rapid.SampledFrom(m.calls).Draw(t, "call"))
				}
			},
			"kill": func(t *rapid.T) {
				h := victim(t)
				h.down = true
				pressure(t)
				if rapid.Bool().Draw(t, "returns") {
					m.start(h)
				}
				pressure(t)
			},
			"pause": func(t *rapid.T) {
				h := victim(t)
				h.paused = true
				pressure(t)
				h.paused = false
				pressure(t)
			},
			"return": func(*rapid.T) {
				for _, h := range m.hosts {
					if h.down {
						m.start(h)
					}
				}
			},
			"cut": func(t *rapid.T) {
				h := victim(t)
				h.group = 2
				pressure(t)
				h.group = 0
				pressure(t)
			},
			"split": func(t *rapid.T) {
				count := rapid.IntRange(1, max(1, len(m.hosts)/2)).Draw(t, "count")
				for n, h := range m.hosts {
					h.group = 0
					if n < count {
						h.group = 1
					}
				}
				pressure(t)
				pressure(t)
				for _, h := range m.hosts {
					h.group = 0
				}
				pressure(t)
			},
			"limit": func(t *rapid.T) {
				factor := rapid.SampledFrom([]float64{0.1, 1, 3}).Draw(t, "factor")
				m.limits = append(m.limits, account.Limit{RatePerSecond: l.RatePerSecond * factor, Burst: max(1, l.Burst*factor)})
			},
			"learn": func(t *rapid.T) { host.Draw(t, "host").version = len(m.limits) - 1 },
		})
	})
}

// TestFloodingAccountGetsItsLimit floods at all hosts of calm fleets. Less than the limit would
// mean that tokens are lost or not asked for.
func TestFloodingAccountGetsItsLimit(t *testing.T) {
	for _, size := range []int{1, 2, 7, 24} {
		for _, rate := range []float64{0.2, 2, 54} {
			t.Run(fmt.Sprintf("%d/%v", size, rate), func(t *testing.T) {
				c := qt.New(t)
				m := newModel(size, account.Limit{RatePerSecond: rate, Burst: max(1, rate)})
				admitted, floodSteps := 0, 600
				for n := range 200 + floodSteps {
					m.step()
					for i := range max(size, 16) {
						if n >= 200 && m.request(m.hosts[i%size]) {
							admitted++
						}
					}
					for _, k := range slices.Clone(m.calls) {
						if !k.wasDelivered {
							m.deliver(k)
							m.deliver(k)
						}
					}
					c.Assert(m.excess() <= 0, qt.IsTrue)
				}
				due := rate * (time.Duration(floodSteps) * modelStep).Seconds()
				c.Check(float64(admitted) >= 0.95*due, qt.IsTrue, qt.Commentf("%d of %v", admitted, due))
			})
		}
	}
}
