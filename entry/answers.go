package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/answers"
	"github.com/galenaarch/galenaarch/api/answersv1"
	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Limits of stored answers.
const (
	answerTTL             = 10 * time.Minute
	maxStoredAnswerBytes  = 256 << 10
	maxAccountAnswerBytes = 8 << 20
	maxTotalAnswerBytes   = 64 << 20
	sweepInterval         = 10 * time.Second
	// peerAnswerTimeout bounds the lookup at the other entries.
	peerAnswerTimeout = 500 * time.Millisecond
)

func newAnswerStore() *answers.Store {
	return answers.New(answers.Limits{
		TTL:             answerTTL,
		MaxAnswerBytes:  maxStoredAnswerBytes,
		MaxAccountBytes: maxAccountAnswerBytes,
		MaxTotalBytes:   maxTotalAnswerBytes,
	})
}

// sweepAnswers removes expired answers periodically until ctx is done.
func (e *Entry) sweepAnswers(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.answers.Sweep(now)
		}
	}
}

// claim ties a running request to its record in the answer store.
type claim struct {
	entry  *Entry
	key    answers.Key
	digest answers.Digest
	hasKey bool
	// outcomeStored is true once the request's outcome is recorded.
	outcomeStored bool
}

// newClaim identifies a request by its idempotency key or, without one, by its
// request ID.
func (e *Entry) newClaim(p *prompt, idempotencyKey string) *claim {
	c := &claim{entry: e, key: answers.Key{ClientAccount: p.request.account.Name, RequestID: p.request.requestID}, digest: p.digest}
	if idempotencyKey != "" {
		c.key.RequestID, c.hasKey = idempotencyKey, true
	}
	return c
}

// acquire records the request as running. If the request already ran or is
// running under the same key, it returns the stored record or an error.
func (c *claim) acquire(ctx context.Context) (*answers.Record, *refusal.Error) {
	existing, started := c.entry.answers.Begin(c.key, c.digest, time.Now())
	for !started && c.mayRerun(existing) {
		c.entry.answers.Remove(c.key)
		existing, started = c.entry.answers.Begin(c.key, c.digest, time.Now())
	}
	if !started {
		return c.fromRecord(existing)
	}
	if !c.hasKey {
		return nil, nil
	}
	record, _ := c.entry.fetchFromPeers(ctx, c.key)
	if record == nil || c.mayRerun(record) {
		return nil, nil
	}
	c.entry.answers.Remove(c.key)
	return c.fromRecord(record)
}

// mayRerun reports whether a request may run despite an existing record.
// Generation has no side effects, so a refused request may run again. A request
// ID, unlike an idempotency key, may be reused once its request has ended.
func (c *claim) mayRerun(existing *answers.Record) bool {
	if existing.State == answers.StateRunning {
		return false
	}
	return !c.hasKey || existing.State == answers.StateRefused
}

// fromRecord returns an existing record, or an error if that request is still
// running, had another content, or its answer was not stored.
func (c *claim) fromRecord(existing *answers.Record) (*answers.Record, *refusal.Error) {
	const step = "find answer"
	switch {
	case existing.State == answers.StateRunning:
		return nil, refusal.New(refusal.CodeInProgress, step, "a request with this ID is under way")
	case existing.Digest != c.digest:
		return nil, refusal.New(refusal.CodeIdempotencyKeyReused, step, "the idempotency key was used with another request")
	case existing.State == answers.StateNotStored:
		return nil, refusal.New(refusal.CodeResponseNotStored, step, "the request ran and its answer was not kept")
	}
	return existing, nil
}

// release removes the record of a request whose handler ended without an
// outcome.
func (c *claim) release() {
	if !c.outcomeStored {
		c.entry.answers.Remove(c.key)
	}
}

// storeOutcome records the outcome of the request.
func (c *claim) storeOutcome(out *responseWriter, refused *refusal.Error) {
	c.outcomeStored = true
	now := time.Now()
	switch {
	case refused != nil && refused.Execution == refusal.NotExecuted && !c.hasKey:
		// The client has received the error. Recording it would let a burst of
		// such requests evict stored answers.
		c.entry.answers.Remove(c.key)
	case refused != nil:
		c.entry.answers.Refuse(c.key, refused.Code, refused.Execution, now)
	case out.streamError != nil:
		c.entry.answers.Refuse(c.key, out.streamError.Code, out.streamError.Execution, now)
	case !out.transcript.TextOnly():
		// Only complete answers are stored, and only text is collected.
		c.entry.answers.Finish(c.key, nil, now)
	default:
		c.entry.answers.Finish(c.key, out.answer, now)
	}
}

// replay sends a stored answer, as a stream if the request asks for one.
func (rw *responseWriter) replay(record *answers.Record) *refusal.Error {
	rw.w.Header().Set(headerReplayed, "true")
	if !rw.p.stream {
		writeRawJSON(rw.w, record.Answer)
		return nil
	}
	var answer backend.Chunk
	if err := json.Unmarshal(record.Answer, &answer); err != nil || len(answer.Choices) == 0 {
		return refusal.New(refusal.CodeResponseNotStored, "replay answer", "the request ran and its answer cannot be read")
	}
	usage := answer.Usage
	answer.Usage = nil
	if m := answer.Choices[0].Message; m != nil {
		answer.Object = "chat.completion.chunk"
		answer.Choices[0].Message, answer.Choices[0].Delta = nil, m
	}
	rw.writeStreamHeader()
	if rw.sendChunk(answer) != nil {
		return nil // the client has disconnected
	}
	if rw.p.includeUsage {
		answer.Choices, answer.Usage = []backend.Choice{}, usage
		_ = rw.sendChunk(answer) // the client may have disconnected
	}
	_, _ = rw.w.Write(doneEvent) // the client may have disconnected
	_ = rw.flush()
	return nil
}

// setWriteDeadline bounds the time a client may take to read a non-streamed
// response. The HTTP server resets the deadline after each request.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(clientStallTimeout)) // unsupported by some writers
}

func writeRawJSON(w http.ResponseWriter, raw []byte) {
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // the client may have disconnected
}

// requestStatus is the response body for a request that is still running.
type requestStatus struct {
	ID     string        `json:"id"`
	Status answers.State `json:"status"`
	Entry  string        `json:"entry"`
}

// serveRequest returns the stored answer or the state of a request to the
// account that sent it.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, info requestInfo) *refusal.Error {
	const step = "find answer"
	name := r.PathValue("id")
	if !validID(name) {
		return invalidRequest("request ID: expected at most 128 printable characters")
	}
	key := answers.Key{ClientAccount: info.account.Name, RequestID: name}
	record, holder := e.answers.Lookup(key, time.Now()), e.settings.Instance
	if record.State == answers.StateAbsent {
		if found, by := e.fetchFromPeers(r.Context(), key); found != nil {
			record, holder = found, by
		}
	}
	switch record.State {
	case answers.StateComplete:
		writeRawJSON(w, record.Answer)
	case answers.StateRunning:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusAccepted)
		_ = json.NewEncoder(w).Encode(requestStatus{ID: name, Status: record.State, Entry: holder}) // the client may have disconnected
	case answers.StateNotStored:
		return refusal.New(refusal.CodeResponseNotStored, step, "the request ran and its answer was not kept")
	case answers.StateRefused:
		return refusal.New(record.Code, step, "the request was refused").WithExecution(record.Execution)
	default:
		return refusal.New(refusal.CodeNotFound, step, "no entry that answers holds this request")
	}
	return nil
}

// peerURLs returns the peer URLs of the other entries: those of the current
// members or, if none is known, the configured seeds.
func (e *Entry) peerURLs() []string {
	var urls []string
	for _, m := range e.node.OtherMembers() {
		urls = append(urls, m.PeerURL)
	}
	if len(urls) == 0 {
		return settings.SplitList(e.settings.Peers)
	}
	return urls
}

// peerRecord is a record held by another entry.
type peerRecord struct {
	record *answers.Record
	entry  string
}

// fetchFromPeers queries all other entries in parallel and returns the first
// record found, or nil. An entry that does not respond in time is treated as
// holding no record: if it has crashed, its runs ended with it.
func (e *Entry) fetchFromPeers(ctx context.Context, key answers.Key) (*answers.Record, string) {
	urls := e.peerURLs()
	if len(urls) == 0 {
		return nil, ""
	}
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	results := make(chan *peerRecord, len(urls))
	for _, url := range urls {
		go func() { results <- e.fetchFromPeer(ctx, url, key) }()
	}
	for range urls {
		if f := <-results; f != nil {
			return f.record, f.entry
		}
	}
	return nil, ""
}

// fetchFromPeer returns the record that the entry at url holds, or nil.
func (e *Entry) fetchFromPeer(ctx context.Context, url string, key answers.Key) *peerRecord {
	peer := answersv1.NewAnswersProtobufClient(url, e.transport.Client())
	response, err := peer.Fetch(ctx, &answersv1.FetchRequest{ClientAccount: key.ClientAccount, Name: key.RequestID})
	if err != nil || response.Entry == e.settings.Instance {
		return nil
	}
	state, ok := stateFromWire[response.State]
	if !ok || state == answers.StateAbsent {
		return nil
	}
	record := &answers.Record{
		State: state, Answer: response.Answer,
		Code: refusal.Code(response.RefusalCode), Execution: refusal.ExecutionStatus(response.RefusalRan),
	}
	copy(record.Digest[:], response.BodyDigest)
	return &peerRecord{record, response.Entry}
}

var stateFromWire = map[answersv1.AnswerState]answers.State{
	answersv1.AnswerState_ANSWER_STATE_ABSENT:   answers.StateAbsent,
	answersv1.AnswerState_ANSWER_STATE_RUNNING:  answers.StateRunning,
	answersv1.AnswerState_ANSWER_STATE_WHOLE:    answers.StateComplete,
	answersv1.AnswerState_ANSWER_STATE_NOT_KEPT: answers.StateNotStored,
	answersv1.AnswerState_ANSWER_STATE_REFUSED:  answers.StateRefused,
}

// answersService serves this entry's answers to the other entries.
type answersService struct{ entry *Entry }

// Interface guard.
var _ answersv1.Answers = (*answersService)(nil)

// Fetch implements answersv1.Answers.
func (a *answersService) Fetch(_ context.Context, r *answersv1.FetchRequest) (*answersv1.FetchResponse, error) {
	key := answers.Key{ClientAccount: r.ClientAccount, RequestID: r.Name}
	record := a.entry.answers.Lookup(key, time.Now())
	response := &answersv1.FetchResponse{
		Answer:      record.Answer,
		BodyDigest:  record.Digest[:],
		RefusalCode: string(record.Code),
		RefusalRan:  string(record.Execution),
		Entry:       a.entry.settings.Instance,
	}
	for wire, state := range stateFromWire {
		if state == record.State {
			response.State = wire
		}
	}
	return response, nil
}

// requestDigest hashes a request's path and body, so that a key cannot be
// reused for a different request.
func requestDigest(path string, raw []byte) answers.Digest {
	return sha256.Sum256(append([]byte(path+"\n"), raw...))
}
