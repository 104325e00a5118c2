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

// ErrUnsure means that this instance cannot answer now: the outcome of a
// change, or the newest state, is unknown.
var ErrUnsure = errors.New("control cannot answer now")

// Desk lists the operations that a platform module can request from a control
// instance.
type Desk interface {
	// Publish submits a version of a document. If control cannot answer, the
	// version may or may not become the newest.
	Publish(ctx context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error)
	// Newest returns the newest version of a document, nil if there is none.
	Newest(ctx context.Context, name string) (*controlv1.PublishedDocument, error)
	// Hear applies a server's announcement.
	Hear(a *fleetv1.Announcement)
	// Leave records that a server has ended. bornUnixMS identifies its
	// incarnation by start time; 0 if the server did not give it.
	Leave(server string, bornUnixMS int64)
	// Accepting lists the addresses of entry instances that accept clients, at
	// most limit, and how long clients may cache the list.
	Accepting(domain string, limit int) (addresses []string, ttl time.Duration)
}

// Surface provides the HTTP handlers for a platform's protocol.
type Surface interface {
	// Control serves operators and backend servers.
	Control(d Desk) http.Handler
	// Document decodes the content of a published site document.
	Document(content []byte) (*site.Document, error)
	// Directory serves clients that ask where to connect.
	Directory(d Desk) http.Handler
}
