// Package answers stores the answers to recent requests, so that clients can fetch
// them again. The memory of finished requests is bounded for each client account and
// in total; the records of running requests are not bounded here.
package answers

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/refusal"
)

// State says what the store knows of a request: whether it runs, and how it ended.
type State string

// States of a request.
const (
	// StateAbsent: there is no record of the request.
	StateAbsent  State = "absent"
	StateRunning State = "running"
	// StateComplete: the complete answer is stored.
	StateComplete State = "whole"
	// StateNotStored: the request finished, but its answer was not stored.
	StateNotStored State = "not_kept"
	// StateRefused: the request ended with a refusal.
	StateRefused State = "refused"
)

// Key identifies a request within its client account.
type Key struct {
	ClientAccount string
	// RequestID is the request ID or idempotency key.
	RequestID string
}

// Digest is the SHA-256 hash of a request's body.
type Digest [sha256.Size]byte

// Record is the stored result of a request. It must not be modified.
type Record struct {
	State  State
	Digest Digest
	// Answer is the complete answer as JSON; set only for a complete request.
	Answer []byte
	// Code and Execution describe the refusal; set only for a refused request.
	Code      refusal.Code
	Execution refusal.ExecutionStatus
}

// Limits configures the bounds of a Store.
type Limits struct {
	// TTL is how long the record of a finished request is stored.
	TTL time.Duration
	// MaxAnswerBytes bounds one answer; a longer one is not stored.
	MaxAnswerBytes int
	// MaxAccountBytes bounds the finished records of one client account, each counted
	// as overheadBytes plus its request ID and answer. Running requests do not count.
	MaxAccountBytes int
	// MaxTotalBytes bounds the finished records of all accounts, counted likewise.
	MaxTotalBytes int
}

// overheadBytes is the fixed size counted for a record in addition to its request ID
// and answer.
const overheadBytes = 256

// evictionSample is the number of accounts compared to choose one to evict from.
const evictionSample = 16

// Store stores records. It is safe for concurrent use.
type Store struct {
	limits Limits

	mu       sync.Mutex
	accounts map[string]*account
	// bytes is the size counted for the finished records of all accounts.
	bytes int
}

// account holds the records of one client account.
type account struct {
	// records maps a request ID to its record; finished lists those of finished
	// requests, oldest first.
	records  map[string]*entry
	finished *list.List
	// bytes is the size counted for the finished records.
	bytes int
}

// entry is a record with the data to expire and evict it.
type entry struct {
	requestID string
	record    *Record
	// element is the entry's element in the list of finished records; nil while the
	// request runs.
	element   *list.Element
	expiresAt time.Time
	// bytes is the size counted for the record; 0 while the request runs.
	bytes int
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{limits: limits, accounts: make(map[string]*account)}
}

// Begin records that a request runs. If there is already a record of it, Begin
// returns that record and changes nothing.
func (s *Store) Begin(key Key, digest Digest, now time.Time) (existing *Record, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(key.ClientAccount)
	s.expire(a, now)
	if e, ok := a.records[key.RequestID]; ok {
		return e.record, false
	}
	a.records[key.RequestID] = &entry{requestID: key.RequestID, record: &Record{State: StateRunning, Digest: digest}}
	return nil, true
}

// Remove removes a request's record, so that the request may begin again.
func (s *Store) Remove(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[key.ClientAccount]
	if !ok {
		return
	}
	if e, ok := a.records[key.RequestID]; ok {
		s.remove(a, e)
	}
	s.removeIfEmpty(key.ClientAccount, a)
}

// Finish stores a running request's complete answer. If answer is nil or longer than
// Limits.MaxAnswerBytes, only the fact that the request finished is stored. A request
// that is not running is ignored.
func (s *Store) Finish(key Key, answer []byte, now time.Time) {
	record := &Record{State: StateComplete, Answer: answer}
	if answer == nil || len(answer) > s.limits.MaxAnswerBytes {
		record = &Record{State: StateNotStored}
	}
	s.setResult(key, record, now)
}

// Refuse stores the refusal of a running request. A request that is not running is
// ignored.
func (s *Store) Refuse(key Key, code refusal.Code, execution refusal.ExecutionStatus, now time.Time) {
	s.setResult(key, &Record{State: StateRefused, Code: code, Execution: execution}, now)
}

// Lookup returns a request's record, which is never nil: without a record its state
// is StateAbsent.
func (s *Store) Lookup(key Key, now time.Time) *Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[key.ClientAccount]
	if !ok {
		return &Record{State: StateAbsent}
	}
	s.expire(a, now)
	defer s.removeIfEmpty(key.ClientAccount, a)
	if e, ok := a.records[key.RequestID]; ok {
		return e.record
	}
	return &Record{State: StateAbsent}
}

// UsedBytes returns the bytes counted for the records of finished requests.
func (s *Store) UsedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// account returns the records of a client account, and creates them if there are
// none.
func (s *Store) account(name string) *account {
	a, ok := s.accounts[name]
	if !ok {
		a = &account{records: make(map[string]*entry), finished: list.New()}
		s.accounts[name] = a
	}
	return a
}

// setResult replaces the record of a running request and enforces the limits by
// removing the oldest finished records.
func (s *Store) setResult(key Key, record *Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(key.ClientAccount)
	e, ok := a.records[key.RequestID]
	if !ok || e.element != nil {
		return
	}
	record.Digest = e.record.Digest
	e.record = record
	e.expiresAt = now.Add(s.limits.TTL)
	e.bytes = overheadBytes + len(key.RequestID) + len(record.Answer)
	e.element = a.finished.PushBack(e)
	a.bytes += e.bytes
	s.bytes += e.bytes
	s.expire(a, now)
	for a.bytes > s.limits.MaxAccountBytes && a.finished.Len() > 0 {
		s.removeOldest(a)
	}
	s.evict()
	s.removeIfEmpty(key.ClientAccount, a)
}

// evict removes records while the store is over its total bound. It takes them from
// the largest of a sample of accounts, so that a large account cannot evict the
// others.
func (s *Store) evict() {
	for s.bytes > s.limits.MaxTotalBytes {
		name, largest, sampled := "", (*account)(nil), 0
		for n, a := range s.accounts {
			if largest == nil || a.bytes > largest.bytes {
				name, largest = n, a
			}
			if sampled++; sampled == evictionSample && largest.bytes > 0 {
				break
			}
		}
		s.removeOldest(largest)
		s.removeIfEmpty(name, largest)
	}
}

// expire removes expired records. The records of one account expire in the order in
// which they finished.
func (s *Store) expire(a *account, now time.Time) {
	for a.finished.Len() > 0 && !a.finished.Front().Value.(*entry).expiresAt.After(now) {
		s.removeOldest(a)
	}
}

// removeOldest removes the account's record that finished first.
func (s *Store) removeOldest(a *account) { s.remove(a, a.finished.Front().Value.(*entry)) }

// remove removes a record, and subtracts its size from the account and the store if its
// request has finished.
func (s *Store) remove(a *account, e *entry) {
	delete(a.records, e.requestID)
	if e.element == nil {
		return
	}
	a.finished.Remove(e.element)
	a.bytes -= e.bytes
	s.bytes -= e.bytes
}

// removeIfEmpty removes an account without records.
func (s *Store) removeIfEmpty(name string, a *account) {
	if len(a.records) == 0 {
		delete(s.accounts, name)
	}
}

// Sweep removes the expired records of every account.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range s.accounts {
		s.expire(a, now)
		s.removeIfEmpty(name, a)
	}
}
