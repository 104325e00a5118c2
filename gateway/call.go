package gateway

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Figures of engines that the document does not give.
const (
	// allowedShare is the part of a route's objective that transfers may take.
	allowedShare = 0.4
	// maxUnary bounds an answer that is held whole before it is passed on, so
	// that a broken one can be told from a whole one; longer ones stream. It is some
	// fifty times the users' longest; many may come at once without an end.
	maxUnary = 256 << 10
)

// call is one request of a caller on its way.
type call struct {
	gateway *Gateway
	world   *world
	request *Request
	route   *site.Route
	service *site.Service
	// account is nil on public routes.
	account  *site.Account
	prompt   *Prompt
	target   string
	body     []byte
	began    time.Time
	deadline time.Time
	// tried names the servers that were sent the request.
	tried map[string]bool
	// sends counts sendings that reached a server, ran says that one of them may
	// have run the request.
	sends int
	ran   bool
	// granted says that the budget has already allowed the next repeat.
	granted bool
	// room is where decisions on the service's requests are made; decision is the
	// last one on this request, work what it takes of the server chosen.
	room     *room
	decision dispatch.Decision
	work     dispatch.Work
	// waiter is set while the request waits for a server, waitsFor names that;
	// held is how long it has waited so.
	waiter   *dispatch.Waiter
	waitsFor string
	held     time.Duration
	// pausedUntil is when the first server wants requests again if none does now.
	pausedUntil time.Time
}

// rawPath is the path as the caller sent it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(rawTarget(r), "?")
	return path
}

// rawTarget is path and query as the caller sent them.
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

// lineBytes is what a head line holds besides name and value: a colon, a space
// and the end of the line.
const lineBytes = 4

// headBytes is the size of a request's head as the caller sent it.
func headBytes(r *http.Request) int {
	sum := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineBytes + len("Host") + len(r.Host) + lineBytes
	for name, values := range r.Header {
		for _, v := range values {
			sum += len(name) + len(v) + lineBytes
		}
	}
	return sum
}

// read takes the whole body, so that it can be sent again. It answers the
// caller itself and returns false if that fails.
func (c *call) read(rw http.ResponseWriter, r *http.Request) bool {
	c.target = rawTarget(r)
	limit := int64(c.world.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body := http.MaxBytesReader(rw, r.Body, limit)
	var err error
	if r.ContentLength > 0 && r.ContentLength <= limit {
		c.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, c.body)
	} else {
		c.body, err = io.ReadAll(body)
	}
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.gateway.refuse(rw, c, http.StatusRequestEntityTooLarge, "body too large", 0, nil)
		return false
	}
	c.gateway.logger.Info("request not read", slog.String("request", c.request.ID), slog.Any("error", err))
	c.gateway.metrics.outcome(c, "not read")
	panic(http.ErrAbortHandler)
}

// defaultBodyBytes bounds a body where the document does not.
const defaultBodyBytes = 4 << 20

// job is the request as a server sees it. The caller holds the room's lock.
func (c *call) job() placement.Job {
	j := placement.Job{Repeatable: c.repeatable()}
	if c.prompt != nil {
		r := &c.room.reader
		j.ReadRate, j.Overhead, j.StepTokens = r.Pace(), r.Overhead(), r.StepTokens()
		j.PromptTokens = c.prompt.Tokens
		j.MemoryTokens = c.prompt.Tokens + c.prompt.MaxOutput
		j.Long = c.length() == longPrompt
	}
	return j
}

// Lengths of prompts.
const (
	shortPrompt = iota
	longPrompt
)

// lengthNames are the lengths in logs and metrics.
var lengthNames = [...]string{"short", "long"}

func (c *call) length() int {
	if c.prompt.Tokens >= placement.LongPrompt {
		return longPrompt
	}
	return shortPrompt
}

// shared returns the parts that other requests may have in common with this
// one: all but the last, which is the request's or its session's own.
func (c *call) shared() []Part {
	parts := c.prompt.Parts
	return parts[:max(0, len(parts)-1)]
}

// under names parts under a salt.
func under(salt string, parts []Part) []contexts.Part {
	named := make([]contexts.Part, len(parts))
	for i, p := range parts {
		named[i] = contexts.Part{Key: contexts.Key{Salt: salt, Part: p.ID}, Tokens: p.Tokens}
	}
	return named
}

// locate fills in what each server is believed to hold of the prompt. A shared
// part has one home, so that the memory of all servers holds as many different
// parts as it can; the others bring it from a store that has it. The caller holds
// the room's lock.
func (c *call) locate(candidates []*backend, servers []placement.Server, now time.Time) {
	g := c.gateway
	if g.policy.On(dispatch.LengthGroups) {
		placement.Split(servers, g.mix.ShortShare(), func(i int) string { return candidates[i].server })
	}
	shared := c.shared()
	if len(shared) == 0 {
		return
	}
	brought := make(map[string]bringing)
	guess := false
	for i, b := range candidates {
		salt := c.salt(b.weights[c.prompt.Model])
		parts := under(salt, shared)
		held, known := brought[salt]
		if !known {
			held = c.bringable(parts)
			brought[salt] = held
		}
		cached, sure := g.stores.Cached(b.address, parts)
		guess = guess || !sure
		servers[i].CachedTokens = cached
		if held.tokens > cached {
			servers[i].ImportTokens, servers[i].ImportTime = held.tokens-cached, held.took+b.belief.Bringing(now)
		}
	}
	c.home(candidates, servers, shared, guess)
}

// bringing is what could be brought of a prompt, and in what time.
type bringing struct {
	tokens int
	took   time.Duration
}

func (c *call) bringable(parts []contexts.Part) (b bringing) {
	if c.brings(parts) {
		b.tokens, b.took = c.gateway.stores.Held(parts)
	}
	return b
}

// brings reports whether parts are kept at stores and brought from them.
func (c *call) brings(parts []contexts.Part) bool {
	return !c.gateway.policy.On(dispatch.ShortLocal) || contexts.WorthBringing(parts)
}

// home marks the home of the prompt's shared parts among the servers for its
// length. Where it is not known what servers hold, the home is taken to have them.
func (c *call) home(candidates []*backend, servers []placement.Server, shared []Part, guess bool) {
	policy := c.gateway.policy
	if !policy.On(dispatch.Homes) {
		return
	}
	key, long := shared[len(shared)-1].ID, c.length() == longPrompt
	home, best := -1, uint64(0)
	for i, b := range candidates {
		if servers[i].Group != placement.GroupAny && (servers[i].Group == placement.GroupLong) != long {
			continue
		}
		if rank := placement.Rank(key, b.server); rank >= best {
			home, best = i, rank
		}
	}
	if home < 0 {
		return
	}
	if guess {
		tokens := 0
		for _, p := range shared {
			tokens += p.Tokens
		}
		servers[home].CachedTokens, servers[home].ImportTokens = tokens, 0
	}
	servers[home].Home = true
	if !policy.On(dispatch.AwayCost) {
		for i := range servers {
			servers[i].Home = true
		}
	}
}

// transfers decides what a server reads from stores and keeps there.
func (c *call) transfers(b *backend, salt string) contexts.Transfers {
	var t contexts.Transfers
	c.room.mu.Lock()
	bringing, pace := b.belief.Bringing(time.Now()), c.room.reader.Pace()
	c.room.mu.Unlock()
	if shared := under(salt, c.shared()); c.brings(shared) {
		t = c.gateway.stores.Plan(shared, contexts.Target{Address: b.address, Zone: b.zone, Bringing: bringing, Allowed: time.Duration(allowedShare * float64(c.aim())), ReadRate: pace})
	}
	for len(t.Fetch) < len(c.prompt.Parts) {
		t.Fetch, t.Save = append(t.Fetch, ""), append(t.Save, "")
	}
	return t
}

// aim is the time in which the answer is to begin: the objective, or where that
// is missed anyway, what the caller bears.
func (c *call) aim() time.Duration {
	if c.behind() {
		return c.bears()
	}
	return c.route.Objective
}

// salt is the salt of the request's contexts on weights of a version.
func (c *call) salt(version uint64) string {
	isolated := ""
	if c.account != nil && c.account.Isolated {
		isolated = c.account.Name
	}
	return contexts.Salt(version, isolated)
}

// rank is how urgent the request is among those of its service; 0 is first.
func (c *call) rank() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

// priority is the rank at an engine. Requests without one have rank 5 there, so
// ranks are spread around it.
func (c *call) priority() int {
	if c.prompt == nil || !c.gateway.policy.On(dispatch.Ranks) {
		return -1
	}
	p := c.rank()
	if c.behind() {
		p += laterRanks
	}
	return max(0, min(9, firstRank+p))
}

// behind reports whether others go before the request at its server.
func (c *call) behind() bool { return c.decision.Verdict != admission.InTurn }

// firstRank is the engine's rank of the most urgent requests.
const firstRank = 2

// laterRanks is how much less urgent a prompt is that is late anyway: behind all
// that may still be on time.
const laterRanks = 4
