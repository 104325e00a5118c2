// Package configtest generates large configuration documents for tests.
package configtest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

// ItemsWithAccounts returns the environment and the configuration items of the example
// document HaddonPryce, extended by the given number of client accounts. They are copies
// of its first client account with names from account-00000 on and distinct keys.
func ItemsWithAccounts(tb testing.TB, accounts int) (environment string, items []*controlv1.ConfigItem) {
	tb.Helper()
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(tb, err)
	template := doc.ClientAccounts[0]
	for i := range accounts {
		account := template
		account.Name = fmt.Sprintf("account-%05d", i)
		account.Keys = []config.Key{{SHA256: fmt.Sprintf("%064x", i+1)}}
		doc.ClientAccounts = append(doc.ClientAccounts, account)
	}
	items, err = config.Items(doc)
	require.NoError(tb, err)
	return doc.Environment, items
}
