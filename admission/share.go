// Package admission decides which requests an entry instance accepts, and when. It
// enforces limits of client accounts across all instances and queues requests for the
// engines with priority classes and fair sharing. Time and messages are arguments.
package admission

import (
	"maps"
	"slices"
	"time"
)

// Times and bounds of shares.
const (
	// LoanTerm is the lifetime of a loan at the borrower, counted from the sending of
	// its request. The lender adds loanMargin and counts from the granting.
	LoanTerm   = 3 * time.Second
	loanMargin = 200 * time.Millisecond
	// JoinDelay is how long a joining instance has no share of its own. After that,
	// the other instances know of it, or have been cut off and have no share
	// themselves.
	JoinDelay = 6 * time.Second
	// PartitionGrace is how long an instance that is cut off from most others keeps its
	// share.
	PartitionGrace = time.Second
	// idleTTL is how long the state of an unused account is kept.
	idleTTL = 30 * time.Second
	// ownUseHeadroom is the multiple of its own recent use that a lender keeps for
	// itself.
	ownUseHeadroom = 1.25
	// maxAccountsPerMessage bounds the accounts in one message.
	maxAccountsPerMessage = 256
)

// Amount is a part of an account's limits.
type Amount struct {
	// Rate is in requests per second, Concurrency in concurrent requests, Tokens in
	// tokens per minute.
	Rate        float64
	Concurrency float64
	Tokens      float64
}

// addScaled returns a + factor*b.
func (a Amount) addScaled(b Amount, factor float64) Amount {
	return Amount{a.Rate + factor*b.Rate, a.Concurrency + factor*b.Concurrency, a.Tokens + factor*b.Tokens}
}

// nonNegative returns a with its negative parts set to 0.
func (a Amount) nonNegative() Amount {
	return Amount{max(0, a.Rate), max(0, a.Concurrency), max(0, a.Tokens)}
}

func (a Amount) isZero() bool { return a == Amount{} }

// limitedTo returns the minimum of a and b, part by part.
func (a Amount) limitedTo(b Amount) Amount {
	return Amount{min(a.Rate, b.Rate), min(a.Concurrency, b.Concurrency), min(a.Tokens, b.Tokens)}
}

// LoanRequest is a borrower's request for the part of an account's limits that it lacks.
type LoanRequest struct {
	Account string
	Amount  Amount
	// SentAt is the sending time on the borrower's monotonic clock, as the time
	// elapsed since the borrower started that clock.
	SentAt time.Duration
}

// Loan is a lender's response to a request.
type Loan struct {
	Account  string
	Borrower string
	Amount   Amount
	// RequestSentAt is copied from the request.
	RequestSentAt time.Duration
}

// activeLoan is a loan given or taken by this instance.
type activeLoan struct {
	amount    Amount
	expiresAt time.Duration
}

// accountState is the state of an account in use.
type accountState struct {
	limit Amount
	// used is the recent use at this instance, wanted the demand.
	used, wanted Amount
	lastUsed     time.Duration
	// lent is keyed by borrower, borrowed by lender, lastRequests by borrower.
	lent         map[string]activeLoan
	borrowed     map[string]activeLoan
	lastRequests map[string]LoanRequest
}

// Shares tracks this instance's part of the account limits. The parts of all
// instances never add up to more than the limit, even if messages are lost or late or
// the network is partitioned: an instance's own share is the limit divided by the
// number of instances, and anything beyond it was lent by another instance that does
// without it for longer than the borrower uses it. Times are on this instance's
// monotonic clock. Shares is not safe for concurrent use.
type Shares struct {
	instances int
	active    bool
	accounts  map[string]*accountState
}

// NewShares returns the shares of a single instance.
func NewShares() *Shares {
	return &Shares{instances: 1, active: true, accounts: make(map[string]*accountState)}
}

// SetInstances sets the number of instances that limits are divided by, and whether
// this instance may use a share of its own.
func (s *Shares) SetInstances(instances int, active bool) {
	s.instances = max(1, instances)
	s.active = active
}

// RecordUse records an account's limit, its recent use at this instance and the demand
// here.
func (s *Shares) RecordUse(name string, limit, used, wanted Amount, now time.Duration) {
	a := s.stateOf(name, now)
	a.limit, a.used, a.wanted, a.lastUsed = limit, used, wanted, now
}

// stateOf returns the state of an account, and creates it if there is none.
func (s *Shares) stateOf(name string, now time.Duration) *accountState {
	a := s.accounts[name]
	if a == nil {
		a = &accountState{
			lent: make(map[string]activeLoan), borrowed: make(map[string]activeLoan), lastRequests: make(map[string]LoanRequest), lastUsed: now,
		}
		s.accounts[name] = a
	}
	return a
}

// ownShare returns this instance's own share of a limit.
func (s *Shares) ownShare(limit Amount) Amount {
	if !s.active {
		return Amount{}
	}
	return Amount{}.addScaled(limit, 1/float64(s.instances))
}

// Share returns the part of an account's limit that this instance may use now.
func (s *Shares) Share(name string, limit Amount, now time.Duration) Amount {
	share := s.ownShare(limit)
	a := s.accounts[name]
	if a == nil {
		return share
	}
	share = share.addScaled(a.totalLent(now), -1).nonNegative()
	for _, l := range a.borrowed {
		if now < l.expiresAt {
			share = share.addScaled(l.amount, 1)
		}
	}
	return share.limitedTo(limit)
}

// totalLent returns the sum of the loans to other instances that have not expired.
func (a *accountState) totalLent(now time.Duration) Amount {
	var sum Amount
	for _, l := range a.lent {
		if now < l.expiresAt {
			sum = sum.addScaled(l.amount, 1)
		}
	}
	return sum
}

// LoanRequests returns what this instance wants to borrow, sorted by account, for at
// most maxAccountsPerMessage accounts.
func (s *Shares) LoanRequests(now time.Duration) []LoanRequest {
	var list []LoanRequest
	for name, a := range s.accounts {
		available := s.ownShare(a.limit).addScaled(a.totalLent(now), -1).nonNegative()
		shortfall := a.wanted.limitedTo(a.limit).addScaled(available, -1).nonNegative()
		if !shortfall.isZero() {
			list = append(list, LoanRequest{Account: name, Amount: shortfall, SentAt: now})
		}
	}
	slices.SortFunc(list, func(a, b LoanRequest) int {
		switch {
		case a.Account < b.Account:
			return -1
		case a.Account > b.Account:
			return 1
		}
		return 0
	})
	return list[:min(len(list), maxAccountsPerMessage)]
}

// Grant answers the loan requests of another instance from this instance's spare
// share, which leaves out what the instance uses itself. limit returns an account's
// limit in the current configuration. Requests that are not newer than the last one of
// the same borrower and account, and those beyond maxAccountsPerMessage, are ignored.
func (s *Shares) Grant(borrower string, requests []LoanRequest, limit func(name string) Amount, now time.Duration) []Loan {
	var loans []Loan
	for _, r := range requests[:min(len(requests), maxAccountsPerMessage)] {
		if l, ok := s.grant(borrower, r, limit(r.Account), now); ok {
			loans = append(loans, l)
		}
	}
	return loans
}

// grant answers one loan request and records the loan. It returns false if there is
// nothing to lend or the request is not newer than the borrower's last one.
func (s *Shares) grant(borrower string, r LoanRequest, limit Amount, now time.Duration) (Loan, bool) {
	a := s.stateOf(r.Account, now)
	a.limit = limit
	if last, ok := a.lastRequests[borrower]; ok && r.SentAt <= last.SentAt {
		return Loan{}, false
	}
	a.lastRequests[borrower] = r
	previous, renewed := a.lent[borrower]
	renewed = renewed && now < previous.expiresAt
	spare := s.ownShare(limit).addScaled(a.totalLent(now), -1).addScaled(a.used, -ownUseHeadroom)
	if renewed {
		spare = spare.addScaled(previous.amount, 1)
	}
	amount := r.Amount.nonNegative().limitedTo(spare.nonNegative())
	if amount.isZero() {
		return Loan{}, false
	}
	// Until an earlier loan has expired, its amount stays out of this instance's
	// share, even if the renewal is smaller.
	reserved := amount
	if renewed {
		reserved = Amount{max(amount.Rate, previous.amount.Rate), max(amount.Concurrency, previous.amount.Concurrency), max(amount.Tokens, previous.amount.Tokens)}
	}
	a.lent[borrower] = activeLoan{amount: reserved, expiresAt: now + LoanTerm + loanMargin}
	return Loan{Account: r.Account, Borrower: borrower, Amount: amount, RequestSentAt: r.SentAt}, true
}

// AcceptLoans adds loans from another instance. A loan's term counts from the sending
// of its request, so it expires here before it does at the lender, however late it
// arrives.
func (s *Shares) AcceptLoans(lender string, loans []Loan, now time.Duration) {
	for _, l := range loans {
		expiresAt := l.RequestSentAt + LoanTerm
		if l.RequestSentAt > now || expiresAt <= now {
			continue
		}
		a := s.stateOf(l.Account, now)
		if previous, ok := a.borrowed[lender]; ok && previous.expiresAt >= expiresAt {
			continue
		}
		a.borrowed[lender] = activeLoan{amount: l.Amount, expiresAt: expiresAt}
	}
}

// DropExpired drops expired loans and unused accounts.
func (s *Shares) DropExpired(now time.Duration) {
	for name, a := range s.accounts {
		expired := func(_ string, l activeLoan) bool { return now >= l.expiresAt }
		maps.DeleteFunc(a.lent, expired)
		maps.DeleteFunc(a.borrowed, expired)
		maps.DeleteFunc(a.lastRequests, func(borrower string, _ LoanRequest) bool { _, hasLoan := a.lent[borrower]; return !hasLoan })
		if now-a.lastUsed >= idleTTL && len(a.lent) == 0 && len(a.borrowed) == 0 {
			delete(s.accounts, name)
		}
	}
}

// Accounts returns the number of accounts with state.
func (s *Shares) Accounts() int { return len(s.accounts) }
