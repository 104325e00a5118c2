package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/galenaarch/galenaarch/intake"
)

// defaultMaxBodyBytes limits a request body if the site document sets no limit.
const defaultMaxBodyBytes = 4 << 20

// maxBodyBytes returns the limit of a request body.
func (c *call) maxBodyBytes() int64 {
	if c.forwarded != nil && c.forwarded.decision != nil {
		return c.forwarded.decision.MaxBodyBytes
	}
	if limit := int64(c.routing.table.Limits.MaxBodyBytes); limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody buffers the whole request body so that it can be resent. It has until the deadline of
// the request. On failure it responds to the client and returns false.
func (c *call) readBody(rw http.ResponseWriter, r *http.Request) bool {
	c.method, c.target, c.stage = r.Method, rawTarget(r), stageBody
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	limit := c.maxBodyBytes()
	if r.ContentLength > limit {
		rw.Header().Set("Connection", "close")
		return c.rejectBody(rw, &http.MaxBytesError{Limit: limit}, false)
	}
	if !time.Now().Before(c.deadline) {
		c.gateway.reject(rw, c, http.StatusServiceUnavailable, string(reasonDeadline), c.retryAfter(), nil)
		return false
	}
	connection := http.NewResponseController(rw)
	_ = connection.SetReadDeadline(c.deadline) // a connection without deadlines is closed when the process exits
	if intake.FromContext(r.Context()).GaveWay() {
		return c.rejectBody(rw, intake.ErrNoRoom, false) // the deadline that ends the reading has been replaced
	}
	endWatch := context.AfterFunc(c.gateway.stopping, func() { _ = connection.SetReadDeadline(time.Now()) })
	var err error
	c.body, err = intake.Read(r, http.MaxBytesReader(rw, r.Body, limit), r.ContentLength)
	// The read deadline also ends r.Context, even if the body has just been read whole.
	stopping := !endWatch()
	if err == nil && !stopping && time.Now().Before(c.deadline) {
		_ = connection.SetReadDeadline(time.Time{})
		return true
	}
	return c.rejectBody(rw, err, stopping)
}

// rejectBody responds to a request whose body has not been read in time.
func (c *call) rejectBody(rw http.ResponseWriter, err error, stopping bool) bool {
	var tooLarge *http.MaxBytesError
	g, header := c.gateway, rw.Header()
	switch {
	case errors.As(err, &tooLarge):
		g.reject(rw, c, http.StatusRequestEntityTooLarge, "body too large", 0, nil)
	case stopping:
		header.Set("Connection", "close")
		g.reject(rw, c, http.StatusServiceUnavailable, string(reasonStopping), drainRetryAfter, err)
	case errors.Is(err, intake.ErrNoRoom):
		header.Set("Connection", "close")
		g.reject(rw, c, http.StatusServiceUnavailable, string(reasonNoMemory), c.retryAfter(), err)
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		header.Set("Connection", "close") // the read deadline has passed
		g.reject(rw, c, http.StatusServiceUnavailable, string(reasonDeadline), c.retryAfter(), err)
	default:
		g.logger.Info("request body not read", slog.String("request", c.request.ID), slog.Any("error", err))
		g.metrics.recordOutcome(c, "not read")
		panic(http.ErrAbortHandler)
	}
	return false
}
