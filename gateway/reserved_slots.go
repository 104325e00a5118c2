package gateway

import (
	"maps"
	"time"
)

const (
	// scarceSoftwareShare is the share of a service's servers up to which a software version is
	// scarce.
	scarceSoftwareShare = 0.25
	// reservedSlotShare is the share of a server's slots that is kept for resumed streams where
	// its software is scarce, while clients resume some: for resumeDemandTime after the last.
	reservedSlotShare = 1.0 / 3
	resumeDemandTime  = 2 * time.Second
)

// noteResumed records that a client resumes a stream of a software version.
func (s *serviceState) noteResumed(version string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.lastResumed, func(_ string, at time.Time) bool { return now.Sub(at) > resumeDemandTime })
	if s.lastResumed == nil {
		s.lastResumed = make(map[string]time.Time)
	}
	s.lastResumed[version] = now
}

// reservedSlots returns a function that reports whether a server's free slots are kept for
// resumed streams, which can go nowhere else; nil if none are kept from this request. The caller
// holds the state's lock.
func (c *call) reservedSlots(all []*backend, now time.Time) func(*backend) bool {
	if !c.route.Resumable || c.software.Load() != nil || len(c.state.lastResumed) == 0 || !severalVersions(all) {
		return nil
	}
	scarce := scarceVersions(all)
	others := c.gateway.peers.othersLoad()
	return func(b *backend) bool {
		at, demanded := c.state.lastResumed[b.software.Version]
		return demanded && now.Sub(at) <= resumeDemandTime && scarce[b.software.Version] &&
			b.tracker.FreeSlots(c.gateway.placementLoad(b, others), now) <= reservedSlotShare*float64(b.tracker.Slots)
	}
}

// scarceVersions returns the software versions that at most scarceSoftwareShare of the servers
// run.
func scarceVersions(list []*backend) map[string]bool {
	counts := make(map[string]int)
	for _, b := range list {
		counts[b.software.Version]++
	}
	scarce := make(map[string]bool)
	for version, count := range counts {
		scarce[version] = float64(count) <= scarceSoftwareShare*float64(len(list))
	}
	return scarce
}

// severalVersions reports whether servers differ in their software version.
func severalVersions(list []*backend) bool {
	for _, b := range list {
		if b.software.Version != list[0].software.Version {
			return true
		}
	}
	return false
}
