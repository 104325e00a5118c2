package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/internal/configtest"
)

// benchAccounts is the number of client accounts that the system must support.
const benchAccounts = 27000

// largeState returns a state whose document has the given number of client
// accounts, and the name of its environment.
func largeState(tb testing.TB, accounts int) (*State, string) {
	environment, items := configtest.ItemsWithAccounts(tb, accounts)
	s := New()
	r := s.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: &controlv1.ApplyConfigRequest{
		Environment: environment, ChangeId: "first", Upserts: items,
	}}}).GetApplyConfig()
	require.True(tb, r.Accepted, r.Reason)
	return s, environment
}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, accounts := range []int{100, 3000, benchAccounts} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s, env := largeState(b, accounts)
			item := s.environments[env].items[itemKey{config.KindClientAccount, "account-00001"}]
			b.ResetTimer()
			for i := range b.N {
				s.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: &controlv1.ApplyConfigRequest{
					Environment: env, ChangeId: fmt.Sprint(i), ExpectedRevision: s.Revision(env),
					Upserts: []*controlv1.ConfigItem{{Kind: item.Kind, Name: item.Name, Body: item.Body}},
				}}})
			}
		})
	}
}
