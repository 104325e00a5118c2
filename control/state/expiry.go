package state

import (
	"cmp"
	"slices"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

const (
	// maxExpiredPerCommand bounds the call records that one command visits.
	maxExpiredPerCommand = 5000
	// idleRetentionMS is how long an instance or a lease is kept after its
	// lease expired; milliseconds.
	idleRetentionMS = 60 * 60 * 1000
)

// callRef refers to a call record as of a change at changedMS, in Unix
// milliseconds of log time. It is stale if the record has changed since.
type callRef struct {
	account, key string
	changedMS    int64
}

// expiryQueues list call records by time, so that expiry visits only records
// that are due. Log time never decreases, so appending keeps them sorted.
type expiryQueues struct {
	begun, ended []callRef
}

func (q *expiryQueues) addBegun(r *controlv1.CallRecord) {
	q.begun = append(q.begun, callRef{r.ClientAccount, r.Key, r.BegunUnixMs})
}

func (q *expiryQueues) addEnded(r *controlv1.CallRecord) {
	q.ended = append(q.ended, callRef{r.ClientAccount, r.Key, r.FinishedUnixMs})
}

// sort orders the queues after they were filled from a snapshot.
func (q *expiryQueues) sort() {
	compare := func(a, b callRef) int {
		return cmp.Or(cmp.Compare(a.changedMS, b.changedMS), cmp.Compare(a.account, b.account), cmp.Compare(a.key, b.key))
	}
	slices.SortFunc(q.begun, compare)
	slices.SortFunc(q.ended, compare)
}

func (s *State) lookup(ref callRef) *controlv1.CallRecord {
	account, ok := s.calls[ref.account]
	if !ok {
		return nil
	}
	return account.records[ref.key]
}

// expire handles records that are due. Calls begun before BegunBeforeUnixMs
// without an outcome were abandoned by an entry that crashed: their outcome becomes
// unknown, and they never run again. Records that ended before
// FinishedBeforeUnixMs are deleted.
func (s *State) expire(cmd *controlv1.ExpireCallsCommand) {
	budget := s.expireUnfinished(cmd.BegunBeforeUnixMs, maxExpiredPerCommand)
	s.deleteEnded(cmd.FinishedBeforeUnixMs, budget)
	s.deleteIdle()
}

func (s *State) expireUnfinished(beforeMS int64, budget int) int {
	for len(s.expiryQueues.begun) > 0 && budget > 0 {
		ref := s.expiryQueues.begun[0]
		if ref.changedMS >= beforeMS {
			break
		}
		s.expiryQueues.begun = s.expiryQueues.begun[1:]
		budget--
		r := s.lookup(ref)
		if r == nil || r.State != controlv1.CallState_CALL_STATE_BEGUN || r.BegunUnixMs != ref.changedMS {
			continue
		}
		r.State = controlv1.CallState_CALL_STATE_OUTCOME_UNKNOWN
		r.FinishedUnixMs = s.nowMS
		s.expiryQueues.addEnded(r)
	}
	return budget
}

func (s *State) deleteEnded(beforeMS int64, budget int) {
	for len(s.expiryQueues.ended) > 0 && budget > 0 {
		ref := s.expiryQueues.ended[0]
		if ref.changedMS >= beforeMS {
			break
		}
		s.expiryQueues.ended = s.expiryQueues.ended[1:]
		budget--
		r := s.lookup(ref)
		if r == nil || r.State == controlv1.CallState_CALL_STATE_BEGUN || r.FinishedUnixMs != ref.changedMS {
			continue
		}
		s.deleteRecord(r)
	}
}

func (s *State) deleteRecord(r *controlv1.CallRecord) {
	account := s.calls[r.ClientAccount]
	s.deleteAnswer(account, r)
	delete(account.records, r.Key)
	s.callCount--
	if len(account.records) == 0 {
		delete(s.calls, r.ClientAccount)
	}
}

// deleteIdle deletes instances and leases that expired more than idleRetentionMS
// ago. Fencing numbers are shared by all leases, so none is ever reused.
func (s *State) deleteIdle() {
	before := s.nowMS - idleRetentionMS
	for name, l := range s.leases {
		if l.ExpiresUnixMs < before {
			delete(s.leases, name)
		}
	}
	for _, e := range s.environments {
		for name, in := range e.instances {
			if in.LeaseExpiresUnixMs < before {
				delete(e.instances, name)
			}
		}
	}
}
