package registry

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// noteDocuments shows the published documents to the waiting polls if they have changed. mu must
// be held.
func (h *Hub) noteDocuments() {
	if !h.wakePending && !slices.EqualFunc(h.documents.Published(), h.shownDocuments, sameVersion) {
		h.notifyChanged()
	}
}

func sameVersion(a, b *controlv1.PublishedDocument) bool {
	return a.Name == b.Name && a.Version == b.Version
}

// Document implements fleetv1.Fleet.
func (h *Hub) Document(_ context.Context, r *fleetv1.DocumentRequest) (*controlv1.PublishedDocument, error) {
	for _, d := range h.documents.Published() {
		if d.Name == r.Name {
			return d, nil
		}
	}
	return nil, twirp.NotFoundError("this instance holds no document " + r.Name)
}
