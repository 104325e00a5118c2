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

// UnknownVersion stands for the software of a server that may have started again and has not announced itself since. No
// server announces it.
const UnknownVersion = "\x00unknown"

// maxSoftware bounds the software versions of all services that are remembered.
const maxSoftware = 256

const (
	// softwareMemory is how long after its last server a version still counts: longer than the time in
	// which clients resume streams.
	softwareMemory = time.Minute
	// VersionGap is by how much a version must have been seen before all others to be certainly the
	// first one: instances learn of a version up to half of it apart.
	VersionGap = 4 * time.Second
)

// SoftwareHistory holds when servers were first and last known to run each software version. It does
// not read a clock and is not safe for concurrent use.
//
// A version that returns after a pause of softwareMemory counts as a new one. Instances hear at different times, so
// that pauses around that length are over for some and not for others: firstSeen starts anew after those that are
// over for all, returnedAt after those that may be over for any.
type SoftwareHistory struct {
	firstSeen, returnedAt, lastSeen map[Software]time.Time
	// incompleteBefore is when the latest forgotten version was last seen.
	incompleteBefore time.Time
}

// Seen records that a server was known to run a software version at a time.
func (h *SoftwareHistory) Seen(s Software, at time.Time) { h.SeenSince(s, at, at) }

// SeenSince records that servers were known to run a software version from first until at, with no pause
// above softwareMemory.
func (h *SoftwareHistory) SeenSince(s Software, first, at time.Time) {
	if s.Service == "" {
		return
	}
	if h.lastSeen == nil {
		h.firstSeen, h.returnedAt, h.lastSeen = make(map[Software]time.Time), make(map[Software]time.Time), make(map[Software]time.Time)
	}
	last, known := h.lastSeen[s]
	pause := first.Sub(last)
	if !known || pause > softwareMemory-VersionGap {
		h.returnedAt[s] = first
	}
	switch {
	case !known || pause > softwareMemory+VersionGap:
		h.firstSeen[s] = first
	case first.Before(h.firstSeen[s]) && h.firstSeen[s].Sub(at) <= softwareMemory:
		h.firstSeen[s] = first
	}
	if at.After(last) {
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
	delete(h.firstSeen, oldest)
	delete(h.returnedAt, oldest)
	if oldestAt.After(h.incompleteBefore) {
		h.incompleteBefore = oldestAt
	}
}

// Forget removes the versions that were last seen before a time.
func (h *SoftwareHistory) Forget(before time.Time) {
	maps.DeleteFunc(h.lastSeen, func(_ Software, at time.Time) bool { return at.Before(before) })
	gone := func(s Software, _ time.Time) bool { return h.lastSeen[s].IsZero() }
	maps.DeleteFunc(h.firstSeen, gone)
	maps.DeleteFunc(h.returnedAt, gone)
}

// Merge records what another history holds of a version. One that began later knows of a shorter use.
func (h *SoftwareHistory) Merge(s SoftwareVersion, service string) {
	software := Software{Service: service, Version: s.Version}
	h.SeenSince(software, s.FirstSeen, s.LastSeen)
	if returned, known := h.returnedAt[software]; known && (s.UsedSince.Before(returned) || returned.Equal(s.FirstSeen)) {
		h.returnedAt[software] = s.UsedSince
	}
}

// FirstSeen returns when a version was first seen; zero if it is not known.
func (h *SoftwareHistory) FirstSeen(s Software) time.Time { return h.firstSeen[s] }

// UsedSince returns when the present use of a version began, at the latest; zero if it is not known.
func (h *SoftwareHistory) UsedSince(s Software) time.Time {
	if h.returnedAt[s].After(h.firstSeen[s]) {
		return h.returnedAt[s]
	}
	return h.firstSeen[s]
}

// LastSeen returns when each version was last seen; it must not be modified.
func (h *SoftwareHistory) LastSeen() map[Software]time.Time { return h.lastSeen }

// IncompleteBefore returns the time before which versions may be missing because there were too
// many; zero if none were removed.
func (h *SoftwareHistory) IncompleteBefore() time.Time { return h.incompleteBefore }

// SoftwareVersion is a software version of one service.
type SoftwareVersion struct {
	Version string
	// Serving is set while a server runs it; FirstSeen and LastSeen are when one was first and last
	// known to, UsedSince is when its present use began at the latest.
	Serving                        bool
	FirstSeen, UsedSince, LastSeen time.Time
}

// seenWithin reports whether a server ran the version within a time before now.
func (s *SoftwareVersion) seenWithin(within time.Duration, now time.Time) bool {
	return s.Serving || now.Sub(s.LastSeen) <= within
}

// SoftwareView is what an instance knows of the software of all services. It is immutable.
type SoftwareView struct {
	// Versions lists the versions by service.
	Versions map[string][]SoftwareVersion
	// KnownSince is the time since which no version is missing. An instance that starts may
	// not know of versions before NewcomersKnowSince. Either is zero if it is not known.
	KnownSince, NewcomersKnowSince time.Time
}

// NewSoftwareView returns the view of a history and of the versions that servers run now.
func NewSoftwareView(h *SoftwareHistory, serving map[Software]bool, knownSince time.Time) *SoftwareView {
	v := &SoftwareView{Versions: make(map[string][]SoftwareVersion), KnownSince: knownSince}
	if h.incompleteBefore.After(knownSince) {
		v.KnownSince = h.incompleteBefore
	}
	for s, at := range h.lastSeen {
		v.Versions[s.Service] = append(v.Versions[s.Service], SoftwareVersion{Version: s.Version, Serving: serving[s], FirstSeen: h.firstSeen[s], UsedSince: h.UsedSince(s), LastSeen: at})
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

// MayDiffer reports whether another instance may not know which one version of a service's
// software may have begun a stream within the time before now.
func (v *SoftwareView) MayDiffer(service string, within time.Duration, now time.Time) bool {
	_, only := v.Only(service, within, now)
	return !only || v.NewcomersKnowSince.IsZero() || now.Sub(v.NewcomersKnowSince) < within
}

// First returns the version of a service's software that was there before all others which may have
// begun a stream that is still resumed, and when the next one was seen. ok is false if it is not certain:
// other instances may have seen them in another order, or a version was there while this view was not complete.
func (v *SoftwareView) First(service string, now time.Time) (first SoftwareVersion, next time.Time, ok bool) {
	if v == nil || v.KnownSince.IsZero() {
		return SoftwareVersion{}, time.Time{}, false
	}
	var oldest *SoftwareVersion
	for i := range v.Versions[service] {
		if s := &v.Versions[service][i]; s.seenWithin(softwareMemory, now) && (oldest == nil || s.FirstSeen.Before(oldest.FirstSeen)) {
			oldest = s
		}
	}
	if oldest == nil {
		return SoftwareVersion{}, time.Time{}, false
	}
	certain := oldest.UsedSince
	if v.KnownSince.After(certain) {
		certain = v.KnownSince
	}
	for i := range v.Versions[service] {
		s := &v.Versions[service][i]
		if s == oldest || !s.seenWithin(softwareMemory, now) {
			continue
		}
		if s.FirstSeen.Before(certain.Add(VersionGap)) {
			return SoftwareVersion{}, time.Time{}, false
		}
		if next.IsZero() || s.FirstSeen.Before(next) {
			next = s.FirstSeen
		}
	}
	return *oldest, next, true
}

// IsComplete reports whether no version is missing.
func (v *SoftwareView) IsComplete() bool { return v != nil && !v.KnownSince.IsZero() }

// IsNewer reports whether another version of the service's software may be certainly the first one for
// some instance (see First), and whether servers run such a version. A version that is not listed is a new one.
func (v *SoftwareView) IsNewer(software Software, now time.Time) (newer, olderServes bool) {
	if v == nil {
		return false, false
	}
	versions := v.Versions[software.Service]
	own := slices.IndexFunc(versions, func(s SoftwareVersion) bool { return s.Version == software.Version })
	if own < 0 {
		return len(versions) > 0, false
	}
	for i := range versions {
		if s := &versions[i]; s.seenWithin(softwareMemory+VersionGap, now) && versions[own].UsedSince.Sub(s.FirstSeen) > VersionGap/2 {
			newer, olderServes = true, olderServes || s.Serving
		}
	}
	return newer, olderServes
}

// Lists reports whether a version is listed.
func (v *SoftwareView) Lists(software Software) bool {
	return v != nil && slices.ContainsFunc(v.Versions[software.Service], func(s SoftwareVersion) bool { return s.Version == software.Version })
}
