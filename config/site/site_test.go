package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validDocument() *Document {
	return &Document{Version: 1,
		Routes: []Route{
			{Name: "r1", Host: "a.example", PathPrefix: "/x/", Kind: KindStream, Timeout: time.Second, Targets: []Target{{"s1", 90}, {"s2", 10}}},
			{Name: "r2", Host: "a.example", PathPrefix: "/x/y/", Kind: KindIdempotent, Timeout: time.Second, Targets: []Target{{"s2", 1}}, Public: true},
		},
		Services: []Service{{Name: "s1"}, {Name: "s2"}},
		Accounts: []Account{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}},
	}
}

func TestValidateReportsEachError(t *testing.T) {
	require.NoError(t, validDocument().Validate())
	tests := []struct {
		edit func(d *Document)
		want string
	}{
		{func(d *Document) { d.Version = 0 }, "version: must be above 0"},
		{func(d *Document) { d.Routes[0].Targets[1].Service = "s9" }, `route "r1": unknown service "s9"`},
		{func(d *Document) { d.Routes[1].PathPrefix = "/x/"; d.Routes[1].Host = "A.example" }, `route "r2": same host and prefix as route "r1"`},
		{func(d *Document) { d.Routes[0].Targets = []Target{{"s1", 0}, {"s2", 0}} }, `route "r1": weights add up to 0`},
		{func(d *Document) { d.Routes[0].Targets[0].Weight = -1 }, `weight of service "s1" is below 0`},
		{func(d *Document) { d.Routes[0].Timeout = 0 }, `route "r1": timeout must be above 0`},
		{func(d *Document) { d.Routes[0].Kind = 0 }, `route "r1": kind is unknown`},
		{func(d *Document) { d.Routes[0].PathPrefix = "/x" }, "does not begin and end with a slash"},
		{func(d *Document) { d.Services[1].Name = "s1" }, `service "s1": name is empty or repeated`},
		{func(d *Document) { d.Accounts[1].Keys = []string{"k2"} }, `account "b": shares a key with account "a"`},
	}
	for _, test := range tests {
		d := validDocument()
		test.edit(d)
		require.ErrorContains(t, d.Validate(), test.want)
	}
}

func TestRouteIsLongestPrefixOfHost(t *testing.T) {
	table := Compile(validDocument())
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "r1"}, {"a.example", "/x/y/1", "r2"}, {"a.example", "/x/y", "r1"}, {"A.Example:8080", "/x/", "r1"},
		{"a.example", "/x", ""}, {"a.example", "/X/", ""}, {"b.example", "/x/", ""}, {"a.example", "/%78/", ""},
	}
	for _, test := range tests {
		name := ""
		if r := table.Route(test.host, test.path); r != nil {
			name = r.Name
		}
		require.Equal(t, test.want, name, test.host+test.path)
	}
	require.Equal(t, "a", table.Account("k2").Name)
	require.Nil(t, table.Account("k9"))
	require.True(t, table.RequiresKey(&table.Routes[0]))
	require.False(t, table.RequiresKey(&table.Routes[1]))
}

func TestPickTargetFollowsWeights(t *testing.T) {
	r := validDocument().Routes[0]
	require.Equal(t, "s1", r.PickTarget(0))
	require.Equal(t, "s1", r.PickTarget(0.899))
	require.Equal(t, "s2", r.PickTarget(0.901))
	r.Targets = []Target{{"s1", 0}, {"s2", 5}}
	require.Equal(t, "s2", r.PickTarget(0))
}

func TestIsolatedGroupIdentifiesSetOfAccounts(t *testing.T) {
	group := func(accounts ...Account) string { return Compile(&Document{Accounts: accounts}).IsolatedGroup() }
	ab := group(Account{Name: "a", Isolated: true}, Account{Name: "b", Isolated: true})
	require.Empty(t, group(Account{Name: "a"}))
	require.NotEmpty(t, ab)
	require.Equal(t, ab, group(Account{Name: "b", Isolated: true}, Account{Name: "c"}, Account{Name: "a", Isolated: true}))
	for _, other := range []string{group(Account{Name: "a", Isolated: true}), group(Account{Name: "ab", Isolated: true}), group(Account{Name: "1:a1:b", Isolated: true}), ""} {
		require.NotEqual(t, ab, other)
	}
}
