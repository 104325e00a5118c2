package services

import (
	"context"
	"time"

	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/fleet"
)

// hedgeDelayFraction is the fraction of a call's timeout after which the call is
// also sent to a second server.
const hedgeDelayFraction = 0.25

// attemptResult is the response or error of one attempt.
type attemptResult struct {
	server   *fleet.Server
	response *Response
	err      error
}

// fromService reports whether the result is a response of the service itself, with
// whatever status, and not an error or the response of a proxy.
func (a *attemptResult) fromService() bool { return a.err == nil && !isUnavailable(a.response.Status) }

// idempotentCall is the state of an idempotent call while it is retried and
// hedged across servers.
type idempotentCall struct {
	dispatcher *Dispatcher
	ctx        context.Context
	request    *Request
	servers    []*fleet.Server
	tried      map[*fleet.Server]bool
	results    chan *attemptResult
	inFlight   int
	// mayHaveRun is set once an attempt may have run, that is, it did not fail to
	// connect.
	mayHaveRun bool
}

// doIdempotent runs an idempotent call. If a server fails or is slow, the call is
// sent to another as far as the retry budget allows; the first response from the
// service is returned.
func (d *Dispatcher) doIdempotent(ctx context.Context, r *Request, servers []*fleet.Server) (*Response, *refusal.Error) {
	ctx, cancel := context.WithTimeout(ctx, r.totalTimeout())
	defer cancel() // cancels the slower attempts
	c := &idempotentCall{
		dispatcher: d, ctx: ctx, request: r, servers: servers,
		tried: make(map[*fleet.Server]bool), results: make(chan *attemptResult, maxAttempts),
	}
	if !c.startAttempt() {
		return nil, noServerError(r)
	}
	return c.wait()
}

// totalTimeout is the time limit for all attempts together.
func (r *Request) totalTimeout() time.Duration {
	timeout := maxAttempts * r.Call.Timeout.Std()
	if r.Deadline.IsZero() {
		return timeout
	}
	return min(timeout, time.Until(r.Deadline))
}

// startAttempt sends the call to a server that was not tried yet. It returns
// false if there is none or maxAttempts is reached.
func (c *idempotentCall) startAttempt() bool {
	if len(c.tried) >= maxAttempts {
		return false
	}
	server := leastLoaded(c.servers, c.tried)
	if server == nil {
		return false
	}
	c.tried[server] = true
	c.inFlight++
	go func() {
		response, err := c.dispatcher.send(c.ctx, c.request, server)
		c.results <- &attemptResult{server, response, err}
	}()
	return true
}

// retryOrHedge starts another attempt if there is an untried server and the
// retry budget allows it.
func (c *idempotentCall) retryOrHedge(kind string) {
	if len(c.tried) >= maxAttempts || leastLoaded(c.servers, c.tried) == nil || !c.dispatcher.budget.Spend() {
		return
	}
	c.dispatcher.onRetry(kind)
	c.startAttempt()
}

// wait returns the first response from the service. It retries when all attempts
// have failed, and hedges once if no response came within hedgeDelayFraction of the
// timeout.
func (c *idempotentCall) wait() (*Response, *refusal.Error) {
	hedgeTimer := time.NewTimer(time.Duration(hedgeDelayFraction * float64(c.request.Call.Timeout.Std())))
	defer hedgeTimer.Stop()
	var last *attemptResult
	for c.inFlight > 0 {
		select {
		case last = <-c.results:
			c.inFlight--
			if last.fromService() {
				return last.response, nil
			}
			c.mayHaveRun = c.mayHaveRun || !isDialError(last.err)
			if c.inFlight == 0 && c.waitBackoff() {
				c.retryOrHedge("service")
			}
		case <-hedgeTimer.C:
			c.retryOrHedge("hedge")
		case <-c.ctx.Done():
			return nil, refusal.New(refusal.CodeDeadlineExceeded, "call service", "no answer came in time")
		}
	}
	return c.failure(last)
}

// waitBackoff waits before a retry. It returns false if the context ends first.
func (c *idempotentCall) waitBackoff() bool {
	select {
	case <-time.After(backoff(len(c.tried) - 1)):
		return true
	case <-c.ctx.Done():
		return false
	}
}

// failure returns the result of a call for which no attempt succeeded, based on
// the last attempt.
func (c *idempotentCall) failure(last *attemptResult) (*Response, *refusal.Error) {
	if last.err == nil {
		return last.response, nil
	}
	if !c.mayHaveRun {
		return nil, noServerError(c.request)
	}
	return nil, refusal.New(refusal.CodeBackendServerFailed, "call service", "the service did not answer").WithPeer(last.server.Server)
}
