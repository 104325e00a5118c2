package evacuation

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// Documents reads and publishes documents at the leader of the control group.
type Documents interface {
	// NewestDocument returns the newest version of a document, nil if there is none.
	NewestDocument(ctx context.Context, name string) (*controlv1.PublishedDocument, error)
	// Publish offers a version of a document.
	Publish(ctx context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error)
}

// Apply empties a failure domain or withdraws the order on it, and returns the version
// that the control group holds once a majority has synced it. After an error the order may or
// may not take effect; it can be given again, at any control instance.
//
// A version that another operator has published since the newest one was read precedes or
// follows this order as if they had come one after the other: it is not replaced. An
// order that was delayed can therefore not undo a later one.
func Apply(ctx context.Context, documents Documents, domain string, empty bool, author string, now time.Time) (version uint64, err error) {
	held, err := documents.NewestDocument(ctx, DocumentName(domain))
	if err != nil {
		return 0, eris.Wrapf(err, "read the order on failure domain %q", domain)
	}
	document, err := NewDocument(domain, held.GetVersion(), empty, author, now)
	if err != nil {
		return 0, err
	}
	response, err := documents.Publish(ctx, document)
	if err != nil {
		return 0, eris.Wrapf(err, "publish version %d of the order on failure domain %q", document.Version, domain)
	}
	return response.GetHeldVersion(), nil
}

// UnknownDomainError reports an order on a failure domain that is not among the known ones.
type UnknownDomainError struct {
	Domain string
	// Known is sorted.
	Known []string
}

// Error implements error.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("failure domain %q is not known; known are %s", e.Domain, strings.Join(e.Known, ", "))
}

// CheckKnown returns an error if the domain is invalid, if it is none of the known ones, or if there
// are already orders on MaxDomains others. Without any known domain each one may be ordered.
func CheckKnown(domain string, known map[string]bool, orders Orders) error {
	if err := CheckDomain(domain); err != nil {
		return err
	}
	if _, ordered := orders[domain]; ordered || known[domain] {
		return checkCount(domain, orders)
	}
	if len(known) > 0 {
		return &UnknownDomainError{Domain: domain, Known: sortedNames(known)}
	}
	return checkCount(domain, orders)
}

func checkCount(domain string, orders Orders) error {
	if _, ordered := orders[domain]; !ordered && len(orders) >= MaxDomains {
		return fmt.Errorf("%w: there are orders on %d failure domains already", ErrInvalid, len(orders))
	}
	return nil
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
