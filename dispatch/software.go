package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Software is what backend servers must have in common for one to go on with a stream that
// another has begun: their service and the version of their software.
type Software struct{ Service, Version string }

// maxSoftware bounds the software versions of all services that are remembered.
const maxSoftware = 256

// SoftwareHistory holds when servers were last known to run each software version. It does not
// read a clock and is not safe for concurrent use.
type SoftwareHistory struct {
	lastSeen map[Software]time.Time
	// incompleteBefore is when the latest forgotten version was last seen.
	incompleteBefore time.Time
}

// Seen records that a server was known to run a software version at a time.
func (h *SoftwareHistory) Seen(s Software, at time.Time) {
	if s.Service == "" {
		return
	}
	if h.lastSeen == nil {
		h.lastSeen = make(map[Software]time.Time)
	}
	if at.After(h.lastSeen[s]) {
		h.lastSeen[s] = at
	}
	if len(h.lastSeen) > maxSoftware {
		h.forgetOldest()
	}
}

// forgetOldest removes the version that was seen least recently.
func (h *SoftwareHistory) forgetOldest() {
	var oldest Software
	var oldestAt time.Time
	for s, at := range h.lastSeen {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = s, at
		}
	}
	delete(h.lastSeen, oldest)
	if oldestAt.After(h.incompleteBefore) {
		h.incompleteBefore = oldestAt
	}
}

// Forget removes the versions that were last seen before a time.
func (h *SoftwareHistory) Forget(before time.Time) {
	maps.DeleteFunc(h.lastSeen, func(_ Software, at time.Time) bool { return at.Before(before) })
}

// LastSeen returns when each version was last seen; it must not be modified.
func (h *SoftwareHistory) LastSeen() map[Software]time.Time { return h.lastSeen }

// IncompleteBefore returns the time before which versions may be missing because there were too
// many; zero if none were removed.
func (h *SoftwareHistory) IncompleteBefore() time.Time { return h.incompleteBefore }

// SoftwareVersion is a software version of one service.
type SoftwareVersion struct {
	Version string
	// Serving is set while a server runs it; LastSeen is when one was last known to.
	Serving  bool
	LastSeen time.Time
}

// SoftwareView is what an instance knows of the software of all services. It is immutable.
type SoftwareView struct {
	// Versions lists the versions by service.
	Versions map[string][]SoftwareVersion
	// KnownSince is the time since which no version is missing.
	KnownSince time.Time
}

// NewSoftwareView returns the view of a history and of the versions that servers run now.
func NewSoftwareView(h *SoftwareHistory, serving map[Software]bool, knownSince time.Time) *SoftwareView {
	v := &SoftwareView{Versions: make(map[string][]SoftwareVersion), KnownSince: knownSince}
	if h.incompleteBefore.After(knownSince) {
		v.KnownSince = h.incompleteBefore
	}
	for s, at := range h.lastSeen {
		v.Versions[s.Service] = append(v.Versions[s.Service], SoftwareVersion{Version: s.Version, Serving: serving[s], LastSeen: at})
	}
	for _, list := range v.Versions {
		slices.SortFunc(list, func(a, b SoftwareVersion) int { return cmp.Compare(a.Version, b.Version) })
	}
	return v
}

// Only returns the one version of a service's software that may have begun a stream within the
// time before now. ok is false if several may have, or if it is not known.
func (v *SoftwareView) Only(service string, within time.Duration, now time.Time) (version string, ok bool) {
	if v == nil || v.KnownSince.IsZero() || now.Sub(v.KnownSince) < within {
		return "", false
	}
	for _, s := range v.Versions[service] {
		if !s.Serving && now.Sub(s.LastSeen) > within {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = s.Version, true
	}
	return version, ok
}

// Lists reports whether a version is listed.
func (v *SoftwareView) Lists(software Software) bool {
	return v != nil && slices.ContainsFunc(v.Versions[software.Service], func(s SoftwareVersion) bool { return s.Version == software.Version })
}
