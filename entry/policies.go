package entry

import (
	"sync"

	"github.com/galenaarch/galenaarch/routing"
)

// policySet caches routing policy instances by deployment and policy name.
type policySet struct {
	mu    sync.Mutex
	byKey map[policyKey]routing.Policy
}

type policyKey struct{ deployment, policy string }

func newPolicySet() *policySet { return &policySet{byKey: make(map[policyKey]routing.Policy)} }

func (p *policySet) get(deployment, name string) (routing.Policy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := policyKey{deployment, name}
	if policy, ok := p.byKey[key]; ok {
		return policy, nil
	}
	policy, err := routing.New(name)
	if err != nil {
		return nil, err
	}
	p.byKey[key] = policy
	return policy, nil
}
