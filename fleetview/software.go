package fleetview

import (
	"context"
	"errors"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

const (
	// softwareRetention is how long a software version is remembered after the last server
	// that ran it: longer than the time in which clients resume streams.
	softwareRetention = 2 * time.Minute
	// relocationTime is how long after a control instance has failed its servers are
	// announced at the others: two announcement intervals.
	relocationTime = 2 * time.Second
	// maxSoftwareAge bounds a reported age, so that times can be computed from it.
	maxSoftwareAge = 365 * 24 * time.Hour
)

// noteSoftware records the software versions in a response to a poll that began at startedAt.
// The caller holds the lock.
func (v *View) noteSoftware(s *source, r *fleetv1.SyncResponse, startedAt time.Time) {
	now := time.Now()
	for _, a := range r.Announcements {
		v.software.Seen(dispatch.Software{Service: a.Service, Version: a.Software}, now)
	}
	for _, known := range r.Software {
		ago := func(ms uint64, most time.Duration) time.Time {
			return now.Add(-time.Duration(min(ms, uint64(most.Milliseconds()))) * time.Millisecond)
		}
		version := dispatch.SoftwareVersion{Version: known.Software, LastSeen: ago(known.AgeMs, softwareRetention)}
		version.FirstSeen, version.UsedSince = version.LastSeen, version.LastSeen
		if known.FirstAgeMs > 0 {
			version.FirstSeen, version.UsedSince = ago(max(known.AgeMs, known.FirstAgeMs), maxSoftwareAge), ago(max(known.AgeMs, known.UsedAgeMs), maxSoftwareAge)
		}
		v.software.Merge(version, known.Service)
	}
	if r.SoftwareHistoryMs == 0 && len(r.Software) == 0 {
		return // not stated in this response
	}
	s.softwareHistorySince = startedAt.Add(-time.Duration(min(r.SoftwareHistoryMs, uint64(softwareRetention.Milliseconds()))) * time.Millisecond)
	if s.softwareKnownSince.IsZero() {
		// Later ones are of no account: from the first response on, this process knows what
		// the instance knows.
		s.softwareKnownSince = s.softwareHistorySince
	}
}

// softwareView returns what is known of the software of all services. The caller holds the lock.
//
// Invariant: a version that a server ran since KnownSince is listed until softwareRetention
// after that, also if the server has ended, or if the instance that reported it is lost.
func (v *View) softwareView(servers map[string]*fleetv1.Announcement, now time.Time) *dispatch.SoftwareView {
	if before := v.current.Load().Software; before != nil {
		for service, versions := range before.Versions {
			for _, s := range versions {
				if s.Serving {
					v.software.Seen(dispatch.Software{Service: service, Version: s.Version}, now)
				}
			}
		}
	}
	serving := make(map[dispatch.Software]bool)
	for _, a := range servers {
		if a.State == fleetv1.ServerState_SERVER_STATE_GONE || a.Silent || a.Service == "" {
			continue
		}
		software := dispatch.Software{Service: a.Service, Version: a.Software}
		serving[software] = true
		v.software.Seen(software, now)
	}
	v.software.Forget(now.Add(-softwareRetention))
	listed := v.listedSources(now)
	view := dispatch.NewSoftwareView(&v.software, serving, softwareKnownSince(listed))
	view.NewcomersKnowSince = newcomersKnowSince(listed)
	return view
}

// listedSources returns the control instances that were members of the group not long ago. A seed
// that has left it is polled for ever. The caller holds the lock.
func (v *View) listedSources(now time.Time) (listed []*source) {
	for _, s := range v.sources {
		if now.Sub(s.lastListed) < removeTimeout {
			listed = append(listed, s)
		}
	}
	return listed
}

// newcomersKnowSince returns the time since which an instance that starts now would know the
// software of all servers: a control instance that has restarted has forgotten. It is zero, for
// not known, while one does not respond.
func newcomersKnowSince(listed []*source) (since time.Time) {
	for _, s := range listed {
		if s.unreachable || s.softwareHistorySince.IsZero() {
			return time.Time{}
		}
		if s.softwareHistorySince.After(since) {
			since = s.softwareHistorySince
		}
	}
	return since
}

// softwareKnownSince returns the time since which no software version is missing: that of the
// control instance that knows the least. One that has not responded counts from when its
// servers were announced elsewhere. It is zero, for not known, unless a majority of the control
// instances responds: servers may announce to others what this process does not learn.
func softwareKnownSince(listed []*source) (since time.Time) {
	responding := 0
	for _, s := range listed {
		if !s.unreachable && !s.lastResponse.IsZero() {
			responding++
		}
		known := s.softwareKnownSince
		if known.IsZero() {
			known = s.addedAt.Add(relocationTime)
		}
		if known.After(since) {
			since = known
		}
	}
	if 2*responding <= len(listed) {
		return time.Time{}
	}
	return since
}

// errNoControlInstance reports a control instance that is no longer polled.
var errNoControlInstance = errors.New("not a control instance")

// controlClient returns the client of a control instance.
func (v *View) controlClient(url string) (fleetv1.Fleet, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.sources[url]; s != nil {
		return s.client, nil
	}
	return nil, errNoControlInstance
}

// RecordStreams sends records of streams to a control instance.
func (v *View) RecordStreams(ctx context.Context, url string, r *fleetv1.RecordStreamsRequest) error {
	client, err := v.controlClient(url)
	if err == nil {
		_, err = client.RecordStreams(ctx, r)
	}
	return err
}

// LookUpStream asks a control instance which software began a stream; nil if it has no record. history is the
// time for which it would have the record of each stream that a newer version began, 0 if that is not known.
func (v *View) LookUpStream(ctx context.Context, url string, stream []byte) (software *dispatch.Software, history time.Duration, err error) {
	client, err := v.controlClient(url)
	if err != nil {
		return nil, 0, err
	}
	response, err := client.LookUpStream(ctx, &fleetv1.LookUpStreamRequest{Stream: stream})
	if err != nil {
		return nil, 0, err
	}
	if !response.Known {
		return nil, time.Duration(min(response.HistoryMs, uint64(maxSoftwareAge.Milliseconds()))) * time.Millisecond, nil
	}
	return &dispatch.Software{Service: response.Service, Version: response.Software}, 0, nil
}

// Members lists the base URLs of the control instances that were members of the group not long ago.
func (v *View) Members() (urls []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.listedSources(time.Now()) {
		urls = append(urls, s.url)
	}
	return urls
}
