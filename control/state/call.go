package state

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// accountCalls holds the call records of one client account. Each account has a
// separate table, so equal keys of different accounts cannot collide.
type accountCalls struct {
	records map[string]*controlv1.CallRecord
	// answerBytes is the total length of the saved answers.
	answerBytes int
}

// atCapacity reports whether an account may not have another call record. Once
// the table is full, accounts with few records may still add some.
func (s *State) atCapacity(account *accountCalls) bool {
	count := len(account.records)
	return count >= maxCallsPerAccount || (s.callCount >= maxCalls && count >= reservedCallsPerAccount)
}

// saveAnswer saves the answer of a call if the limits allow it. Otherwise it
// marks the answer as omitted, so that no empty answer is replayed in its place.
func (s *State) saveAnswer(account *accountCalls, r *controlv1.CallRecord, req *controlv1.FinishCallRequest) {
	s.deleteAnswer(account, r)
	size := len(req.Answer)
	r.AnswerOmitted = req.AnswerOmitted || size > MaxAnswerBytes ||
		account.answerBytes+size > maxAnswerBytesPerAccount || s.answerBytes+size > maxAnswerBytesTotal
	if r.AnswerOmitted {
		return
	}
	r.Answer = req.Answer
	account.answerBytes += size
	s.answerBytes += size
}

func (s *State) deleteAnswer(account *accountCalls, r *controlv1.CallRecord) {
	account.answerBytes -= len(r.Answer)
	s.answerBytes -= len(r.Answer)
	r.Answer = nil
}

// beginCall records a call before its dispatch. Only the dispatch that it is
// granted to may run the call.
func (s *State) beginCall(req *controlv1.BeginCallRequest) *controlv1.BeginCallResponse {
	account, ok := s.calls[req.ClientAccount]
	if !ok {
		account = &accountCalls{records: make(map[string]*controlv1.CallRecord)}
		s.calls[req.ClientAccount] = account
	}
	previous, ok := account.records[req.Key]
	if ok && !bytes.Equal(previous.BodyDigest, req.BodyDigest) {
		return &controlv1.BeginCallResponse{Outcome: controlv1.BeginOutcome_BEGIN_OUTCOME_BODY_MISMATCH}
	}
	if ok && isRetry(previous, req) {
		return &controlv1.BeginCallResponse{
			Outcome: controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH,
			Record:  proto.CloneOf(previous),
		}
	}
	if ok && previous.State != controlv1.CallState_CALL_STATE_NOT_RUN {
		return &controlv1.BeginCallResponse{Outcome: beginOutcome(previous.State), Record: proto.CloneOf(previous)}
	}
	if !ok && s.atCapacity(account) {
		return &controlv1.BeginCallResponse{Outcome: controlv1.BeginOutcome_BEGIN_OUTCOME_FULL}
	}
	record := &controlv1.CallRecord{
		ClientAccount: req.ClientAccount,
		Key:           req.Key,
		BodyDigest:    req.BodyDigest,
		State:         controlv1.CallState_CALL_STATE_BEGUN,
		Entry:         req.Entry,
		Server:        req.Server,
		BegunUnixMs:   s.nowMS,
		Attempt:       previous.GetAttempt() + 1,
		DispatchId:    req.DispatchId,
	}
	if !ok {
		s.callCount++
	}
	account.records[req.Key] = record
	s.expiryQueues.addBegun(record)
	return &controlv1.BeginCallResponse{
		Outcome: controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH,
		Record:  proto.CloneOf(record),
	}
}

// isRetry reports whether a request is a retry of the granted one, whose response
// was lost.
func isRetry(previous *controlv1.CallRecord, req *controlv1.BeginCallRequest) bool {
	return previous.State == controlv1.CallState_CALL_STATE_BEGUN && req.DispatchId != "" && previous.DispatchId == req.DispatchId
}

func beginOutcome(state controlv1.CallState) controlv1.BeginOutcome {
	switch state {
	case controlv1.CallState_CALL_STATE_FINISHED:
		return controlv1.BeginOutcome_BEGIN_OUTCOME_FINISHED
	case controlv1.CallState_CALL_STATE_OUTCOME_UNKNOWN:
		return controlv1.BeginOutcome_BEGIN_OUTCOME_UNKNOWN
	}
	return controlv1.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS
}

// finishCall records the outcome of the granted attempt. A finished call never
// changes; an unknown outcome may still be resolved.
func (s *State) finishCall(req *controlv1.FinishCallRequest) *controlv1.FinishCallResponse {
	account, ok := s.calls[req.ClientAccount]
	if !ok {
		return &controlv1.FinishCallResponse{}
	}
	record, ok := account.records[req.Key]
	if !ok || record.Attempt != req.Attempt || record.State == controlv1.CallState_CALL_STATE_FINISHED {
		return &controlv1.FinishCallResponse{}
	}
	if record.State == controlv1.CallState_CALL_STATE_NOT_RUN {
		return &controlv1.FinishCallResponse{}
	}
	record.State = req.State
	record.StatusCode = req.StatusCode
	record.AnswerContentType = req.AnswerContentType
	record.FinishedUnixMs = s.nowMS
	s.saveAnswer(account, record, req)
	s.expiryQueues.addEnded(record)
	return &controlv1.FinishCallResponse{Recorded: true}
}
