package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

func applyConfig(s *State, req *controlv1.ApplyConfigRequest) *controlv1.ApplyConfigResponse {
	return s.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: req}}).GetApplyConfig()
}

func removal(kind, name string) []*controlv1.ConfigKey {
	return []*controlv1.ConfigKey{{Kind: kind, Name: name}}
}

// TestConcurrentChangeIsRejected guards against lost updates: of two changes
// based on the same revision only the first is accepted.
func TestConcurrentChangeIsRejected(t *testing.T) {
	s, env := largeState(t, 3)
	first := &controlv1.ApplyConfigRequest{Environment: env, ExpectedRevision: 1, ChangeId: "a", Removes: removal(config.KindClientAccount, "account-00001")}
	second := &controlv1.ApplyConfigRequest{Environment: env, ExpectedRevision: 1, ChangeId: "b", Removes: removal(config.KindClientAccount, "account-00002")}
	accepted := applyConfig(s, first)
	require.True(t, accepted.Accepted)
	rejected := applyConfig(s, second)
	require.False(t, rejected.Accepted)
	require.Equal(t, "account-00001", rejected.Conflicting[0].Name)
	s = restored(t, s)
	require.True(t, proto.Equal(accepted, applyConfig(s, first)), "a retry gets the recorded response after a restore")
	require.EqualValues(t, 2, s.Revision(env))
	second.ExpectedRevision = 2
	require.True(t, applyConfig(s, second).Accepted)
}

// TestChangeIsValidatedAgainstDocument checks that the incremental validation of
// a change finds conflicts with unchanged items.
func TestChangeIsValidatedAgainstDocument(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *State, req *controlv1.ApplyConfigRequest)
		reason string
	}{
		{"deployment referenced by accounts", func(_ *State, r *controlv1.ApplyConfigRequest) {
			r.Removes = removal(config.KindDeployment, "quotes")
		}, "not declared"},
		{"service referenced by accounts", func(_ *State, r *controlv1.ApplyConfigRequest) {
			r.Removes = removal(config.KindService, "order-desk")
		}, "not declared"},
		{"store referenced by a deployment", func(_ *State, r *controlv1.ApplyConfigRequest) {
			r.Removes = removal(config.KindStore, "store-a")
		}, "not declared"},
		{"key of another account", func(s *State, r *controlv1.ApplyConfigRequest) {
			item := proto.CloneOf(s.environments[r.Environment].items[itemKey{config.KindClientAccount, "account-00001"}])
			item.Name = "other"
			item.Body = []byte(`{"name":"other","keys":[{"sha256":"` + fmt.Sprintf("%064x", 1) + `"}],"deployments":["quotes"]}`)
			r.Upserts = []*controlv1.ConfigItem{item}
		}, "is also a key of"},
		{"unknown field", func(_ *State, r *controlv1.ApplyConfigRequest) {
			r.Upserts = []*controlv1.ConfigItem{{Kind: config.KindClientAccount, Name: "x", Body: []byte(`{"name":"x","colour":1}`)}}
		}, "unknown field"},
		{"different name in the body", func(_ *State, r *controlv1.ApplyConfigRequest) {
			r.Upserts = []*controlv1.ConfigItem{{Kind: config.KindClientAccount, Name: "x", Body: []byte(`{"name":"y"}`)}}
		}, "names"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, env := largeState(t, 3)
			for _, st := range []*State{s, restored(t, s)} {
				req := &controlv1.ApplyConfigRequest{Environment: env, ExpectedRevision: 1, ChangeId: "a"}
				tt.change(st, req)
				r := applyConfig(st, req)
				require.False(t, r.Accepted)
				require.Contains(t, r.Reason, tt.reason)
				require.EqualValues(t, 1, st.Revision(env))
			}
		})
	}
}

func TestKeyMovesBetweenAccountsInOneChange(t *testing.T) {
	s, env := largeState(t, 3)
	key := fmt.Sprintf("%064x", 1)
	body := func(name, key string) []byte {
		return []byte(`{"name":"` + name + `","keys":[{"sha256":"` + key + `"}],"deployments":["quotes"],"priority":"batch","weight":1}`)
	}
	r := applyConfig(s, &controlv1.ApplyConfigRequest{
		Environment: env, ExpectedRevision: 1, ChangeId: "a", Removes: removal(config.KindClientAccount, "account-00000"),
		Upserts: []*controlv1.ConfigItem{{Kind: config.KindClientAccount, Name: "next", Body: body("next", key)}},
	})
	require.True(t, r.Accepted, r.Reason)
	r = applyConfig(s, &controlv1.ApplyConfigRequest{
		Environment: env, ExpectedRevision: 2, ChangeId: "b",
		Upserts: []*controlv1.ConfigItem{{Kind: config.KindClientAccount, Name: "third", Body: body("third", key)}},
	})
	require.False(t, r.Accepted)
}

func TestProductionAcceptsOnlyPromotions(t *testing.T) {
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	trialItems, err := config.Items(doc)
	require.NoError(t, err)
	s := New()
	require.True(t, applyConfig(s, &controlv1.ApplyConfigRequest{Environment: doc.Environment, ChangeId: "t", Upserts: trialItems}).Accepted)
	trial := doc.Environment
	doc.Environment, doc.Stage, doc.PromotesFrom = "production", config.StageProduction, trial
	items, err := config.Items(doc)
	require.NoError(t, err)
	promote := func(id string, revision uint64, items []*controlv1.ConfigItem) *controlv1.ApplyConfigResponse {
		return applyConfig(s, &controlv1.ApplyConfigRequest{
			Environment: "production", ChangeId: id, Upserts: items, PromotedFrom: trial, PromotedRevision: revision,
		})
	}
	require.Contains(t, promote("a", 2, items).Reason, "accepted one")
	require.Contains(t, promote("b", 1, items[1:]).Reason, "differs")
	r := promote("c", 1, items)
	require.True(t, r.Accepted, r.Reason)
}

func TestConfigDelta(t *testing.T) {
	s, env := largeState(t, 50)
	for i := range 300 {
		name := fmt.Sprintf("account-%05d", i%40)
		item := proto.CloneOf(s.environments[env].items[itemKey{config.KindClientAccount, name}])
		r := applyConfig(s, &controlv1.ApplyConfigRequest{Environment: env, ExpectedRevision: s.Revision(env), ChangeId: fmt.Sprint(i), Upserts: []*controlv1.ConfigItem{item}})
		require.True(t, r.Accepted, r.Reason)
	}
	for _, st := range []*State{s, restored(t, s)} {
		require.Len(t, st.Config(env, 291).Items, 10)
		require.Len(t, st.Config(env, 1).Items, 40)
		require.Empty(t, st.Config(env, 301).Items)
		require.Len(t, st.Config(env, 0).Items, len(st.environments[env].items))
	}
}
