package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/upstream"
)

// Limits that the site document does not set.
const (
	// transferTimeShare is the share of a route's latency objective that transfers
	// may take.
	transferTimeShare = 0.4
	// maxBufferedResponse is the largest response that is buffered whole before it is
	// relayed, so that a truncated one is never mistaken for a complete one; longer
	// responses are streamed. It is about fifty times the longest response expected of
	// a service, and small enough for many endless responses at once.
	maxBufferedResponse = 256 << 10
)

// call is a client request in progress.
type call struct {
	gateway *Gateway
	routing *routingState
	request *Request
	route   *site.Route
	service *site.Service
	// account is nil on public routes.
	account *site.Account
	prompt  *Prompt
	// method, target and body are those of the client, set by readBody.
	method, target string
	body           []byte
	startedAt      time.Time
	// deadline is when the last response must be sent, responseMargin earlier than the client's own.
	deadline       time.Time
	responseMargin time.Duration
	// triedServers are the servers to which the request is not sent again, ranServers
	// those that may have run it.
	triedServers, ranServers map[string]bool
	// attemptsSent counts the attempts that reached a server; mayHaveRun is set when
	// one of them may have run the request.
	attemptsSent int
	mayHaveRun   bool
	heldRetries
	// forwarded is set if another instance has passed the request on, and ranBefore are then
	// the servers that may have run it before. rejected is why this instance has rejected it.
	forwarded *forwardedRequest
	ranBefore map[string]bool
	rejected  rejectReason
	// forwards counts how often the request was passed on, triedPeers are the instances that
	// did not serve it, and unreachable counts the servers that it did not reach.
	forwards    int
	triedPeers  map[string]bool
	unreachable int
	// confirmedAt is the time as of which this instance knows, since the last response, what the control instances
	// knew; zero if it has not asked. unconfirmed is set once they did not respond in time.
	confirmedAt time.Time
	// unstored is set once the record of the stream could not be stored; see errNotRecorded.
	unstored    bool
	unconfirmed bool
	// onlyPeers is set once the request may be sent to no further server.
	onlyPeers bool
	// reserved is the server that takes over the request from a silent one, and held is its pool
	// while a connection is held there for the request. leftSilent is
	// set once the request has left a server for its silence.
	reserved    *backend
	held        *upstream.Pool
	leftSilent  bool
	replacement replacementSearch
	// returnTo is the pool of the silent server that the request leaves for an unproven one, heldReturn that pool
	// while a connection is held there for the return: until the next event, which may come beside a search.
	returnTo   *upstream.Pool
	heldReturn atomic.Pointer[upstream.Pool]
	// refusedBy are the servers that have refused or failed the request. One that was left for its
	// silence is none of them: it may still respond.
	refusedBy map[string]bool
	// search is that for a server once the request has left a silent one.
	search dispatch.ServerSearch
	// responseWaits reports whether bytes of a response lie unread in the socket of the last attempt; nil
	// before the first.
	responseWaits atomic.Pointer[func() bool]
	// lastEventAt is when the client was sent the last event, by monotonic; 0 before the first.
	lastEventAt atomic.Int64
	// state is the scheduling state of the service, decision the last decision on
	// this request, and work its load on the chosen server.
	state    *serviceState
	decision dispatch.Decision
	work     dispatch.Work
	// waiter is set while the request is queued, awaitedServer names the server that
	// it waits for, and queueTime is how long it has been queued.
	waiter        *dispatch.Waiter
	awaitedServer string
	queueTime     time.Duration
	// bookingsRefused counts the servers that it was not sent to because more was booked
	// there than this instance knew of.
	bookingsRefused int
	// pausedUntil is when the first server accepts requests again if none does now.
	pausedUntil time.Time
	// rateLimited are the servers that the last decision left out because this instance
	// has no permit for them.
	rateLimited []*backend
	// withheld are the servers that the last decision left out because of their software.
	withheld []*backend
	// software is what the request's stream is bound to once its first event has been passed
	// on, or if its client resumes it; nil before.
	software atomic.Pointer[dispatch.Software]
	// explained is set for a request that is only described, see Gateway.explain: the routing state
	// for its decision, with copies of what is known of the servers.
	explained *routingState
	// usable are the servers that the decision on it could use, considered those that it has compared.
	usable     []*backend
	considered []consideredSet
	progress
	crashState
}

// noteSent implements Sent of upstream.Request.
func (c *call) noteSent(responseWaits func() bool) { c.responseWaits.Store(&responseWaits) }

// mayRelay reports whether a response has arrived that is not read yet, because this process stood
// still or got no processor time.
func (c *call) mayRelay() bool {
	waits := c.responseWaits.Load()
	return waits != nil && (*waits)()
}

// decisionRouting returns the routing state for a decision on the request.
func (c *call) decisionRouting() *routingState {
	if c.explained != nil {
		return c.explained
	}
	return c.gateway.routing.Load()
}

// rawPath returns the path as sent by the client.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(rawTarget(r), "?")
	return path
}

// rawTarget returns the path and query as sent by the client.
func rawTarget(r *http.Request) string {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		if _, rest, ok := strings.Cut(target, "://"); ok {
			if i := strings.IndexByte(rest, '/'); i >= 0 {
				return rest[i:]
			}
			return "/"
		}
	}
	return target
}

// headerLineOverhead is the number of bytes in a header line besides name and value:
// colon, space and CRLF.
const headerLineOverhead = 4

// headerSize returns the size of the request line and headers as sent by the client.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead + len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerLineOverhead
		}
	}
	return size
}

// job describes the request to the placement scorer. The caller holds the state's
// lock.
func (c *call) job() placement.Job {
	j := placement.Job{Retryable: c.retryable()}
	if c.prompt != nil {
		prefill := &c.state.prefill
		j.PrefillRate, j.Overhead, j.StepTokens = prefill.Rate(), prefill.Overhead(), prefill.StepTokens()
		j.PromptTokens = c.prompt.Tokens
		j.MemoryTokens = c.prompt.Tokens + c.prompt.MaxOutput
		j.Long = c.lengthClass() == longPrompt
	}
	return j
}

// Length classes of prompts.
const (
	shortPrompt = iota
	longPrompt
)

// lengthClassNames are the names of the classes in logs and metrics.
var lengthClassNames = [...]string{"short", "long"}

// lengthClass returns shortPrompt or longPrompt; the request must have a prompt.
func (c *call) lengthClass() int {
	if c.prompt.Tokens >= placement.LongPromptTokens {
		return longPrompt
	}
	return shortPrompt
}

// sharedParts returns the parts that other requests may have in common with this one:
// all but the last, which belongs to the request or its session alone.
func (c *call) sharedParts() []Part {
	parts := c.prompt.Parts
	return parts[:max(0, len(parts)-1)]
}

// saltedParts returns the cache keys of parts under a salt.
func saltedParts(salt string, parts []Part) []contexts.Part {
	salted := make([]contexts.Part, len(parts))
	for i, p := range parts {
		salted[i] = contexts.Part{Key: contexts.Key{Salt: salt, Part: p.ID}, Tokens: p.Tokens}
	}
	return salted
}

// planTransfers decides which parts a server imports from stores and saves there.
func (c *call) planTransfers(b *backend, salt string) contexts.Transfers {
	var t contexts.Transfers
	c.state.mu.Lock()
	pending, rate := b.tracker.PendingTransferTime(time.Now()), c.state.prefill.Rate()
	c.state.mu.Unlock()
	if shared := saltedParts(salt, c.sharedParts()); c.worthImporting(shared) {
		t = c.gateway.stores.Plan(shared, contexts.Target{Address: b.address, Zone: b.zone, PendingTransferTime: pending, MaxTransferWait: time.Duration(transferTimeShare * float64(c.targetLatency())), PrefillRate: rate, Emptied: c.gateway.routing.Load().evacuations.Empties})
	}
	for len(t.Fetch) < len(c.prompt.Parts) {
		t.Fetch, t.Save = append(t.Fetch, ""), append(t.Save, "")
	}
	return t
}

// targetLatency is the time in which the response should begin: the objective, or the
// longest wait that the client accepts if the objective will be missed.
func (c *call) targetLatency() time.Duration {
	if c.deferred() {
		since, _ := c.awaitedEvent()
		return c.leavesAt(time.Now()).Sub(since)
	}
	return c.route.TargetLatency
}

// contextSalt returns the salt of the request's cached contexts for a weight version. The
// newest document decides who shares contexts, also for a request that arrived before it:
// what this instance sends from then on must not meet contexts made under an older one.
func (c *call) contextSalt(version uint64) string {
	table := c.gateway.routing.Load().table
	scope := contexts.Scope{Group: table.IsolatedGroup()}
	if c.account != nil {
		isolated, listed := table.Isolated(c.account.Name)
		if isolated || (!listed && c.account.Isolated) {
			scope.Isolated = c.account.Name
		}
	}
	return contexts.Salt(version, scope)
}

// priority returns the request's priority within its service; 0 is the most urgent.
func (c *call) priority() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

// enginePriority is the priority sent to the engine. Requests without one have
// priority 5 there, so the values are spread around it.
func (c *call) enginePriority() int {
	if c.prompt == nil || !c.gateway.policy.Enabled(dispatch.EnginePriorities) {
		return -1
	}
	p := c.priority()
	if c.deferred() {
		p += deferredPriorityOffset
	}
	return max(0, min(9, engineBasePriority+p))
}

// deferred reports whether the request yields to others at its server because it
// misses its objective anyway.
func (c *call) deferred() bool { return c.decision.Verdict != admission.Admit }

// engineBasePriority is the engine's priority for the most urgent requests.
const engineBasePriority = 2

// deferredPriorityOffset lowers the priority of a prompt that misses its objective
// anyway, below all prompts that can still meet theirs.
const deferredPriorityOffset = 4
