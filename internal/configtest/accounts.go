// Package configtest makes large documents, for tests.
package configtest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

// WithAccounts returns the environment and items of the first example document
// with so many more client accounts, named account-00000 and on.
func WithAccounts(tb testing.TB, accounts int) (environment string, items []*controlv1.ConfigItem) {
	tb.Helper()
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(tb, err)
	model := doc.ClientAccounts[0]
	for i := range accounts {
		a := model
		a.Name = fmt.Sprintf("account-%05d", i)
		a.Keys = []config.Key{{SHA256: fmt.Sprintf("%064x", i+1)}}
		doc.ClientAccounts = append(doc.ClientAccounts, a)
	}
	items, err = config.Items(doc)
	require.NoError(tb, err)
	return doc.Environment, items
}
