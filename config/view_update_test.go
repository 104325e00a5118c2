package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

// TestIncrementalViewEqualsFullView guards against incremental updates that
// diverge from the document: it applies random changes one by one and compares
// each resulting view with a view built from the complete document.
func TestIncrementalViewEqualsFullView(t *testing.T) {
	document, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	start, err := config.Items(document)
	require.NoError(t, err)
	view, err := config.NewView(0, &config.Document{}).WithChanges(1, true, start, nil)
	require.NoError(t, err)
	random := rand.New(rand.NewPCG(1, 1))
	items := start
	for step := range 200 {
		changeDocument(document, random, step)
		next, err := config.Items(document)
		require.NoError(t, err)
		change := config.Diff(items, next)
		items = next
		view, err = view.WithChanges(uint64(step+2), false, change.Upserts, change.Removes)
		require.NoError(t, err)
		requireEqualViews(t, document, items, view)
	}
}

// keyCount is the number of distinct keys that the random changes use.
const keyCount = 400

// changeDocument makes one random change: it adds, modifies or removes a client
// account, swaps the keys of two accounts, or modifies other sections.
func changeDocument(document *config.Document, random *rand.Rand, step int) {
	key := unusedKey(document, random)
	switch n := len(document.ClientAccounts); {
	case random.IntN(3) == 0 || n == 0:
		a := config.ClientAccount{Name: fmt.Sprint("account", step), Weight: 1, Priority: config.PriorityBatch, Keys: []config.Key{key}}
		document.ClientAccounts = append(document.ClientAccounts, a)
	case random.IntN(2) == 0:
		i := random.IntN(n)
		document.ClientAccounts = append(document.ClientAccounts[:i:i], document.ClientAccounts[i+1:]...)
	case random.IntN(2) == 0:
		// Keys move between accounts within one change.
		from, to := &document.ClientAccounts[random.IntN(n)], &document.ClientAccounts[random.IntN(n)]
		from.Keys, to.Keys = to.Keys, from.Keys
	default:
		document.ClientAccounts[random.IntN(n)].Weight++
		document.Stores[random.IntN(len(document.Stores))].CapacityBytes++
		document.Deployments[0].Servers++
	}
}

// unusedKey returns a key that belongs to no account.
func unusedKey(document *config.Document, random *rand.Rand) config.Key {
	for {
		key := config.Key{SHA256: config.HashKey(fmt.Sprint("key", random.IntN(keyCount)))}
		inUse := slices.ContainsFunc(document.ClientAccounts, func(a config.ClientAccount) bool { return slices.Contains(a.Keys, key) })
		if !inUse {
			return key
		}
	}
}

func requireEqualViews(t *testing.T, document *config.Document, items []*controlv1.ConfigItem, got *config.View) {
	t.Helper()
	full, err := config.FromItems(items)
	require.NoError(t, err)
	want := config.NewView(got.Revision, full)
	for _, a := range document.ClientAccounts {
		require.Equal(t, want.Account(a.Name), got.Account(a.Name))
	}
	require.Equal(t, toJSON(t, want.Document), toJSON(t, got.Document))
	require.Equal(t, want.Deployment("quotes"), got.Deployment("quotes"))
	for n := range keyCount {
		_, known := want.Authenticate(fmt.Sprint("key", n))
		_, found := got.Authenticate(fmt.Sprint("key", n))
		require.Equal(t, known, found)
	}
}

func toJSON(t *testing.T, v any) string {
	t.Helper()
	raw, err := json.Marshal(v)
	require.NoError(t, err)
	return string(raw)
}
