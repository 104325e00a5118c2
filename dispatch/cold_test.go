package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestColdLimitIsTheStricterOne(t *testing.T) {
	now := time.UnixMilli(1e12)
	c := NewColdLimit(20, now.Add(time.Second))
	require.Equal(t, RateLimit{Limited: true, PerSecond: 19}, c.Limit(RateLimit{}, now))
	require.Equal(t, RateLimit{Limited: true, PerSecond: 19}, c.Limit(RateLimit{Limited: true, PerSecond: 30}, now))
	strict := RateLimit{Limited: true, PerSecond: 3}
	require.Equal(t, strict, c.Limit(strict, now))
	require.Equal(t, strict, c.FallbackLimit(strict, now))
	require.Equal(t, 9.5, c.FallbackLimit(RateLimit{}, now).PerSecond)
	ended := now.Add(time.Second + coldMargin)
	require.Equal(t, RateLimit{}, c.Limit(RateLimit{}, ended))
	require.False(t, NewColdLimit(0, now.Add(time.Second)).Active(now))
	require.False(t, NewColdLimit(-1, now.Add(time.Second)).Active(now))
	require.False(t, NewColdLimit(20, time.UnixMilli(0)).Active(time.UnixMilli(1)))
}

// An instance may issue at once for a server that it did not know, but only as long after a
// change of the candidates as for one that it knew.
func TestSteadyListOfIssuers(t *testing.T) {
	now := time.UnixMilli(1e12)
	var list SteadyList
	for range 30 {
		list.Update(1, true, now)
		now = now.Add(100 * time.Millisecond)
	}
	var role IssuerRole
	require.True(t, role.UpdateSteady(true, list.Update(1, true, now), now))
	var changed IssuerRole
	require.False(t, changed.UpdateSteady(true, list.Update(2, true, now), now))
	require.Zero(t, list.Update(2, false, now))
	var gap IssuerRole
	list.Update(2, true, now)
	now = now.Add(leadDelay + time.Second)
	require.False(t, gap.UpdateSteady(true, list.Update(2, true, now), now))
	require.False(t, gap.UpdateSteady(false, now.Add(-time.Hour), now))
}

// coldInstance is an entry instance that sends to one cold server; its issuer is nil if it
// reaches none.
type coldInstance struct {
	name    string
	permits Permits
	issuer  *PermitIssuer
	demand  float64 // requests per second
	asked   time.Time
	wanted  int
	waiting []time.Time // when requests give up waiting for a permit
	unheard bool        // does not know that the server is cold
}

// coldRun is a server that stays cold under the demand of many instances.
type coldRun struct {
	random    *rand.Rand
	perSecond float64
	instances []*coldInstance
	arrivals  []time.Duration
}

// coldDelay is the time from an instance to its issuer and back.
const coldDelay = 6 * time.Millisecond

func newColdRun(seed uint64, n int, perSecond, demand float64) *coldRun {
	r := &coldRun{random: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond}
	issuer := &PermitIssuer{}
	for i := range n {
		r.instances = append(r.instances, &coldInstance{name: fmt.Sprint(i), issuer: issuer, demand: demand / float64(n)})
	}
	return r
}

// run plays the given time; at is called before each millisecond.
func (r *coldRun) run(d time.Duration, at func(time.Duration)) {
	start := time.UnixMilli(1e12)
	cold := NewColdLimit(r.perSecond, start.Add(time.Hour))
	for t := time.Duration(0); t < d; t += time.Millisecond {
		if at != nil {
			at(t)
		}
		now := start.Add(t)
		limit := cold.Limit(RateLimit{}, now)
		for _, e := range r.instances {
			r.step(e, cold, limit, t, now)
		}
	}
}

func (r *coldRun) step(e *coldInstance, cold ColdLimit, limit RateLimit, t time.Duration, now time.Time) {
	if e.wanted > 0 && now.Sub(e.asked) >= coldDelay {
		if e.issuer == nil {
			e.permits.Unanswered(now)
		} else {
			granted, retry := e.issuer.Issue(limit, e.name, e.wanted, now)
			e.permits.Granted(granted, retry, e.asked, now)
		}
		e.wanted = 0
	}
	fallback := Fallback{Limit: cold.FallbackLimit(RateLimit{}, now), Instances: len(r.instances), Jitter: r.random.Float64()}
	for demand := e.demand / 1000; demand > 0; demand-- {
		if r.random.Float64() >= demand {
			continue
		}
		if e.unheard {
			r.arrivals = append(r.arrivals, t)
		} else {
			e.waiting = append(e.waiting, now.Add(MaxPermitWait))
			if !e.permits.Usable(fallback, now) {
				e.permits.Lack(now)
			}
		}
	}
	for len(e.waiting) > 0 && e.permits.Take(fallback, now) {
		e.waiting = e.waiting[1:]
		r.arrivals = append(r.arrivals, t)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(until time.Time) bool { return !now.Before(until) })
	if e.wanted = max(e.wanted, e.permits.Wanted(limit, now)); e.wanted > 0 && !e.asked.After(now.Add(-coldDelay)) {
		e.asked = now
	}
}

// most returns the most requests in any second.
func (r *coldRun) most() (most int) {
	slices.Sort(r.arrivals)
	for i, from := 0, 0; i < len(r.arrivals); i++ {
		for r.arrivals[i]-r.arrivals[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Whatever instances hear of each other, a cold server gets no more than the users allow, and
// it is used if they are in touch.
func TestColdServerIsNotOverloaded(t *testing.T) {
	const perSecond, d = 23.0, 8 * time.Second
	const bound = 39 // 1.5 times the rate and 5
	for _, n := range []int{4, 23, 89, 300} {
		cases := map[string]func(r *coldRun) func(time.Duration){
			"in touch": func(*coldRun) func(time.Duration) { return nil },
			"none has an issuer": func(r *coldRun) func(time.Duration) {
				for _, e := range r.instances {
					e.issuer = nil
				}
				return nil
			},
			"cut in halves": func(r *coldRun) func(time.Duration) {
				for _, e := range r.instances[:n/2] {
					e.issuer = nil
				}
				return nil
			},
			"only one has an issuer": func(r *coldRun) func(time.Duration) {
				for _, e := range r.instances[1:] {
					e.issuer = nil
				}
				r.instances[0].demand = 1000
				return nil
			},
			"issuer lost, another after the wait": func(r *coldRun) func(time.Duration) {
				return func(t time.Duration) {
					for _, e := range r.instances {
						switch t {
						case 2 * time.Second:
							e.issuer = nil
						case 2*time.Second + LeadTTL + leadDelay:
							if e == r.instances[0] {
								r.instances[0].issuer = &PermitIssuer{}
							}
							e.issuer = r.instances[0].issuer
						}
					}
				}
			},
			"one has not heard, at its part of what a warm server gets": func(r *coldRun) func(time.Duration) {
				r.instances[0].unheard, r.instances[0].demand = true, perSecond/float64(n)
				return nil
			},
			"burst at one instance": func(r *coldRun) func(time.Duration) {
				return func(t time.Duration) {
					r.instances[0].demand = 10
					if t%(700*time.Millisecond) < 100*time.Millisecond {
						r.instances[0].demand = 2000
					}
				}
			},
		}
		for name, prepare := range cases {
			t.Run(fmt.Sprintf("%d instances, %s", n, name), func(t *testing.T) {
				for seed := range uint64(3) {
					r := newColdRun(seed, n, perSecond, 200)
					r.run(d, prepare(r))
					require.LessOrEqual(t, r.most(), bound)
					share := float64(len(r.arrivals)) / d.Seconds() / perSecond
					t.Logf("seed %d: at most %d of %d in a second, %.2f of the rate used", seed, r.most(), bound, share)
					if name == "in touch" {
						require.GreaterOrEqual(t, share, 0.9)
					}
				}
			})
		}
	}
}
