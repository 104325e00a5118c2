// Package registrar is the external interface of a control instance: backend
// servers announce themselves to it, operators publish documents, and clients
// ask where to connect. A module for each platform implements that platform's
// protocol.
package registrar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
)

// ErrUnavailable means that a request to the leader did not succeed in time:
// the outcome of a change, or the newest state, is unknown.
var ErrUnavailable = errors.New("control cannot answer now")

// ControlPlane lists the operations that a platform module can request from a
// control instance.
type ControlPlane interface {
	// Publish submits a version of a document. After ErrUnavailable the version
	// may or may not become the newest.
	Publish(ctx context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error)
	// NewestDocument returns the newest version of a document, nil if there is
	// none.
	NewestDocument(ctx context.Context, name string) (*controlv1.PublishedDocument, error)
	// Evacuate orders that no request be sent to the backend servers of a failure
	// domain, and EndEvacuation withdraws the order. author names the operator. An
	// *evacuation.UnknownDomainError means that there is no such domain. After another
	// error the order may or may not take force.
	Evacuate(ctx context.Context, domain, author string) error
	EndEvacuation(ctx context.Context, domain, author string) error
	// Announce applies a server's announcement.
	Announce(a *fleetv1.Announcement)
	// MarkGone records that a server has ended. bornUnixMS identifies its
	// incarnation by start time; 0 if the server did not give it.
	MarkGone(server string, bornUnixMS int64)
	// Rejected records that an announcement, or the report of an end, was not understood.
	// server is the ID that it names.
	Rejected(server string, err error)
	// AcceptingAddresses lists the addresses of entry instances that accept
	// clients, at most limit, and how long clients may cache the list.
	AcceptingAddresses(domain string, limit int) (addresses []string, ttl time.Duration)
}

// Platform provides the HTTP handlers for a platform's protocol.
type Platform interface {
	// ControlHandler serves operators and backend servers.
	ControlHandler(c ControlPlane) http.Handler
	// DecodeDocument decodes the content of a published site document.
	DecodeDocument(content []byte) (*site.Document, error)
	// DirectoryHandler serves clients that ask where to connect.
	DirectoryHandler(c ControlPlane) http.Handler
}
