package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// WithChanges returns the view after a change, or the view of a complete
// document if full is true. It decodes only the changed items and shares the
// rest with v, which is not modified.
func (v *View) WithChanges(revision uint64, full bool, upserts []*controlv1.ConfigItem, removes []*controlv1.ConfigKey) (*View, error) {
	next := v.clone(full)
	next.Revision = revision
	for _, key := range removes {
		next.remove(key.Kind, key.Name)
	}
	for _, item := range upserts {
		if err := next.put(item); err != nil {
			return nil, fmt.Errorf("decode %s %q: %w", item.Kind, item.Name, err)
		}
	}
	next.Document.setDefaults()
	next.index()
	return next, nil
}

// clone returns a copy of v whose sections can be modified, or an empty view.
func (v *View) clone(empty bool) *View {
	if empty {
		return NewView(0, &Document{})
	}
	document := *v.Document
	document.Deployments = slices.Clone(document.Deployments)
	document.Stores = slices.Clone(document.Stores)
	document.Services = slices.Clone(document.Services)
	document.ServerKinds = slices.Clone(document.ServerKinds)
	return &View{Document: &document, accounts: maps.Clone(v.accounts), keys: maps.Clone(v.keys)}
}

func (v *View) put(item *controlv1.ConfigItem) error {
	d := v.Document
	switch item.Kind {
	case KindClientAccount:
		return v.putAccount(item)
	case KindDeployment:
		return putNamed(&d.Deployments, item, deploymentName)
	case KindStore:
		return putNamed(&d.Stores, item, storeName)
	case KindService:
		return putNamed(&d.Services, item, serviceName)
	case KindServerKind:
		return putNamed(&d.ServerKinds, item, serverKindName)
	}
	return decodeItem(d, item)
}

func (v *View) putAccount(item *controlv1.ConfigItem) error {
	partial := &Document{}
	if err := decodeItem(partial, item); err != nil {
		return err
	}
	partial.setDefaults()
	v.removeAccount(item.Name)
	v.addAccount(&partial.ClientAccounts[0])
	return nil
}

func (v *View) remove(kind, name string) {
	d := v.Document
	switch kind {
	case KindClientAccount:
		v.removeAccount(name)
	case KindDeployment:
		removeNamed(&d.Deployments, name, deploymentName)
	case KindStore:
		removeNamed(&d.Stores, name, storeName)
	case KindService:
		removeNamed(&d.Services, name, serviceName)
	case KindServerKind:
		removeNamed(&d.ServerKinds, name, serverKindName)
	case KindWeightStore:
		d.WeightStore = WeightStore{}
	}
}

// removeAccount removes an account and those of its keys that still belong to
// it: a key may have moved to another account in the same change.
func (v *View) removeAccount(name string) {
	previous, ok := v.accounts[name]
	if !ok {
		return
	}
	delete(v.accounts, name)
	for _, key := range previous.Keys {
		hash, ok := keyHash(key)
		if ok && v.keys[hash].account == previous {
			delete(v.keys, hash)
		}
	}
}

func deploymentName(d Deployment) string { return d.Name }
func storeName(s Store) string           { return s.Name }
func serviceName(s Service) string       { return s.Name }
func serverKindName(k ServerKind) string { return k.Name }

// putNamed decodes an item and inserts or replaces it in a list sorted by name.
func putNamed[T any](list *[]T, item *controlv1.ConfigItem, name func(T) string) error {
	var v T
	if err := decodeStrictJSON(item.Body, &v); err != nil {
		return err
	}
	i, found := slices.BinarySearchFunc(*list, item.Name, func(element T, wanted string) int { return strings.Compare(name(element), wanted) })
	if found {
		(*list)[i] = v
		return nil
	}
	*list = slices.Insert(*list, i, v)
	return nil
}

func removeNamed[T any](list *[]T, wanted string, name func(T) string) {
	*list = slices.DeleteFunc(*list, func(element T) bool { return name(element) == wanted })
}
