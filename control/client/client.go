// Package client is a client of the control service. It sends requests to the
// replica that responded last and fails over to another one if that replica is
// unavailable.
package client

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// Retry and timeout settings.
const (
	// retryDelay is the wait after each replica was tried without success.
	retryDelay = 50 * time.Millisecond
	// attemptTimeout bounds one attempt, so that an unresponsive replica does
	// not block a request that another one could serve.
	attemptTimeout = 2 * time.Second
	// publishTimeout bounds one attempt to read or write a published document:
	// a publisher waits about a second before it tries another instance.
	publishTimeout = 700 * time.Millisecond
)

// maxReplicas bounds the list of known replicas, including those learned from
// leader redirects.
const maxReplicas = 32

// replica is one control replica.
type replica struct {
	url     string
	control controlv1.Control
}

// Client implements controlv1.Control on top of several replicas. Every request
// of the protocol is idempotent, so a failed request is retried until the
// context is done.
type Client struct {
	http    *http.Client
	current atomic.Pointer[replica]

	// mu guards replicas.
	mu       sync.Mutex
	replicas []*replica
}

// New returns a client for the replicas at the given base URLs.
func New(urls []string, httpClient *http.Client) *Client {
	c := &Client{http: httpClient}
	for _, u := range urls {
		c.replicas = append(c.replicas, &replica{url: u, control: controlv1.NewControlProtobufClient(u, httpClient)})
	}
	if len(urls) > 0 {
		c.current.Store(c.replicas[0])
	}
	return c
}

// Interface guard.
var _ controlv1.Control = (*Client)(nil)

// ErrNoReplicas is returned by a client that was configured without replicas.
var ErrNoReplicas = errors.New("no control replica configured")

// failOver switches from a replica that failed to the leader that its error
// names, or else to the next replica in the list.
func (c *Client) failOver(from *replica, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Load() != from {
		return // another request has already failed over
	}
	if url := leaderFromError(err); url != "" && url != from.url {
		c.current.Store(c.replicaAt(url))
		return
	}
	for i, r := range c.replicas {
		if r == from {
			c.current.Store(c.replicas[(i+1)%len(c.replicas)])
			return
		}
	}
	c.current.Store(c.replicas[0])
}

// replicaAt returns the replica at a base URL, and adds it if it is unknown: it
// may have joined the group later. c.mu must be held.
func (c *Client) replicaAt(url string) *replica {
	for _, r := range c.replicas {
		if r.url == url {
			return r
		}
	}
	r := &replica{url: url, control: controlv1.NewControlProtobufClient(url, c.http)}
	if len(c.replicas) < maxReplicas {
		c.replicas = append(c.replicas, r)
	}
	return r
}

func (c *Client) replicaCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.replicas)
}

// leaderFromError returns the leader's base URL that an error names, or an empty string.
func leaderFromError(err error) string {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return ""
	}
	return twirpErr.Meta("leader")
}

// call sends a request to the current replica. After a retryable error it fails over,
// and retries until ctx ends; timeout bounds one attempt.
func call[Q, R any](ctx context.Context, c *Client, timeout time.Duration, request Q, method func(controlv1.Control, context.Context, Q) (R, error)) (R, error) {
	var zero R
	if c.current.Load() == nil {
		return zero, ErrNoReplicas
	}
	for attempts := 1; ; attempts++ {
		r := c.current.Load()
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		response, err := method(r.control, attemptCtx, request)
		cancel()
		if err == nil {
			return response, nil
		}
		if !retryable(err) {
			return zero, err
		}
		c.failOver(r, err)
		if ctx.Err() == nil && attempts%c.replicaCount() != 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return zero, eris.Wrapf(err, "control replica %s", r.url)
		case <-time.After(retryDelay):
		}
	}
}

// retryable reports whether a request may succeed at another replica, or later
// at the same one.
func retryable(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return true
	}
	switch twirpErr.Code() {
	case twirp.InvalidArgument, twirp.Malformed, twirp.NotFound, twirp.PermissionDenied, twirp.Unauthenticated, twirp.BadRoute:
		return false
	}
	return true
}

// ApplyConfig implements controlv1.Control.
func (c *Client) ApplyConfig(ctx context.Context, r *controlv1.ApplyConfigRequest) (*controlv1.ApplyConfigResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.ApplyConfig)
}

// GetConfig implements controlv1.Control.
func (c *Client) GetConfig(ctx context.Context, r *controlv1.GetConfigRequest) (*controlv1.GetConfigResponse, error) {
	return call(ctx, c, attemptTimeout+time.Duration(r.WaitMs)*time.Millisecond, r, controlv1.Control.GetConfig)
}

// ReportApplied records the revision that an instance has applied and renews the
// instance's routing lease. It implements controlv1.Control.
func (c *Client) ReportApplied(ctx context.Context, r *controlv1.ReportAppliedRequest) (*controlv1.ReportAppliedResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.ReportApplied)
}

// GetHistory implements controlv1.Control.
func (c *Client) GetHistory(ctx context.Context, r *controlv1.GetHistoryRequest) (*controlv1.GetHistoryResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.GetHistory)
}

// GetStatus implements controlv1.Control.
func (c *Client) GetStatus(ctx context.Context, r *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.GetStatus)
}

// AcquireLease implements controlv1.Control.
func (c *Client) AcquireLease(ctx context.Context, r *controlv1.AcquireLeaseRequest) (*controlv1.AcquireLeaseResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.AcquireLease)
}

// ReleaseLease implements controlv1.Control.
func (c *Client) ReleaseLease(ctx context.Context, r *controlv1.ReleaseLeaseRequest) (*controlv1.ReleaseLeaseResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.ReleaseLease)
}

// UpdateRouting changes the routes of a deployment under its steward's lease. It
// implements controlv1.Control.
func (c *Client) UpdateRouting(ctx context.Context, r *controlv1.UpdateRoutingRequest) (*controlv1.UpdateRoutingResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.UpdateRouting)
}

// RequestDrain adds or ends a drain request. It implements controlv1.Control.
func (c *Client) RequestDrain(ctx context.Context, r *controlv1.RequestDrainRequest) (*controlv1.RequestDrainResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.RequestDrain)
}

// BeginCall records a non-idempotent call before it is dispatched. It implements
// controlv1.Control.
func (c *Client) BeginCall(ctx context.Context, r *controlv1.BeginCallRequest) (*controlv1.BeginCallResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.BeginCall)
}

// Publish offers a version of a named document; the highest version wins. It implements
// controlv1.Control.
func (c *Client) Publish(ctx context.Context, r *controlv1.PublishRequest) (*controlv1.PublishResponse, error) {
	return call(ctx, c, publishTimeout, r, controlv1.Control.Publish)
}

// GetPublished implements controlv1.Control.
func (c *Client) GetPublished(ctx context.Context, r *controlv1.GetPublishedRequest) (*controlv1.GetPublishedResponse, error) {
	return call(ctx, c, publishTimeout, r, controlv1.Control.GetPublished)
}

// FinishCall records the outcome of a dispatched call. It implements controlv1.Control.
func (c *Client) FinishCall(ctx context.Context, r *controlv1.FinishCallRequest) (*controlv1.FinishCallResponse, error) {
	return call(ctx, c, attemptTimeout, r, controlv1.Control.FinishCall)
}
