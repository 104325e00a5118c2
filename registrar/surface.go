// Package registrar is the part of a control instance that speaks with the
// world around the system: backend servers that announce themselves, operators
// that publish documents, and callers that ask where to connect. A Surface
// module gives it a platform's manner of speaking.
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

// ErrUnsure says that this instance cannot tell now: the outcome of a change is
// unknown, or the newest state is.
var ErrUnsure = errors.New("control cannot answer now")

// Desk is what a surface may ask of a control instance.
type Desk interface {
	// Publish offers a version of a document. ErrUnsure means that it may or
	// may not become the newest.
	Publish(ctx context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error)
	// Newest returns the newest version of a document, nil if there is none.
	Newest(ctx context.Context, name string) (*controlv1.PublishedDocument, error)
	// Hear takes a server's announcement.
	Hear(a *fleetv1.Announcement)
	// Leave takes a server's word that it ends; born is 0 if it is not said.
	Leave(server string, born int64)
	// Accepting lists the addresses of entry instances that take callers, and how
	// long callers may keep the list.
	Accepting(domain string, most int) (addresses []string, ttl time.Duration)
}

// Surface makes the handlers of a platform's calls.
type Surface interface {
	// Control serves operators and backend servers.
	Control(d Desk) http.Handler
	// Document decodes the content of a published site document.
	Document(content []byte) (*site.Document, error)
	// Directory serves callers that ask where to connect.
	Directory(d Desk) http.Handler
}
