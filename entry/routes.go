package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/alexedwards/flow"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/directory"
	"github.com/galenaarch/galenaarch/services"
)

// Request and response headers of the public API.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Galena-Priority"
	headerReplayed       = "X-Galena-Replayed"
)

// requestInfo holds the ID of a request, the account that sent it and the
// configuration it is handled with. account is nil until the request is
// authenticated.
type requestInfo struct {
	requestID string
	account   *config.ClientAccount
	view      *config.View
}

type requestHandler func(w http.ResponseWriter, r *http.Request, info requestInfo) *refusal.Error

func (e *Entry) publicRoutes() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/completions", e.withAuthentication("completion", e.withAdmission(e.serveCompletion)), http.MethodPost)
	mux.HandleFunc("/v1/chat/completions", e.withAuthentication("chat", e.withAdmission(e.serveChat)), http.MethodPost)
	mux.HandleFunc("/v1/models", e.withAuthentication("models", e.serveModels), http.MethodGet)
	mux.HandleFunc("/v1/requests/:id", e.withAuthentication("request", e.serveRequest), http.MethodGet)
	mux.HandleFunc(directory.Path, e.withAuthentication("directory", e.serveDirectory), http.MethodGet)
	mux.HandleFunc("/v1/services/:service/...", e.withAuthentication("service", e.withAdmission(e.serveService)),
		http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch)
	mux.NotFound = refusalHandler(refusal.CodeNotFound, "no such path")
	mux.MethodNotAllowed = refusalHandler(refusal.CodeMethodNotAllowed, "method not allowed on this path")
	return e.tracker.wrap(mux)
}

func refusalHandler(code refusal.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := requestID(r)
		refusal.New(code, "route request", "%s", message).Write(w, id)
	})
}

// withAuthentication wraps a handler. It assigns the request ID, checks the
// bearer key and writes the error returned by the handler.
func (e *Entry) withAuthentication(kind string, next requestHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := e.kernel.Tracer.Start(ctx, "entry."+kind)
		defer span.End()
		r = r.WithContext(ctx)
		id, validID := requestID(r)
		info := requestInfo{requestID: id, view: e.config.View()}
		w.Header().Set(headerRequestID, info.requestID)
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		begun := &begunWriter{ResponseWriter: w}
		w = begun
		defer e.answerPanic(begun, kind, id)
		refused := e.countOpenRequest()
		defer e.openRequests.Add(-1)
		if refused == nil {
			refused = e.authenticate(r, &info)
		}
		if refused == nil && !validID {
			refused = invalidRequest("header " + headerRequestID + ": expected at most 128 printable characters")
		}
		if refused == nil {
			refused = next(w, r, info)
		}
		if refused == nil {
			e.metrics.requests.WithLabelValues(kind, "ok").Inc()
			return
		}
		e.metrics.requests.WithLabelValues(kind, string(refused.Code)).Inc()
		setWriteDeadline(w)
		refused.Write(w, info.requestID)
	}
}

// countOpenRequest increments the open-request count and refuses the request if
// the limit is exceeded. The caller must decrement the count in either case.
func (e *Entry) countOpenRequest() *refusal.Error {
	if e.openRequests.Add(1) <= maxOpenRequests {
		return nil
	}
	return refusal.New(refusal.CodeOverloaded, "take request", "the entry holds %d open requests", maxOpenRequests)
}

func (e *Entry) authenticate(r *http.Request, info *requestInfo) *refusal.Error {
	const step = "authenticate"
	if info.view.Revision == 0 {
		return refusal.New(refusal.CodeConfigNotCurrent, step, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refusal.New(refusal.CodeUnauthorized, step, "a bearer key is required")
	}
	account, ok := info.view.Authenticate(key)
	if !ok {
		return refusal.New(refusal.CodeUnauthorized, step, "the key is unknown or revoked")
	}
	info.account = account
	return nil
}

// readBody reads the request body with limits on size and time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // unsupported by some writers
	raw, err := io.ReadAll(r.Body)
	_ = controller.SetReadDeadline(time.Time{}) // unsupported by some writers
	if err == nil {
		return raw, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.CodeBodyTooLarge, "read body", "the body is longer than %d bytes", tooLarge.Limit)
	}
	return nil, refusal.New(refusal.CodeInvalidRequest, "read body", "the body could not be read")
}

// model is an element of the model list.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, info requestInfo) *refusal.Error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range info.account.Deployments {
		if d := info.view.Deployment(name); d != nil {
			list.Data = append(list.Data, model{ID: d.Model, Object: "model", OwnedBy: "galenaarch"})
		}
	}
	writeJSON(w, list)
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, info requestInfo) *refusal.Error {
	name := r.PathValue("service")
	service := info.view.Service(name)
	if service == nil || !slices.Contains(info.account.Services, name) {
		return refusal.New(refusal.CodeNotFound, "route service call", "no service %q for this account", name)
	}
	body, refused := readBody(w, r)
	if refused != nil {
		return refused
	}
	rawPath := "/" + r.PathValue("...")
	path, err := url.PathUnescape(rawPath)
	if err != nil || !validPath(path) {
		return invalidRequest("path: expected no control characters and no \".\" or \"..\" parts")
	}
	key, refused := idempotencyKey(r)
	if refused != nil {
		return refused
	}
	if key == "" {
		// The request ID is part of every response. A client that retries the
		// call with the same request ID, or with that ID as the idempotency
		// key, gets the first outcome.
		key = info.requestID
	}
	w.Header().Set(headerIdempotencyKey, key)
	var deadline time.Time
	if wait, refused := readDeadline(r, 0); refused != nil {
		return refused
	} else if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	response, refused := e.dispatcher.Do(r.Context(), &services.Request{
		ClientAccount:  info.account.Name,
		Service:        name,
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           path,
		RawPath:        rawPath,
		Query:          r.URL.RawQuery,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		Call:           service.FindCall(r.Method, path),
		Deadline:       deadline,
	}, e.serviceServers(name))
	if refused != nil {
		return refused
	}
	if response.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.Header().Set("Content-Type", response.ContentType)
	setWriteDeadline(w)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // the client may have disconnected
	return nil
}

// validPath rejects dot segments and control characters in a decoded path.
// Whether a call may be retried is decided by its path, so the path must be
// unambiguous.
func validPath(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return false
		}
	}
	return !strings.ContainsFunc(path, unicode.IsControl)
}

func (e *Entry) backendRoutes() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/backend/v1/announce", e.serveAnnounce, http.MethodPost)
	return mux
}

// announceInterval is the announcement interval requested from servers.
const announceInterval = 500 * time.Millisecond

// Limits of an announcement.
const (
	maxAnnounceBytes = 64 << 10
	maxAdapters      = 256
	// maxSlots keeps sums over all servers within the range of int.
	maxSlots = 1 << 20
	// maxSequence bounds sequence numbers: after the highest one no announcement of the
	// incarnation would be newer.
	maxSequence = 1 << 53
	// minPrefillRate and maxPrefillRate bound a stated prefill throughput in tokens per
	// second, so that times derived from it are finite.
	minPrefillRate = 1e-3
	maxPrefillRate = 1e12
)

// validAnnouncement reports whether an announcement describes a server that can
// be called.
func validAnnouncement(a *backend.Announcement) bool {
	for _, name := range []string{a.Kind, a.Deployment, a.Service, a.WeightVersion, a.Role, a.FailureDomain} {
		if len(name) > maxIDBytes {
			return false
		}
	}
	target, err := url.Parse(a.URL)
	if err != nil || (target.Scheme != "http" && target.Scheme != "https") || target.RawQuery != "" || target.User != nil {
		return false
	}
	if address, err := netip.ParseAddrPort(target.Host); err != nil || address.Port() == 0 {
		return false
	}
	rate := a.PrefillTokensPerSecond
	if rate != 0 && (rate < minPrefillRate || rate > maxPrefillRate) {
		return false
	}
	return validID(a.Server) && a.Slots >= 0 && a.Slots <= maxSlots && a.Sequence <= maxSequence && len(a.Adapters) <= maxAdapters
}

func (e *Entry) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a backend.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err := dec.Decode(&a); err != nil || !validAnnouncement(&a) {
		http.Error(w, "expected an announcement with server, an http url with an IP number, and short names", http.StatusBadRequest)
		return
	}
	if !e.fleet.Announce(a, time.Now()) {
		http.Error(w, "a newer announcement is known", http.StatusConflict)
		return
	}
	e.publishServers(context.WithoutCancel(r.Context()))
	writeJSON(w, backend.AnnounceResponse{RenewAfterMS: announceInterval.Milliseconds(), Entries: e.announceURLs()})
}
