package directory

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/membership"
)

func candidate(domain string, requests int) Candidate {
	return Candidate{ActiveRequests: requests, Member: membership.Member{
		Instance: "at-" + domain, FailureDomain: domain, Region: membership.RegionOf(domain), ClientURL: "http://" + domain,
	}}
}

// countFirst counts how often each entry is ranked first.
func countFirst(list []Candidate, domain string) map[string]int {
	random := rand.New(rand.NewPCG(1, 1))
	counts := make(map[string]int)
	for range 4000 {
		counts[Rank(list, domain, random)[0].FailureDomain]++
	}
	return counts
}

func TestRank(t *testing.T) {
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	draining := func(c *Candidate) { c.Member.Draining = true }
	notAccepting := func(c *Candidate) { c.NotAccepting = true }
	overloaded := func(c *Candidate) { c.Overloaded = true }
	tests := []struct {
		name   string
		list   []Candidate
		domain string
		// minShare and maxShare bound how often the entry of "m-1" is ranked first.
		minShare, maxShare float64
	}{
		{"equal weights", []Candidate{candidate("m-1", 0), candidate("m-2", 0)}, "", 0.45, 0.55},
		{"own failure domain", []Candidate{candidate("m-1", 0), candidate("m-2", 0)}, "m-1", 0.6, 0.75},
		{"own failure domain, loaded", []Candidate{candidate("m-1", 99), candidate("m-2", 0)}, "m-1", 0.1, 0.25},
		{"other region", []Candidate{candidate("m-1", 0), candidate("q-1", 0)}, "q-2", 0, 0.1},
		{"draining", []Candidate{with(candidate("m-1", 0), draining), candidate("m-2", 0)}, "m-1", 0, 0},
		{"accepts no new work", []Candidate{with(candidate("m-1", 0), notAccepting), candidate("m-2", 0)}, "m-1", 0, 0},
		{"overloaded", []Candidate{with(candidate("m-1", 0), overloaded), candidate("m-2", 0)}, "m-1", 0, 0},
		{"all overloaded", []Candidate{with(candidate("m-1", 0), overloaded)}, "m-1", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			share := float64(countFirst(tt.list, tt.domain)["m-1"]) / 4000
			require.GreaterOrEqual(t, share, tt.minShare)
			require.LessOrEqual(t, share, tt.maxShare)
		})
	}
	require.Empty(t, Rank([]Candidate{with(candidate("m-1", 0), notAccepting)}, "", rand.New(rand.NewPCG(1, 1))))
}

func TestClient(t *testing.T) {
	var queries atomic.Int64
	var answer Response
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries.Add(1)
		if r.Header.Get("Authorization") != "Bearer k" || r.URL.Query().Get(QueryFailureDomain) != "m-1" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(answer) // an encoding error fails the client's assertions
	}))
	defer entry.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	answer = Response{TTLMS: time.Hour.Milliseconds(), Entries: []Entry{{URL: closed.URL}, {URL: entry.URL}}}
	c := &Client{Seeds: []string{closed.URL, entry.URL}, BearerKey: "k", FailureDomain: "m-1", HTTP: &http.Client{}}
	for range 3 {
		got, err := c.Entries(t.Context())
		require.NoError(t, err)
		require.Equal(t, []string{closed.URL, entry.URL}, got)
	}
	require.EqualValues(t, 1, queries.Load(), "the response is cached")
	c.MarkFailed(closed.URL)
	got, err := c.Entries(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{entry.URL}, got)
	c.MarkFailed(entry.URL)
	_, err = c.Entries(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, queries.Load(), "queried again once all addresses have failed")
	answer.TTLMS = 0
	c.MarkFailed(closed.URL)
	c.MarkFailed(entry.URL)
	for i := range 3 {
		_, err = c.Entries(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 3+i, queries.Load(), "queried again once the response has expired")
	}
	answer.Entries = nil
	got, err = c.Entries(t.Context())
	require.NoError(t, err, "the last known addresses are returned")
	require.Len(t, got, 2)
	c = &Client{Seeds: []string{closed.URL}, HTTP: &http.Client{}}
	_, err = c.Entries(t.Context())
	require.ErrorContains(t, err, fmt.Sprintf("entry %s", closed.URL))
}
