package contexts

import "time"

// relayedHolder is a holder whose state is relayed by other instances.
type relayedHolder struct {
	HolderSpec
	// views holds the state by the instance that relayed it, current the one in
	// use.
	views   map[string]*HolderState
	current *HolderState
}

// selectView keeps the current view as long as it is fresh; otherwise it takes the
// most recent one.
func (t *relayedHolder) selectView(now time.Time) {
	if t.current != nil && t.current.Fresh(now) {
		return
	}
	for _, s := range t.views {
		if t.current == nil || s.asOf.After(t.current.asOf) {
			t.current = s
		}
	}
	if t.current != nil {
		t.current.configure(t.HolderSpec)
	}
}

// setRelayed sets the holders whose state is relayed; the caller holds the lock.
func (w *Watcher) setRelayed(places []HolderSpec) {
	relayed := make(map[string]*relayedHolder, len(places))
	for _, p := range places {
		t := w.relayed[p.Address]
		if t == nil {
			t = &relayedHolder{views: make(map[string]*HolderState)}
			for source, views := range w.views {
				if s := views[p.Address]; s != nil {
					t.views[source] = s
				}
			}
		}
		t.HolderSpec = p
		for _, s := range t.views {
			s.Zone = p.Zone
			s.configure(p)
		}
		relayed[p.Address] = t
	}
	w.relayed = relayed
}

// ApplyUpdate applies an update relayed by the instance source, which was true at asOf or
// later.
func (w *Watcher) ApplyUpdate(source string, a *Update, asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	views := w.views[source]
	if a.Full || views == nil {
		w.dropSource(source)
		views = make(map[string]*HolderState)
		w.views[source] = views
	}
	for i := range a.Holders {
		n := &a.Holders[i]
		if n.Removed {
			w.dropView(source, n.Address)
			continue
		}
		w.applyHolderUpdate(source, n, now)
	}
	for _, s := range views {
		s.asOf = asOf
	}
	for _, address := range a.Stale {
		if s := views[address]; s != nil {
			s.asOf = time.Time{}
		}
	}
	w.refreshCandidates(now)
}

// applyHolderUpdate applies the update of one holder; the caller holds the lock.
func (w *Watcher) applyHolderUpdate(source string, n *HolderUpdate, now time.Time) {
	views := w.views[source]
	s := views[n.Address]
	if s == nil {
		t := w.relayed[n.Address]
		s = NewHolderState(n.Address, "")
		s.relayed = true
		// The holder may just have restarted: see restartWriteDelay.
		s.restartedAt = now
		views[n.Address] = s
		if t != nil {
			s.Zone = t.Zone
			s.configure(t.HolderSpec)
			t.views[source] = s
		}
	}
	if n.Reset {
		s.Replace(&Changes{Epoch: n.Epoch, Changes: n.Changes}, now)
		return
	}
	for _, c := range n.Changes {
		s.apply(c)
	}
}

// RemoveSource discards the state relayed by an instance that is no longer followed.
func (w *Watcher) RemoveSource(source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSource(source)
	w.refreshCandidates(w.Now())
}

func (w *Watcher) dropSource(source string) {
	for address := range w.views[source] {
		w.dropView(source, address)
	}
	delete(w.views, source)
}

func (w *Watcher) dropView(source, address string) {
	s := w.views[source][address]
	delete(w.views[source], address)
	if t := w.relayed[address]; t != nil {
		delete(t.views, source)
		if t.current == s {
			t.current = nil
		}
	}
}

// maxRelayAge is the age up to which a relaying instance reports a holder's state
// as current. It leaves subscribers a margin below the staleness limit for their
// own delays.
const maxRelayAge = time.Second

// UpdatesSince returns the updates after a subscriber's cursor, and a channel that is
// closed when there are more. Only a watcher that was created as a relay has any.
func (w *Watcher) UpdatesSince(cursor uint64) (*Update, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	a := &Update{Cursor: w.journal.last}
	news, reached := w.journal.since(cursor)
	if cursor == 0 || !reached {
		a.Full = true
		for _, s := range w.stores {
			a.Holders = append(a.Holders, s.snapshot())
		}
	} else {
		a.Holders = news
	}
	for i := range a.Holders {
		if s := w.stores[a.Holders[i].Address]; s != nil {
			a.Holders[i].Epoch = s.epoch
		}
	}
	for address, s := range w.stores {
		if age := now.Sub(s.asOf); s.asOf.IsZero() || age > maxRelayAge {
			a.Stale = append(a.Stale, address)
		} else {
			a.MaxAge = max(a.MaxAge, age)
		}
	}
	return a, w.journal.changed
}
