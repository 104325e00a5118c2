package contexts

import "time"

// relayedHolder is a holder whose state is relayed by other instances.
type relayedHolder struct {
	HolderSpec
	// views maps a relaying instance to the state that it relayed; current is the
	// one in use.
	views   map[string]*HolderState
	current *HolderState
}

// selectView keeps the current view as long as it is fresh; otherwise it takes the
// most recent one.
func (h *relayedHolder) selectView(now time.Time) {
	if h.current != nil && h.current.Fresh(now) {
		return
	}
	for _, s := range h.views {
		if h.current == nil || s.asOf.After(h.current.asOf) {
			h.current = s
		}
	}
	if h.current != nil {
		h.current.configure(h.HolderSpec)
	}
}

// setRelayed sets the holders whose state is relayed; the caller holds w.mu.
func (w *Watcher) setRelayed(specs []HolderSpec) {
	relayed := make(map[string]*relayedHolder, len(specs))
	for _, spec := range specs {
		h := w.relayed[spec.Address]
		if h == nil {
			h = &relayedHolder{views: make(map[string]*HolderState)}
			for source, views := range w.views {
				if s := views[spec.Address]; s != nil {
					h.views[source] = s
				}
			}
		}
		h.HolderSpec = spec
		for _, s := range h.views {
			s.Zone = spec.Zone
			s.configure(spec)
		}
		relayed[spec.Address] = h
	}
	w.relayed = relayed
}

// ApplyUpdate applies an update that the instance source relayed. asOf is no later
// than the time at which the source got the state; the state's age counts from it.
func (w *Watcher) ApplyUpdate(source string, update *Update, asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	views := w.views[source]
	if update.Full || views == nil {
		w.dropSource(source)
		views = make(map[string]*HolderState)
		w.views[source] = views
	}
	for i := range update.Holders {
		holder := &update.Holders[i]
		if holder.Removed {
			w.dropView(source, holder.Address)
			continue
		}
		w.applyHolderUpdate(source, holder, now)
	}
	for _, s := range views {
		s.asOf = asOf
	}
	for _, address := range update.Stale {
		if s := views[address]; s != nil {
			s.asOf = time.Time{}
		}
	}
	w.refreshCandidates(now)
}

// applyHolderUpdate applies the update of one holder; the caller holds w.mu.
func (w *Watcher) applyHolderUpdate(source string, update *HolderUpdate, now time.Time) {
	views := w.views[source]
	s := views[update.Address]
	if s == nil {
		h := w.relayed[update.Address]
		s = NewHolderState(update.Address, "")
		s.relayed = true
		// The holder may just have restarted: see restartWriteDelay.
		s.restartedAt = now
		views[update.Address] = s
		if h != nil {
			s.Zone = h.Zone
			s.configure(h.HolderSpec)
			h.views[source] = s
		}
	}
	if update.Reset {
		s.Replace(&Changes{Epoch: update.Epoch, Changes: update.Changes}, now)
		return
	}
	for _, c := range update.Changes {
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

// dropSource discards all state relayed by a source; the caller holds w.mu.
func (w *Watcher) dropSource(source string) {
	for address := range w.views[source] {
		w.dropView(source, address)
	}
	delete(w.views, source)
}

// dropView discards the state of one holder relayed by a source; the caller holds
// w.mu.
func (w *Watcher) dropView(source, address string) {
	s := w.views[source][address]
	delete(w.views[source], address)
	if h := w.relayed[address]; h != nil {
		delete(h.views, source)
		if h.current == s {
			h.current = nil
		}
	}
}

// maxRelayAge is the age up to which a relaying instance reports a holder's state
// as current. The difference to MaxStateAge is the margin for the delays of
// subscribers.
const maxRelayAge = time.Second

// UpdatesSince returns the changes after a subscriber's cursor, and a channel that
// is closed at the next change. Cursor 0, or one that is too old, gets a full
// snapshot. The watcher must have been created by NewRelayWatcher.
func (w *Watcher) UpdatesSince(cursor uint64) (*Update, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	update := &Update{Cursor: w.journal.last}
	changed, complete := w.journal.since(cursor)
	if cursor == 0 || !complete {
		update.Full = true
		for _, s := range w.polled {
			update.Holders = append(update.Holders, s.snapshot())
		}
	} else {
		update.Holders = changed
	}
	for i := range update.Holders {
		if s := w.polled[update.Holders[i].Address]; s != nil {
			update.Holders[i].Epoch = s.epoch
		}
	}
	for address, s := range w.polled {
		if age := now.Sub(s.asOf); s.asOf.IsZero() || age > maxRelayAge {
			update.Stale = append(update.Stale, address)
		} else {
			update.MaxAge = max(update.MaxAge, age)
		}
	}
	return update, w.journal.changed
}
