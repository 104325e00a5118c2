package entry

import (
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/galenaarch/galenaarch/api/refusal"
)

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, info requestInfo) *refusal.Error {
	return e.servePrompt(w, r, info, pathCompletions)
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, info requestInfo) *refusal.Error {
	return e.servePrompt(w, r, info, pathChat)
}

func (e *Entry) servePrompt(w http.ResponseWriter, r *http.Request, info requestInfo, path string) *refusal.Error {
	p, refused := parsePrompt(w, r, info, path, time.Now())
	if refused != nil {
		return refused
	}
	ctx, span := e.kernel.Tracer.Start(r.Context(), "entry.run")
	defer span.End()
	span.SetAttributes(attribute.String("deployment", p.deployment.Name), attribute.Int("prompt_tokens", p.tokens))
	key, refused := idempotencyKey(r)
	if refused != nil {
		return refused
	}
	out := newResponseWriter(w, p)
	claim := e.newClaim(p, key)
	stored, refused := claim.acquire(ctx)
	if refused != nil {
		return refused
	}
	if stored != nil {
		return out.replay(stored)
	}
	defer claim.release()
	refused = e.runAdmitted(ctx, p, out)
	claim.storeOutcome(out, refused)
	return refused
}
