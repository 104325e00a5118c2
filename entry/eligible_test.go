package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/routing"
)

// pickFixture is an entry with many servers and a prompt whose blocks are
// cached on the first server.
type pickFixture struct {
	*Entry
	prompt *prompt
	policy routing.Policy
}

const fixtureBlocks = 6

func newPickFixture(t testing.TB, servers int) *pickFixture {
	t.Helper()
	e := startEntry(t).Entry
	view := e.config.View()
	d := view.Deployment("quotes")
	text := string(make([]byte, fixtureBlocks*d.BlockTokens*kvcache.BytesPerToken))
	p := &prompt{
		request: requestInfo{account: view.Account("garden-centres"), view: view}, deployment: d,
		priority: config.PriorityInteractive, received: time.Now(), firstTokenTimeout: time.Minute,
		scope: kvcache.Scope{ClientAccount: "garden-centres", Deployment: d.Name, WeightVersion: d.WeightVersion},
	}
	p.setText(text, d.BlockTokens)
	p.useVersion("v1")
	for i := range servers {
		e.fleet.Announce(backend.Announcement{
			Server: fmt.Sprintf("engine-%03d", i), URL: "http://127.0.0.1:1", Deployment: "quotes", WeightVersion: "v1",
			Incarnation: 1, Slots: 8, PrefillTokensPerSecond: 8000,
		}, time.Now())
	}
	var keys []string
	for _, k := range p.blocks {
		keys = append(keys, k.String())
	}
	e.fleet.All()[0].Cache.Apply(&backend.CacheEvents{Incarnation: 1, Snapshot: true, Keys: keys}, time.Now())
	policy, err := routing.New("cost")
	require.NoError(t, err)
	return &pickFixture{Entry: e, prompt: p, policy: policy}
}

func (d *pickFixture) hold(t testing.TB, server string) {
	t.Helper()
	require.True(t, d.config.Routes().Apply(&controlv1.RoutingDelta{Epoch: d.config.Routes().Current().Epoch + 1, Servers: []*controlv1.ServerRoute{{
		Server: server, Incarnation: 1, Deployment: "quotes", State: controlv1.RouteState_ROUTE_STATE_HELD,
	}}}))
}

func TestHeldServerIsNeverPicked(t *testing.T) {
	for _, servers := range []int{3, 200} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			d := newPickFixture(t, servers)
			picked := d.pick(context.Background(), d.prompt, d.policy, nil, false)
			require.Equal(t, "engine-000", picked.Server.Server, "engine-000 has the blocks cached")
			require.Equal(t, fixtureBlocks, picked.CachedBlocks)
			picked.release()
			d.hold(t, "engine-000")
			for range 50 {
				picked := d.pick(context.Background(), d.prompt, d.policy, nil, false)
				require.NotEqual(t, "engine-000", picked.Server.Server)
				picked.release()
			}
		})
	}
}

func TestEligibilityFollowsFleetAndEpoch(t *testing.T) {
	d := newPickFixture(t, 3)
	names := func() []string {
		view := d.config.Routes().Acquire()
		defer view.Release()
		var list []string
		for _, s := range d.candidates(d.prompt, view, false).servers {
			list = append(list, s.Server)
		}
		return list
	}
	require.Len(t, names(), 3)
	d.fleet.Announce(backend.Announcement{Server: "engine-001", Incarnation: 1, Leaving: true}, time.Now())
	require.Equal(t, []string{"engine-000", "engine-002"}, names())
	d.hold(t, "engine-002")
	require.Equal(t, []string{"engine-000"}, names())
	d.fleet.Announce(backend.Announcement{
		Server: "engine-003", Deployment: "quotes", WeightVersion: "v1", Incarnation: 1,
	}, time.Now())
	require.Equal(t, []string{"engine-000", "engine-003"}, names())
}

func TestServerFiltersDoNotModifySharedList(t *testing.T) {
	d := newPickFixture(t, 3)
	all := d.fleet.All()
	require.True(t, sameSlice(all, fleet.Usable(all, time.Now())))
	require.Len(t, excludeTried(all, []string{"engine-001"}), 2)
	require.Len(t, all, 3, "the shared slice must not be modified")
}

// BenchmarkPick measures a complete routing decision: finding the eligible
// servers and the cache holders, filtering, scoring and picking.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{10, 986, 6900} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d := newPickFixture(b, servers)
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				picked := d.pick(ctx, d.prompt, d.policy, nil, false)
				picked.release()
			}
		})
	}
}
