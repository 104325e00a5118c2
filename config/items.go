package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// Kinds of the items into which a document is split.
const (
	KindEnvironment   = "environment"
	KindDeployment    = "deployment"
	KindClientAccount = "client_account"
	KindStore         = "store"
	KindService       = "service"
	KindServerKind    = "server_kind"
	KindWeightStore   = "weight_store"
)

// header is the body of the environment item: the document's top-level fields.
// Its name is part of the decoding errors that reach operators.
type header struct {
	Schema       string `json:"schema"`
	Stage        Stage  `json:"stage"`
	PromotesFrom string `json:"promotes_from,omitempty"`
}

// Items splits a document into items with canonical bodies, sorted by kind and
// name. Equal documents yield equal items.
func Items(d *Document) ([]*controlv1.ConfigItem, error) {
	var encoder itemEncoder
	encoder.add(KindEnvironment, d.Environment, header{Schema: d.Schema, Stage: d.Stage, PromotesFrom: d.PromotesFrom})
	for _, deployment := range d.Deployments {
		encoder.add(KindDeployment, deployment.Name, deployment)
	}
	for _, account := range d.ClientAccounts {
		encoder.add(KindClientAccount, account.Name, account)
	}
	for _, store := range d.Stores {
		encoder.add(KindStore, store.Name, store)
	}
	for _, service := range d.Services {
		encoder.add(KindService, service.Name, service)
	}
	for _, kind := range d.ServerKinds {
		encoder.add(KindServerKind, kind.Name, kind)
	}
	if d.WeightStore.URL != "" {
		encoder.add(KindWeightStore, "weights", d.WeightStore)
	}
	slices.SortFunc(encoder.items, compareItems)
	return encoder.items, encoder.err
}

type itemEncoder struct {
	items []*controlv1.ConfigItem
	err   error
}

func (e *itemEncoder) add(kind, name string, body any) {
	raw, err := json.Marshal(body)
	if err != nil && e.err == nil {
		e.err = fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	e.items = append(e.items, &controlv1.ConfigItem{Kind: kind, Name: name, Body: raw})
}

func compareItems(a, b *controlv1.ConfigItem) int {
	if order := strings.Compare(a.Kind, b.Kind); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

// FromItems reassembles a document from its items.
func FromItems(items []*controlv1.ConfigItem) (*Document, error) {
	d := &Document{}
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, compareItems)
	for _, item := range sorted {
		if err := decodeItem(d, item); err != nil {
			return nil, fmt.Errorf("decode %s %q: %w", item.Kind, item.Name, err)
		}
	}
	d.setDefaults()
	return d, nil
}

func decodeItem(d *Document, item *controlv1.ConfigItem) error {
	switch item.Kind {
	case KindEnvironment:
		var fields header
		err := decodeStrictJSON(item.Body, &fields)
		d.Environment, d.Schema, d.Stage, d.PromotesFrom = item.Name, fields.Schema, fields.Stage, fields.PromotesFrom
		return err
	case KindDeployment:
		return appendItem(&d.Deployments, item.Body)
	case KindClientAccount:
		return appendItem(&d.ClientAccounts, item.Body)
	case KindStore:
		return appendItem(&d.Stores, item.Body)
	case KindService:
		return appendItem(&d.Services, item.Body)
	case KindServerKind:
		return appendItem(&d.ServerKinds, item.Body)
	case KindWeightStore:
		return decodeStrictJSON(item.Body, &d.WeightStore)
	}
	return fmt.Errorf("unknown kind")
}

func appendItem[T any](list *[]T, body []byte) error {
	var v T
	if err := decodeStrictJSON(body, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}

func decodeStrictJSON(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}

// Change is the difference between two documents, expressed as items.
type Change struct {
	Upserts []*controlv1.ConfigItem
	Removes []*controlv1.ConfigKey
}

// Empty reports whether the change contains no differences.
func (c Change) Empty() bool { return len(c.Upserts) == 0 && len(c.Removes) == 0 }

type itemKey struct{ kind, name string }

// Diff returns the change that turns the items of before into those of after.
func Diff(before, after []*controlv1.ConfigItem) Change {
	old := make(map[itemKey]*controlv1.ConfigItem, len(before))
	for _, item := range before {
		old[itemKey{item.Kind, item.Name}] = item
	}
	var change Change
	for _, item := range after {
		key := itemKey{item.Kind, item.Name}
		previous, ok := old[key]
		delete(old, key)
		if !ok || !bytes.Equal(previous.Body, item.Body) {
			change.Upserts = append(change.Upserts, item)
		}
	}
	for key := range old {
		change.Removes = append(change.Removes, &controlv1.ConfigKey{Kind: key.kind, Name: key.name})
	}
	slices.SortFunc(change.Removes, func(a, b *controlv1.ConfigKey) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return change
}
