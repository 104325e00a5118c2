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
	choice
	// pace is the speed at which the service's engines read; tokens a
	// millisecond.
	pace float64
}

// choice is what is expected at the chosen server.
type choice struct {
	// home says that it is the home of the prompt's shared part, ahead is what it
	// has to read before, unread what it must read of the prompt; tokens.
	home          bool
	ahead, unread int
	// verdict is what was decided of the request by outlook.
	verdict admission.Verdict
	outlook admission.Outlook
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

// job is the request as a decision sees it.
func (c *call) job() placement.Job {
	j := placement.Job{Repeatable: c.repeatable(), ReadRate: c.pace}
	if c.prompt != nil {
		j.PromptTokens = c.prompt.Tokens
		j.MemoryTokens = c.prompt.Tokens + c.prompt.MaxOutput
		j.Long = c.prompt.Tokens >= placement.LongPrompt
	}
	return j
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
// parts as it can; the others bring it from a store that has it.
func (c *call) locate(candidates []*backend, servers []placement.Server) {
	placement.Split(servers, c.gateway.mix.ShortShare(), func(i int) string { return candidates[i].id })
	shared := c.shared()
	if len(shared) == 0 {
		return
	}
	tokens := 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	key := shared[len(shared)-1].ID
	long := c.prompt.Tokens >= placement.LongPrompt
	home, best := -1, uint64(0)
	type brings struct {
		tokens int
		took   time.Duration
	}
	brought := make(map[string]brings)
	guess := false
	for i, b := range candidates {
		salt := c.salt(b.weightVersion(c.prompt.Model))
		parts := under(salt, shared)
		held, known := brought[salt]
		if !known {
			if contexts.WorthBringing(parts) {
				held.tokens, held.took = c.gateway.stores.Held(parts)
			}
			brought[salt] = held
		}
		cached, sure := c.gateway.stores.Cached(b.address, parts)
		guess = guess || !sure
		servers[i].CachedTokens = cached
		if held.tokens > cached {
			servers[i].ImportTokens, servers[i].ImportTime = held.tokens-cached, held.took+b.bringTime()
		}
		if servers[i].Group != placement.GroupAny && (servers[i].Group == placement.GroupLong) != long {
			continue
		}
		if rank := placement.Rank(key, b.id); rank >= best {
			home, best = i, rank
		}
	}
	if home < 0 {
		return
	}
	servers[home].Home = true
	if guess {
		servers[home].CachedTokens, servers[home].ImportTokens = tokens, 0
	}
}

// transfers decides what a server reads from stores and keeps there.
func (c *call) transfers(b *backend, salt string) contexts.Transfers {
	var t contexts.Transfers
	if shared := under(salt, c.shared()); contexts.WorthBringing(shared) {
		t = c.gateway.stores.Plan(shared, contexts.Target{Address: b.address, Zone: b.zone, Bringing: b.bringTime(), Allowed: time.Duration(allowedShare * float64(c.aim())), ReadRate: c.pace})
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

// priority is the rank at an engine. Requests without one have rank 5 there, so
// ranks are spread around it.
func (c *call) priority() int {
	if c.prompt == nil {
		return -1
	}
	p := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		p = c.account.Priority
	}
	if c.behind() {
		p += laterRanks
	}
	return max(0, min(9, firstRank+p))
}

// behind reports whether others go before the request at its server.
func (c *call) behind() bool { return c.verdict != admission.InTurn }

// firstRank is the engine's rank of the most urgent requests.
const firstRank = 2

// laterRanks is how much less urgent a prompt is that is late anyway: behind all
// that may still be on time.
const laterRanks = 4
