package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
)

// TestNewestDocumentDecidesWhoSharesContexts guards against a request that waits while a
// document isolates an account: sent under the scope of before, it would use contexts of
// that account, or leave its own where others find them.
func TestNewestDocumentDecidesWhoSharesContexts(t *testing.T) {
	document := func(isolated ...string) *site.Table {
		d := &site.Document{Version: 1, Accounts: []site.Account{{Name: "ward"}, {Name: "guest"}}}
		for i := range d.Accounts {
			for _, name := range isolated {
				d.Accounts[i].Isolated = d.Accounts[i].Isolated || d.Accounts[i].Name == name
			}
		}
		return site.Compile(d)
	}
	g := &Gateway{}
	arrived := document()
	ward, guest, public := &call{gateway: g, account: &arrived.Accounts[0]}, &call{gateway: g, account: &arrived.Accounts[1]}, &call{gateway: g}
	g.routing.Store(&routingState{table: arrived})
	before := guest.contextSalt(1)
	require.Equal(t, before, ward.contextSalt(1))
	require.Equal(t, before, public.contextSalt(1))

	g.routing.Store(&routingState{table: document("ward")})
	require.NotEqual(t, before, ward.contextSalt(1))
	require.NotEqual(t, before, guest.contextSalt(1))
	require.NotEqual(t, guest.contextSalt(1), ward.contextSalt(1))
	require.Equal(t, guest.contextSalt(1), public.contextSalt(1))

	isolatedAccount := &call{gateway: g, account: &site.Account{Name: "removed", Isolated: true}}
	require.NotEqual(t, guest.contextSalt(1), isolatedAccount.contextSalt(1), "an isolated account that the newest document does not list stays isolated")

	g.routing.Store(&routingState{table: document()})
	require.Equal(t, before, guest.contextSalt(1))
	require.Equal(t, before, ward.contextSalt(1))
}
