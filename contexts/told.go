package contexts

import "time"

// toldPlace is a place of which other instances tell this one.
type toldPlace struct {
	Place
	// pictures are what each of them said, current is the one in use.
	pictures map[string]*Store
	current  *Store
}

// choose keeps to one picture as long as it is fresh, and else takes the one
// heard last.
func (t *toldPlace) choose(now time.Time) {
	if t.current != nil && t.current.Fresh(now) {
		return
	}
	for _, s := range t.pictures {
		if t.current == nil || s.heard.After(t.current.heard) {
			t.current = s
		}
	}
	if t.current != nil {
		t.current.describe(t.Place)
	}
}

// setTold takes the places of which others tell; the caller holds the lock.
func (w *Watch) setTold(places []Place) {
	told := make(map[string]*toldPlace, len(places))
	for _, p := range places {
		t := w.told[p.Address]
		if t == nil {
			t = &toldPlace{pictures: make(map[string]*Store)}
			for source, pictures := range w.pictures {
				if s := pictures[p.Address]; s != nil {
					t.pictures[source] = s
				}
			}
		}
		t.Place = p
		for _, s := range t.pictures {
			s.Zone = p.Zone
			s.describe(p)
		}
		told[p.Address] = t
	}
	w.told = told
}

// Take takes what an instance told, which was true at a time or later.
func (w *Watch) Take(source string, a *Told, heard time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	pictures := w.pictures[source]
	if a.Whole || pictures == nil {
		w.drop(source)
		pictures = make(map[string]*Store)
		w.pictures[source] = pictures
	}
	for i := range a.News {
		n := &a.News[i]
		if n.Dropped {
			w.dropOne(source, n.Address)
			continue
		}
		w.learn(source, n, now)
	}
	for _, s := range pictures {
		s.heard = heard
	}
	for _, address := range a.Silent {
		if s := pictures[address]; s != nil {
			s.heard = time.Time{}
		}
	}
	w.arrange(now)
}

// learn takes the news of one holder; the caller holds the lock.
func (w *Watch) learn(source string, n *News, now time.Time) {
	pictures := w.pictures[source]
	s := pictures[n.Address]
	if s == nil {
		t := w.told[n.Address]
		s = NewStore(n.Address, "")
		s.told = true
		// The holder may just have restarted: see settleFor.
		s.began = now
		pictures[n.Address] = s
		if t != nil {
			s.Zone = t.Zone
			s.describe(t.Place)
			t.pictures[source] = s
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

// Forget drops what an instance told that is no longer listened to.
func (w *Watch) Forget(source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop(source)
	w.arrange(w.Now())
}

func (w *Watch) drop(source string) {
	for address := range w.pictures[source] {
		w.dropOne(source, address)
	}
	delete(w.pictures, source)
}

func (w *Watch) dropOne(source, address string) {
	s := w.pictures[source][address]
	delete(w.pictures[source], address)
	if t := w.told[address]; t != nil {
		delete(t.pictures, source)
		if t.current == s {
			t.current = nil
		}
	}
}

// toldFresh is the age up to which a teller's own word on a holder passes for
// heard: what listeners add to it stays below FreshFor.
const toldFresh = time.Second

// Tell returns what a listener with a cursor does not know, and the channel
// that says when there is more. Only a teller has something to tell.
func (w *Watch) Tell(cursor uint64) (*Told, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	a := &Told{Cursor: w.journal.last}
	news, reached := w.journal.since(cursor)
	if cursor == 0 || !reached {
		a.Whole = true
		for _, s := range w.stores {
			a.News = append(a.News, s.everything())
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
		if age := now.Sub(s.heard); s.heard.IsZero() || age > toldFresh {
			a.Silent = append(a.Silent, address)
		} else {
			a.Oldest = max(a.Oldest, age)
		}
	}
	return a, w.journal.changed
}
