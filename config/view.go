package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

// View is a document indexed for lookups on the request path. It is immutable.
type View struct {
	Revision uint64
	// Document holds all sections except the client accounts, which are looked
	// up by Account.
	Document *Document

	deployments        map[string]*Deployment
	deploymentsByModel map[string][]*Deployment
	accounts           map[string]*ClientAccount
	keys               map[[sha256Bytes]byte]keyEntry
	stores             map[string]*Store
	services           map[string]*Service
	serverKinds        map[string]*ServerKind
}

type keyEntry struct {
	hash    [sha256Bytes]byte
	account *ClientAccount
	revoked bool
}

// NewView returns the view of a document.
func NewView(revision uint64, d *Document) *View {
	sections := *d
	sections.ClientAccounts = nil
	v := &View{
		Revision: revision,
		Document: &sections,
		accounts: make(map[string]*ClientAccount, len(d.ClientAccounts)),
		keys:     make(map[[sha256Bytes]byte]keyEntry, len(d.ClientAccounts)),
	}
	for i := range d.ClientAccounts {
		v.addAccount(&d.ClientAccounts[i])
	}
	v.index()
	return v
}

// index rebuilds the lookup maps of all sections except the client accounts.
func (v *View) index() {
	d := v.Document
	v.deployments = make(map[string]*Deployment)
	v.deploymentsByModel = make(map[string][]*Deployment)
	v.stores = make(map[string]*Store)
	v.services = make(map[string]*Service)
	v.serverKinds = make(map[string]*ServerKind)
	for i := range d.Deployments {
		deployment := &d.Deployments[i]
		v.deployments[deployment.Name] = deployment
		v.deploymentsByModel[deployment.Model] = append(v.deploymentsByModel[deployment.Model], deployment)
	}
	for i := range d.Stores {
		v.stores[d.Stores[i].Name] = &d.Stores[i]
	}
	for i := range d.Services {
		v.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.ServerKinds {
		v.serverKinds[d.ServerKinds[i].Name] = &d.ServerKinds[i]
	}
}

func (v *View) addAccount(a *ClientAccount) {
	v.accounts[a.Name] = a
	for _, k := range a.Keys {
		if hash, ok := keyHash(k); ok {
			v.keys[hash] = keyEntry{hash: hash, account: a, revoked: k.Revoked}
		}
	}
}

func keyHash(k Key) (hash [sha256Bytes]byte, ok bool) {
	n, err := hex.Decode(hash[:], []byte(k.SHA256))
	return hash, err == nil && n == sha256Bytes
}

// Authenticate returns the client account of a bearer key. The key is hashed
// first, so that the time of the map lookup reveals nothing about stored keys;
// the hashes are then compared in constant time.
func (v *View) Authenticate(key string) (*ClientAccount, bool) {
	hash := sha256.Sum256([]byte(key))
	entry, ok := v.keys[hash]
	if !ok || subtle.ConstantTimeCompare(hash[:], entry.hash[:]) != 1 || entry.revoked {
		return nil, false
	}
	return entry.account, true
}

// Deployment returns a deployment by name, or nil.
func (v *View) Deployment(name string) *Deployment { return v.deployments[name] }

// DeploymentForModel returns the deployment that serves a model to an account,
// or nil. The name of a deployment is accepted as a model name too.
func (v *View) DeploymentForModel(a *ClientAccount, model string) *Deployment {
	for _, deployment := range v.deploymentsByModel[model] {
		if slices.Contains(a.Deployments, deployment.Name) {
			return deployment
		}
	}
	if deployment := v.deployments[model]; deployment != nil && slices.Contains(a.Deployments, model) {
		return deployment
	}
	return nil
}

// Account returns a client account by name, or nil.
func (v *View) Account(name string) *ClientAccount { return v.accounts[name] }

// Store returns a KV cache store by name, or nil.
func (v *View) Store(name string) *Store { return v.stores[name] }

// Service returns a plain service by name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// ServerKind returns a server kind by name, or nil.
func (v *View) ServerKind(name string) *ServerKind { return v.serverKinds[name] }

// FindCall returns the declared call with the longest matching path prefix. An
// undeclared call gets the default timeout and must not be retried.
func (s *Service) FindCall(method, path string) Call {
	longest := Call{Path: "", Method: method, Timeout: defaultCallTimeout}
	for _, call := range s.Calls {
		if strings.EqualFold(call.Method, method) && matchesPath(path, call.Path) && len(call.Path) > len(longest.Path) {
			longest = call
		}
	}
	return longest
}

// matchesPath reports whether path equals prefix or is below it.
func matchesPath(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// HashKey returns the hash under which a document stores a bearer key: its
// SHA-256 in lower-case hexadecimal.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
