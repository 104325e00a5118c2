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

// thousandths is the unit of rates and concurrency between entries.
const thousandths = 1000

// headroom is what an entry wants over what was asked of it, so that growth
// is not refused before the next loan.
const headroom = 1.5

// maxLookGap is the pause between two looks after which the process is held to
// have been paused.
const maxLookGap = 2 * time.Second

// maxAmount stands for an amount without bound between entries.
const maxAmount = math.MaxUint32

func wireAmount(a admission.Amount) *memberv1.AccountAmount {
	return &memberv1.AccountAmount{
		Rate:        wireNumber(a.Rate * thousandths),
		Concurrency: wireNumber(a.Concurrency * thousandths),
		Tokens:      wireNumber(a.Tokens),
	}
}

// wireNumber rounds down, so that a loan never grows on its way.
func wireNumber(v float64) uint64 { return uint64(min(max(v, 0), maxAmount)) }

func amountOf(w *memberv1.AccountAmount) admission.Amount {
	return admission.Amount{
		Rate:        float64(min(w.Rate, maxAmount)) / thousandths,
		Concurrency: float64(min(w.Concurrency, maxAmount)) / thousandths,
		Tokens:      float64(min(w.Tokens, maxAmount)),
	}
}

// joining reports whether this entry has joined others too lately to have
// shares of limits: at its start, or after they held it dead.
func (e *Entry) joining(now time.Time) bool {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < e.joinWait }
	return recent(e.joined) || recent(e.node.Rejoined())
}

// apart reports whether this entry may have lost its shares of limits without
// knowing it: it sees few others, or its process was paused. The admitter is
// locked.
func (e *Entry) apart(now time.Time) bool {
	a := e.admitter
	if !a.looked.IsZero() && now.Sub(a.looked) >= maxLookGap {
		a.pausedUntil = now.Add(maxLookGap)
	}
	if e.node.SeesMost() {
		a.fewSince = time.Time{}
	} else if a.fewSince.IsZero() {
		a.fewSince = now
	}
	few := !a.fewSince.IsZero() && now.Sub(a.fewSince) >= admission.CutOffWait
	return few || now.Before(a.pausedUntil)
}

// publishDemand tells the others what this entry would borrow and what it
// lends. Both ride on one item, whose needs are renewed at each publication.
func (e *Entry) publishDemand(ctx context.Context, now time.Time) {
	a := e.admitter
	a.mu.Lock()
	e.look(now)
	demand := &memberv1.Demand{}
	for _, need := range a.shares.Needs(a.clock(now)) {
		w := wireAmount(need.Lacks)
		w.Account, w.Stamp = need.Account, int64(need.Stamp)
		demand.Needs = append(demand.Needs, w)
	}
	demand.Loans = e.grantAll(now)
	a.mu.Unlock()
	e.put(ctx, keyDemand, demand, len(demand.Needs)+len(demand.Loans) > 0 && e.regionSize() <= allReadMembers)
}

// look brings the shares up to date with the use since the last look.
func (e *Entry) look(now time.Time) {
	a := e.admitter
	a.shares.SetEntries(e.node.Sharing(), !e.apart(now) && !e.joining(now))
	a.together = e.node.Sharing() > 1
	since := a.looked
	if since.IsZero() {
		since = a.started
	}
	seconds := max(now.Sub(since).Seconds(), 1e-3)
	a.looked = now
	view := e.config.View()
	for name, u := range a.accounts {
		account := view.Account(name)
		if account == nil || (u.running == 0 && now.Sub(u.touched) >= idleAccount) {
			delete(a.accounts, name)
			continue
		}
		e.lookAt(account, u, seconds, now)
	}
	a.shares.Sweep(a.clock(now))
	a.metrics.accounts.Set(float64(len(a.accounts)))
}

func (e *Entry) lookAt(account *config.ClientAccount, u *usage, seconds float64, now time.Time) {
	a := e.admitter
	used := admission.Amount{
		Rate:        u.passedRequests / seconds,
		Concurrency: float64(u.running),
		Tokens:      u.passedTokens / seconds * time.Minute.Seconds(),
	}
	wanted := admission.Amount{
		Rate:        headroom * u.askedRequests / seconds,
		Concurrency: headroom * float64(u.running+u.refusedRunning),
		Tokens:      headroom * u.askedTokens / seconds * time.Minute.Seconds(),
	}
	if now.Sub(u.touched) < 2*memberTick {
		// The next request is one more than what runs.
		wanted.Concurrency++
	}
	limit := finite(limitOf(account.Limits))
	a.shares.Use(account.Name, limit, used, wanted, a.clock(now))
	u.askedRequests, u.passedRequests, u.askedTokens, u.passedTokens, u.refusedRunning = 0, 0, 0, 0, 0
}

func finite(a admission.Amount) admission.Amount {
	return admission.Amount{Rate: min(a.Rate, maxAmount), Concurrency: min(a.Concurrency, maxAmount), Tokens: min(a.Tokens, maxAmount)}
}

// grantAll answers the latest needs of the other entries.
func (e *Entry) grantAll(now time.Time) []*memberv1.AccountAmount {
	a := e.admitter
	view := e.config.View()
	limit := func(name string) admission.Amount {
		if account := view.Account(name); account != nil {
			return finite(limitOf(account.Limits))
		}
		return admission.Amount{}
	}
	var list []*memberv1.AccountAmount
	for _, m := range e.node.Others() {
		needs := e.needs[m.Instance]
		for _, loan := range a.shares.Grant(m.Instance, needs, limit, a.clock(now)) {
			w := wireAmount(loan.Amount)
			w.Account, w.Borrower, w.Stamp = loan.Account, loan.Borrower, int64(loan.Stamp)
			list = append(list, w)
		}
	}
	return list
}

// takeDemand stores another entry's needs and takes its loans in.
func (e *Entry) takeDemand(instance string, value []byte) {
	var demand memberv1.Demand
	if proto.Unmarshal(value, &demand) != nil {
		return
	}
	var needs []admission.Need
	for _, w := range demand.Needs {
		needs = append(needs, admission.Need{Account: w.Account, Lacks: amountOf(w), Stamp: time.Duration(w.Stamp)})
	}
	var loans []admission.Loan
	for _, w := range demand.Loans {
		if w.Borrower == e.settings.Instance {
			loans = append(loans, admission.Loan{Account: w.Account, Borrower: w.Borrower, Amount: amountOf(w), Stamp: time.Duration(w.Stamp)})
		}
	}
	a := e.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	e.needs[instance] = needs
	a.shares.Borrow(instance, loans, a.clock(time.Now()))
}
