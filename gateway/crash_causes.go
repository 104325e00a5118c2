package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
)

// maxRecordedParts bounds the parts recorded of one request.
const maxRecordedParts = 64

// crashState is what crash evidence has to do with one request.
type crashState struct {
	// requestDigest, parts and causes are the results of digest, recordableParts and
	// crashCauses; nil until they are needed.
	requestDigest atomic.Pointer[dispatch.RequestDigest]
	parts, causes atomic.Pointer[[]dispatch.CrashCause]
	// suspects are those of the last attempt that was interrupted, at the incarnation
	// interruptedAt.
	suspects      []dispatch.Suspect
	interruptedAt dispatch.ServerRun
	// quarantined is why the request is rejected, until quarantinedUntil. trial is set if
	// it tries a cause whose quarantine is over.
	quarantined      dispatch.CrashCause
	quarantinedUntil time.Time
	trial            atomic.Bool
}

// declaredParts returns the parts of the prompt that other requests may have in common with
// this one, also if the service is not scheduled by prompts.
func (c *call) declaredParts() []Part {
	switch {
	case c.prompt != nil:
		return c.sharedParts()
	case c.route == nil || !c.route.DeclaresPrompt || c.request.Prompt == nil:
		return nil
	}
	parts := c.request.Prompt.Parts
	return parts[:max(0, len(parts)-1)]
}

// recordableParts returns the parts of the request that may be the cause of a crash; none if
// the mechanism is off.
func (c *call) recordableParts() []dispatch.CrashCause {
	if !c.gateway.policy.Enabled(dispatch.PartQuarantine) {
		return nil
	}
	if known := c.parts.Load(); known != nil {
		return *known
	}
	shared := c.declaredParts()
	parts := make([]dispatch.CrashCause, len(shared))
	for i, p := range shared {
		parts[i] = dispatch.PartCause(c.service.Name, p.ID)
	}
	c.parts.Store(&parts)
	return parts
}

// crashCauses returns what of the request may be the cause of a crash: the request itself,
// and its parts; none if the mechanism is off. The first call computes the digest, so it must
// not be made with a lock held, nor for requests that crash evidence does not concern.
//
// Invariant: the request comes first, so that no bound on the parts leaves it out.
func (c *call) crashCauses() []dispatch.CrashCause {
	if !c.gateway.policy.Enabled(dispatch.PartQuarantine) {
		return nil
	}
	if known := c.causes.Load(); known != nil {
		return *known
	}
	causes := append([]dispatch.CrashCause{dispatch.RequestCause(c.digest())}, c.recordableParts()...)
	c.causes.Store(&causes)
	return causes
}

// recordedCauses returns the causes that are recorded of an interrupted or answered request.
func (c *call) recordedCauses() []dispatch.CrashCause {
	causes := c.crashCauses()
	return causes[:min(len(causes), 1+maxRecordedParts)]
}

// suspectCauses returns the recorded causes of an attempt that has just been interrupted as
// suspects. begun reports whether the response had just begun.
func (c *call) suspectCauses(a *attempt, begun bool) []dispatch.Suspect {
	causes := c.recordedCauses()
	suspects := make([]dispatch.Suspect, len(causes))
	for i, cause := range causes {
		suspects[i] = dispatch.Suspect{Cause: cause, Begun: begun}
		if cause.IsRequest() {
			suspects[i].Ran = time.Since(a.startedAt)
		}
	}
	return suspects
}

// prepareCauses computes the causes if there is any crash evidence.
func (c *call) prepareCauses() {
	if c.gateway.evidence.relevant.Load() {
		c.crashCauses()
	}
}

// knownCauses returns the causes for a caller that holds a lock: without the request itself
// unless prepareCauses was called since there is evidence.
func (c *call) knownCauses() []dispatch.CrashCause {
	if known := c.causes.Load(); known != nil {
		return *known
	}
	return c.recordableParts()
}

// quarantineReason returns why the request is rejected, after blocks has returned true.
func (c *call) quarantineReason() rejectReason {
	if c.quarantined.IsRequest() {
		return reasonRequestQuarantined
	}
	return reasonPartQuarantined
}

// isQuarantine reports whether a request is rejected for what servers crash under.
func (r rejectReason) isQuarantine() bool {
	return slices.Contains([]rejectReason{reasonPartQuarantined, reasonRequestQuarantined, reasonRepeatUnsafe}, r)
}

// rejectQuarantined reports whether the request must be rejected because it, or one of its
// parts, is quarantined. It may be called with the state's lock held.
func (c *call) rejectQuarantined(now time.Time) bool {
	e := c.gateway.evidence
	if !e.relevant.Load() {
		return false
	}
	causes := c.knownCauses()
	if len(causes) == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.blocks(c, causes, now)
}

// repeatBlocked returns the reason why a request that was interrupted may not be sent again,
// or an empty one.
func (c *call) repeatBlocked(now time.Time) rejectReason {
	if len(c.suspects) == 0 {
		return ""
	}
	e := c.gateway.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.evidence.RepeatAllowed(c.interruptedAt, c.suspects, now) {
		return reasonRepeatUnsafe
	}
	return ""
}

// repeatUnsafe reports whether a request that runs at a server may not be sent to another one
// for what servers crash under. A part or request whose quarantine is over is no exception:
// its trial is a request that has not run.
func (c *call) repeatUnsafe(now time.Time) bool {
	if c.repeatBlocked(now) != "" {
		return true
	}
	e := c.gateway.evidence
	if !e.relevant.Load() {
		return false
	}
	causes := c.crashCauses()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _, blocked := e.evidence.Blocked(causes, nil, now)
	return blocked
}
