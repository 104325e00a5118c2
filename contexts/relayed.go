package contexts

import "time"

// relayedHolder is a holder whose state is relayed by other instances.
type relayedHolder struct {
	Place
	// views holds the state by the instance that relayed it, current the one in
	// use.
	views   map[string]*Store
	current *Store
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
		t.current.configure(t.Place)
	}
}

// setRelayed sets the holders whose state is relayed; the caller holds the lock.
func (w *Watch) setRelayed(places []Place) {
	relayed := make(map[string]*relayedHolder, len(places))
	for _, p := range places {
		t := w.relayed[p.Address]
		if t == nil {
			t = &relayedHolder{views: make(map[string]*Store)}
			for source, views := range w.views {
				if s := views[p.Address]; s != nil {
					t.views[source] = s
				}
			}
		}
		t.Place = p
		for _, s := range t.views {
			s.Zone = p.Zone
			s.configure(p)
		}
		relayed[p.Address] = t
	}
	w.relayed = relayed
}

// Take applies an update relayed by the instance source, which was true at asOf or
// later.
func (w *Watch) Take(source string, a *Told, asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	views := w.views[source]
	if a.Whole || views == nil {
		w.dropSource(source)
		views = make(map[string]*Store)
		w.views[source] = views
	}
	for i := range a.News {
		n := &a.News[i]
		if n.Dropped {
			w.dropView(source, n.Address)
			continue
		}
		w.applyHolderUpdate(source, n, now)
	}
	for _, s := range views {
		s.asOf = asOf
	}
	for _, address := range a.Silent {
		if s := views[address]; s != nil {
			s.asOf = time.Time{}
		}
	}
	w.refreshCandidates(now)
}

// applyHolderUpdate applies the update of one holder; the caller holds the lock.
func (w *Watch) applyHolderUpdate(source string, n *News, now time.Time) {
	views := w.views[source]
	s := views[n.Address]
	if s == nil {
		t := w.relayed[n.Address]
		s = NewStore(n.Address, "")
		s.relayed = true
		// The holder may just have restarted: see restartWriteDelay.
		s.restartedAt = now
		views[n.Address] = s
		if t != nil {
			s.Zone = t.Zone
			s.configure(t.Place)
			t.views[source] = s
		}
	}
	if n.Anew {
		s.Replace(&Changes{Epoch: n.Epoch, Changes: n.Changes}, now)
		return
	}
	for _, c := range n.Changes {
		s.apply(c)
	}
}

// Forget discards the state relayed by an instance that is no longer followed.
func (w *Watch) Forget(source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSource(source)
	w.refreshCandidates(w.Now())
}

func (w *Watch) dropSource(source string) {
	for address := range w.views[source] {
		w.dropView(source, address)
	}
	delete(w.views, source)
}

func (w *Watch) dropView(source, address string) {
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

// Tell returns the updates after a subscriber's cursor, and a channel that is
// closed when there are more. Only a watcher that was created as a relay has any.
func (w *Watch) Tell(cursor uint64) (*Told, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	a := &Told{Cursor: w.journal.last}
	news, reached := w.journal.since(cursor)
	if cursor == 0 || !reached {
		a.Whole = true
		for _, s := range w.stores {
			a.News = append(a.News, s.snapshot())
		}
	} else {
		a.News = news
	}
	for i := range a.News {
		if s := w.stores[a.News[i].Address]; s != nil {
			a.News[i].Epoch = s.epoch
		}
	}
	for address, s := range w.stores {
		if age := now.Sub(s.asOf); s.asOf.IsZero() || age > maxRelayAge {
			a.Silent = append(a.Silent, address)
		} else {
			a.Oldest = max(a.Oldest, age)
		}
	}
	return a, w.journal.changed
}
