package config

import (
	"fmt"
	"slices"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// ValidatedDocument is a valid document in a form in which the cost of validating a
// change depends on the size of the change. There are many client accounts, so
// they are validated one by one; all other items are few and are validated
// together.
type ValidatedDocument struct {
	items    map[itemKey]*controlv1.ConfigItem
	sections *Document // all sections but the client accounts
	accounts map[string]*ClientAccount
	// keyOwners maps the SHA-256 of each key to the name of its account.
	keyOwners map[string]string
}

// NewValidatedDocument returns an empty document.
func NewValidatedDocument() *ValidatedDocument {
	return &ValidatedDocument{
		items:     make(map[itemKey]*controlv1.ConfigItem),
		sections:  &Document{},
		accounts:  make(map[string]*ClientAccount),
		keyOwners: make(map[string]string),
	}
}

// ValidatedChange is a validated change that has not been committed. A nil
// value in its maps marks a removal.
type ValidatedChange struct {
	items    map[itemKey]*controlv1.ConfigItem
	accounts map[string]*ClientAccount
	// Document is the document after the change, without client accounts.
	Document *Document
}

// Validate validates the document that would result from a change, without
// committing the change.
func (d *ValidatedDocument) Validate(upserts []*controlv1.ConfigItem, removes []*controlv1.ConfigKey) (*ValidatedChange, error) {
	change, err := d.stage(upserts, removes)
	if err != nil {
		return nil, err
	}
	if problems := d.check(change); len(problems) > 0 {
		return nil, problems
	}
	return change, nil
}

// RestoreDocument restores a document that was accepted earlier. It is not
// validated again, because the rules may have become stricter since.
func RestoreDocument(items []*controlv1.ConfigItem) (*ValidatedDocument, error) {
	d := NewValidatedDocument()
	change, err := d.stage(items, nil)
	if err != nil {
		return nil, err
	}
	d.Commit(change)
	return d, nil
}

// stage decodes a change without validating it.
func (d *ValidatedDocument) stage(upserts []*controlv1.ConfigItem, removes []*controlv1.ConfigKey) (*ValidatedChange, error) {
	change := &ValidatedChange{items: make(map[itemKey]*controlv1.ConfigItem), accounts: make(map[string]*ClientAccount)}
	for _, key := range removes {
		change.remove(key)
	}
	for _, item := range upserts {
		if err := change.put(item); err != nil {
			return nil, fmt.Errorf("decode %s %q: %w", item.Kind, item.Name, err)
		}
	}
	sections, err := d.sectionsAfter(change)
	if err != nil {
		return nil, err
	}
	change.Document = sections
	return change, nil
}

func (change *ValidatedChange) remove(key *controlv1.ConfigKey) {
	if key.Kind == KindClientAccount {
		change.accounts[key.Name] = nil
		return
	}
	change.items[itemKey{key.Kind, key.Name}] = nil
}

func (change *ValidatedChange) put(item *controlv1.ConfigItem) error {
	if item.Kind != KindClientAccount {
		change.items[itemKey{item.Kind, item.Name}] = item
		return nil
	}
	partial := &Document{}
	if err := decodeItem(partial, item); err != nil {
		return err
	}
	partial.setDefaults()
	if partial.ClientAccounts[0].Name != item.Name {
		return fmt.Errorf("the body names %q", partial.ClientAccounts[0].Name)
	}
	change.accounts[item.Name] = &partial.ClientAccounts[0]
	return nil
}

// sectionsAfter returns the sections other than client accounts as they would
// be after a change.
func (d *ValidatedDocument) sectionsAfter(change *ValidatedChange) (*Document, error) {
	if len(change.items) == 0 {
		return d.sections, nil
	}
	var items []*controlv1.ConfigItem
	for k, item := range d.items {
		if _, changed := change.items[k]; !changed {
			items = append(items, item)
		}
	}
	for _, item := range change.items {
		if item != nil {
			items = append(items, item)
		}
	}
	return FromItems(items)
}

// check returns the problems of the document that results from a change, sorted by
// path. It validates the client accounts that are not part of the change only if the
// change removes a deployment or service.
func (d *ValidatedDocument) check(change *ValidatedChange) Problems {
	v := &validator{}
	if len(change.items) > 0 {
		v.problems = Validate(change.Document)
	}
	deployments := names(change.Document.Deployments, deploymentName)
	services := names(change.Document.Services, serviceName)
	if d.removesDeclaredName(deployments, services) {
		for name, a := range d.accounts {
			if _, changed := change.accounts[name]; !changed {
				v.account(accountPath(name), a, deployments, services)
			}
		}
	}
	for name, a := range change.accounts {
		if a != nil {
			v.requireName(accountPath(name)+".name", name)
			v.account(accountPath(name), a, deployments, services)
		}
	}
	d.rejectDuplicateKeys(v, change)
	slices.SortFunc(v.problems, func(a, b *Problem) int { return compareStrings(a.Path+a.Reason, b.Path+b.Reason) })
	return v.problems
}

func accountPath(name string) string { return fmt.Sprintf("$.client_accounts[%s]", name) }

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func names[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, item := range list {
		out[i] = name(item)
	}
	return out
}

// removesDeclaredName reports whether a change removes a deployment or service.
// Accounts that the change does not touch may still refer to it.
func (d *ValidatedDocument) removesDeclaredName(deployments, services []string) bool {
	for _, item := range d.sections.Deployments {
		if !slices.Contains(deployments, item.Name) {
			return true
		}
	}
	for _, item := range d.sections.Services {
		if !slices.Contains(services, item.Name) {
			return true
		}
	}
	return false
}

// rejectDuplicateKeys rejects keys that are listed more than once, in one client
// account or in several. Accounts in change replace those of d.
func (d *ValidatedDocument) rejectDuplicateKeys(v *validator, change *ValidatedChange) {
	stagedOwners := make(map[string]string)
	for _, name := range sortedNames(change.accounts) {
		account := change.accounts[name]
		if account == nil {
			continue
		}
		for i, key := range account.Keys {
			other, ok := stagedOwners[key.SHA256]
			if !ok {
				other, ok = d.keyOwners[key.SHA256]
				if _, changed := change.accounts[other]; changed {
					ok = false
				}
			}
			if ok {
				v.add(fmt.Sprintf("%s.keys[%d].sha256", accountPath(name), i), "is also a key of %q", other)
			}
			stagedOwners[key.SHA256] = name
		}
	}
}

func sortedNames(accounts map[string]*ClientAccount) []string {
	sorted := make([]string, 0, len(accounts))
	for name := range accounts {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// Commit commits a change that was validated against this document.
func (d *ValidatedDocument) Commit(change *ValidatedChange) {
	for k, item := range change.items {
		if item == nil {
			delete(d.items, k)
			continue
		}
		d.items[k] = item
	}
	d.sections = change.Document
	for name := range change.accounts {
		if previous, ok := d.accounts[name]; ok {
			for _, k := range previous.Keys {
				delete(d.keyOwners, k.SHA256)
			}
			delete(d.accounts, name)
		}
	}
	for name, a := range change.accounts {
		if a == nil {
			continue
		}
		d.accounts[name] = a
		for _, k := range a.Keys {
			d.keyOwners[k.SHA256] = name
		}
	}
}
