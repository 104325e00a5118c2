package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

func TestExamplesDecodeAndRoundTrip(t *testing.T) {
	for _, text := range [][]byte{examples.HaddonPryce, examples.ChauffeChatons} {
		document, err := config.Decode(text)
		require.NoError(t, err)
		items, err := config.Items(document)
		require.NoError(t, err)
		rebuilt, err := config.FromItems(items)
		require.NoError(t, err)
		again, err := config.Items(rebuilt)
		require.NoError(t, err)
		require.True(t, config.Diff(items, again).Empty())
	}
}

func TestProblemsHaveLineAndPath(t *testing.T) {
	tests := []struct{ name, from, to, path, reason string }{
		{"unknown field", "weight_version: v1", "weight_versoin: v1", "$", "unknown field"},
		{"negative rate", "requests_per_second: 200", "requests_per_second: -1", "limits.requests_per_second", "requests a second"},
		{"unit missing", "first_token: 2s", "first_token: 2", "$", "duration"},
		{"store not declared", "stores: [store-a, store-b]", "stores: [store-z]", "$.deployments[0].stores[0]", "not declared"},
		{"host name", "url: http://127.0.0.1:7101", "url: http://store:7101", "$.stores[0].url", "IP number"},
		{"roles above servers", "min_serving: 0.75", "roles: [{name: prefill, servers: 13}]", "$.deployments[0].roles", "13 servers in roles"},
		{"drain limit", "min_serving: 0.75", "drain_limit: -1s", "$.deployments[0].drain_limit", "below 0"},
		{"share", "min_serving: 0.75", "min_serving: 7", "$.deployments[0].min_serving", "0 to 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(string(examples.HaddonPryce), test.from, test.to, 1)
			_, err := config.Decode([]byte(text))
			var problems config.Problems
			require.ErrorAs(t, err, &problems)
			require.Contains(t, problems[0].Path, test.path)
			require.Contains(t, problems[0].Reason, test.reason)
			want := 1 + strings.Count(text[:strings.Index(text, test.to)], "\n")
			require.Equal(t, want, problems[0].Line)
		})
	}
}
