package entry

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/api/memberv1"
	"github.com/galenaarch/galenaarch/config"
)

// wireScale is the number of wire units per unit of rate and concurrency: both
// are sent in thousandths.
const wireScale = 1000

// demandHeadroom is the factor by which requested shares exceed the current
// demand, so that growing load is not refused before the next loan.
const demandHeadroom = 1.5

// maxShareUpdateGap is the time between two share updates above which the
// process is assumed to have been paused.
const maxShareUpdateGap = 2 * time.Second

// maxWireAmount represents an unlimited amount on the wire.
const maxWireAmount = math.MaxUint32

func amountToWire(a admission.Amount) *memberv1.AccountAmount {
	return &memberv1.AccountAmount{
		Rate:        numberToWire(a.Rate * wireScale),
		Concurrency: numberToWire(a.Concurrency * wireScale),
		Tokens:      numberToWire(a.Tokens),
	}
}

// numberToWire rounds down, so that encoding never enlarges a loan.
func numberToWire(v float64) uint64 { return uint64(min(max(v, 0), maxWireAmount)) }

func amountFromWire(w *memberv1.AccountAmount) admission.Amount {
	return admission.Amount{
		Rate:        float64(min(w.Rate, maxWireAmount)) / wireScale,
		Concurrency: float64(min(w.Concurrency, maxWireAmount)) / wireScale,
		Tokens:      float64(min(w.Tokens, maxWireAmount)),
	}
}

// joining reports whether this entry joined too recently to have shares of the
// limits, at startup or after the others had declared it dead.
func (e *Entry) joining(now time.Time) bool {
	recent := func(t time.Time) bool { return !t.IsZero() && now.Sub(t) < e.joinWait }
	return recent(e.joinedAt) || recent(e.node.RejoinedAt())
}

// mayBeIsolated reports whether this entry may have lost its shares without
// noticing: it has not seen a majority of the entries for a while, or its
// process was paused. The admitter's mutex must be held.
func (e *Entry) mayBeIsolated(now time.Time) bool {
	a := e.admitter
	if !a.sharesUpdatedAt.IsZero() && now.Sub(a.sharesUpdatedAt) >= maxShareUpdateGap {
		a.pausedUntil = now.Add(maxShareUpdateGap)
	}
	if e.node.SeesMajority() {
		a.minoritySince = time.Time{}
	} else if a.minoritySince.IsZero() {
		a.minoritySince = now
	}
	minority := !a.minoritySince.IsZero() && now.Sub(a.minoritySince) >= admission.PartitionGrace
	return minority || now.Before(a.pausedUntil)
}

// publishDemand publishes the shares that this entry wants to borrow and those
// it lends. Both are in one item; the loan requests are refreshed on each
// publication.
func (e *Entry) publishDemand(ctx context.Context, now time.Time) {
	a := e.admitter
	a.mu.Lock()
	e.updateShares(now)
	demand := &memberv1.Demand{}
	for _, request := range a.shares.LoanRequests(a.elapsed(now)) {
		w := amountToWire(request.Amount)
		w.Account, w.Stamp = request.Account, int64(request.SentAt)
		demand.Needs = append(demand.Needs, w)
	}
	demand.Loans = e.grantLoans(now)
	a.mu.Unlock()
	e.publishItem(ctx, keyDemand, demand, len(demand.Needs)+len(demand.Loans) > 0 && e.regionSize() <= maxMembersReadingAll)
}

// updateShares recomputes the shares from the usage since the last update. The
// admitter's mutex must be held.
func (e *Entry) updateShares(now time.Time) {
	a := e.admitter
	a.shares.SetInstances(e.node.ShareCount(), !e.mayBeIsolated(now) && !e.joining(now))
	a.hasPeers = e.node.ShareCount() > 1
	since := a.sharesUpdatedAt
	if since.IsZero() {
		since = a.clockStart
	}
	seconds := max(now.Sub(since).Seconds(), 1e-3)
	a.sharesUpdatedAt = now
	view := e.config.View()
	for name, u := range a.accounts {
		account := view.Account(name)
		if account == nil || (u.running == 0 && now.Sub(u.lastUsed) >= accountIdleTimeout) {
			delete(a.accounts, name)
			continue
		}
		e.updateAccountShares(account, u, seconds, now)
	}
	a.shares.DropExpired(a.elapsed(now))
	a.metrics.accounts.Set(float64(len(a.accounts)))
}

// updateAccountShares reports the use and demand of the last seconds to the shares
// and resets the counters of the account. The admitter's mutex must be held.
func (e *Entry) updateAccountShares(account *config.ClientAccount, u *accountUsage, seconds float64, now time.Time) {
	a := e.admitter
	used := admission.Amount{
		Rate:        u.admittedRequests / seconds,
		Concurrency: float64(u.running),
		Tokens:      u.admittedTokens / seconds * time.Minute.Seconds(),
	}
	demand := admission.Amount{
		Rate:        demandHeadroom * u.demandRequests / seconds,
		Concurrency: demandHeadroom * float64(u.running+u.refusedConcurrent),
		Tokens:      demandHeadroom * u.demandTokens / seconds * time.Minute.Seconds(),
	}
	if now.Sub(u.lastUsed) < 2*publishInterval {
		// Reserve room for the next request beyond those running.
		demand.Concurrency++
	}
	limit := clampAmount(accountLimits(account.Limits))
	a.shares.RecordUse(account.Name, limit, used, demand, a.elapsed(now))
	u.demandRequests, u.admittedRequests, u.demandTokens, u.admittedTokens, u.refusedConcurrent = 0, 0, 0, 0, 0
}

// clampAmount limits an amount to what can be encoded on the wire.
func clampAmount(a admission.Amount) admission.Amount {
	return admission.Amount{Rate: min(a.Rate, maxWireAmount), Concurrency: min(a.Concurrency, maxWireAmount), Tokens: min(a.Tokens, maxWireAmount)}
}

// grantLoans lends shares in response to the latest loan requests of the other
// entries. The admitter's mutex must be held.
func (e *Entry) grantLoans(now time.Time) []*memberv1.AccountAmount {
	a := e.admitter
	view := e.config.View()
	limit := func(name string) admission.Amount {
		if account := view.Account(name); account != nil {
			return clampAmount(accountLimits(account.Limits))
		}
		return admission.Amount{}
	}
	var list []*memberv1.AccountAmount
	for _, m := range e.node.OtherMembers() {
		loanRequests := e.peerLoanRequests[m.Instance]
		for _, loan := range a.shares.Grant(m.Instance, loanRequests, limit, a.elapsed(now)) {
			w := amountToWire(loan.Amount)
			w.Account, w.Borrower, w.Stamp = loan.Account, loan.Borrower, int64(loan.RequestSentAt)
			list = append(list, w)
		}
	}
	return list
}

// applyDemand decodes the published demand of another entry, stores the shares of
// account limits that the entry wants to borrow and accepts those that it lends to
// this entry. Data that cannot be decoded is ignored.
func (e *Entry) applyDemand(instance string, encoded []byte) {
	var demand memberv1.Demand
	if proto.Unmarshal(encoded, &demand) != nil {
		return
	}
	var loanRequests []admission.LoanRequest
	for _, w := range demand.Needs {
		loanRequests = append(loanRequests, admission.LoanRequest{Account: w.Account, Amount: amountFromWire(w), SentAt: time.Duration(w.Stamp)})
	}
	var loans []admission.Loan
	for _, w := range demand.Loans {
		if w.Borrower == e.settings.Instance {
			loans = append(loans, admission.Loan{Account: w.Account, Borrower: w.Borrower, Amount: amountFromWire(w), RequestSentAt: time.Duration(w.Stamp)})
		}
	}
	a := e.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	e.peerLoanRequests[instance] = loanRequests
	a.shares.AcceptLoans(instance, loans, a.elapsed(time.Now()))
}
