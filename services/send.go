package services

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/galenaarch/galenaarch/fleet"
)

// Request headers that the dispatcher adds to each call.
const (
	// HeaderCallKey carries the idempotency key of the call. It is not named
	// Idempotency-Key because http.Transport resends requests with that header.
	HeaderCallKey = "X-Galena-Call"
	// HeaderDeadlineMS carries the time left until the client's deadline, in
	// milliseconds.
	HeaderDeadlineMS = "X-Galena-Deadline-Ms"
)

// errResponseTooLarge is returned for a response body above maxResponseBytes. The
// call has run.
var errResponseTooLarge = errors.New("response body is too large")

// isDialError reports whether err proves that the request was not sent. Only a
// failure to connect does.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// isUnavailable reports whether a status code means that a proxy in front of the
// service responded, or that the service cannot handle the call.
func isUnavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// send makes one attempt at one server and reports the result to the server's
// health state.
func (d *Dispatcher) send(ctx context.Context, r *Request, server *fleet.Server) (*Response, error) {
	_, end := server.StartRun(0, false)
	defer end()
	response, err := d.roundTrip(ctx, r, server)
	switch {
	case ctx.Err() != nil:
		// Cancelled by the client's deadline or by a faster attempt: this says
		// nothing about the server's health.
	case err != nil && !errors.Is(err, errResponseTooLarge):
		server.Health.Failed(time.Now(), isDialError(err))
	case response != nil && isUnavailable(response.Status):
		server.Health.Failed(time.Now(), false)
	default:
		server.Health.Succeeded()
	}
	return response, err
}

// roundTrip sends the request and reads the whole response. For a response that
// is too large it returns status and content type together with an error.
func (d *Dispatcher) roundTrip(ctx context.Context, r *Request, server *fleet.Server) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Call.Timeout.Std())
	defer cancel()
	req, err := newRequest(ctx, r, server)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "send call to %s", server.Server)
	}
	defer resp.Body.Close()
	response := &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read response from %s", server.Server)
	}
	if len(body) > maxResponseBytes {
		return response, eris.Wrapf(errResponseTooLarge, "read response from %s", server.Server)
	}
	response.Body = body
	return response, nil
}

func newRequest(ctx context.Context, r *Request, server *fleet.Server) (*http.Request, error) {
	target, err := url.Parse(server.URL)
	if err != nil {
		return nil, eris.Wrapf(err, "parse URL of %s", server.Server)
	}
	if r.RawPath != "" {
		target.RawPath = target.EscapedPath() + r.RawPath
	}
	target.Path += r.Path
	target.RawQuery = r.Query
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrapf(err, "create request to %s", server.Server)
	}
	// Without GetBody the transport cannot resend a request that has a body.
	req.GetBody = nil
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set(HeaderCallKey, r.IdempotencyKey)
	if !r.Deadline.IsZero() {
		remainingMS := max(1, time.Until(r.Deadline).Milliseconds())
		req.Header.Set(HeaderDeadlineMS, strconv.FormatInt(remainingMS, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}
