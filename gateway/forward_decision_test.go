package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
)

// TestForwardedDecisionIsReadAsWritten guards against an instance that serves a forwarded request by
// another decision than the one that was made.
func TestForwardedDecisionIsReadAsWritten(t *testing.T) {
	route := &site.Route{
		Name: "a&b=c", Kind: site.KindStream, Resumable: true, Timeout: 1500 * time.Millisecond, TargetLatency: time.Second, TargetEventGap: 300 * time.Millisecond, ClientTimeout: 2 * time.Second,
		Priority: 3, MaxServers: 4, Public: true, DeclaresPrompt: true, Targets: []site.Target{{Service: "x", Weight: 2}, {Service: "y", Weight: 1}},
	}
	account := &site.Account{Name: "one", Priority: 2, HasPriority: true, Isolated: true}
	from := &call{route: route, account: account, forwarded: &forwardedRequest{decision: &forwardDecision{MaxBodyBytes: 77}}}
	f, err := decodeForwardedRequest((&forwardedRequest{from: "e-1", service: "x", decision: from.forwardDecision()}).encode())
	require.NoError(t, err)
	to := &call{forwarded: f}
	f.decision.adopt(to)
	require.Equal(t, route, to.route)
	require.Equal(t, account, to.account)
	require.EqualValues(t, 77, to.maxBodyBytes())
}

// TestForwardedDecisionHasNoKeys guards against account keys in headers between instances.
func TestForwardedDecisionHasNoKeys(t *testing.T) {
	c := &call{route: &site.Route{}, account: &site.Account{Name: "one", Keys: []string{"secret"}}, forwarded: &forwardedRequest{decision: &forwardDecision{}}}
	require.NotContains(t, c.forwardDecision().encode(), "secret")
}

// TestMalformedDecisionIsRejected guards against requests that are served by half of a decision.
func TestMalformedDecisionIsRejected(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "{}", `{"route":{"kind":"other"}}`, `{"route":{"kind":"stream","timeout_us":-1}}`, `{"route":{"kind":"stream","timeout_us":86400000001}}`, `{"route":{"kind":"stream"},"max_body_bytes":-1}`} {
		_, err := decodeForwardDecision(text)
		require.Error(t, err, text)
	}
}

// TestForwardedKindHasAName guards against builds, side by side, that number the kinds of routes differently.
func TestForwardedKindHasAName(t *testing.T) {
	for kind, name := range map[site.Kind]string{site.KindIdempotent: "idempotent", site.KindAtMostOnce: "at most once", site.KindStream: "stream"} {
		c := &call{route: &site.Route{Kind: kind}, forwarded: &forwardedRequest{decision: &forwardDecision{}}}
		require.Equal(t, name, c.forwardDecision().Route.Kind)
		require.Equal(t, kind, kindNamed(name))
	}
}

// TestMarkWithoutDecisionIsRead guards against instances of the build before that can pass no
// request on.
func TestMarkWithoutDecisionIsRead(t *testing.T) {
	f, err := decodeForwardedRequest((&forwardedRequest{from: "e-1", service: "x"}).encode())
	require.NoError(t, err)
	require.Nil(t, f.decision)
}
