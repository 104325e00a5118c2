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
)

// noteSoftware records the software versions in a response to a poll that began at startedAt.
// The caller holds the lock.
func (v *View) noteSoftware(s *source, r *fleetv1.SyncResponse, startedAt time.Time) {
	now := time.Now()
	for _, a := range r.Announcements {
		v.software.Seen(dispatch.Software{Service: a.Service, Version: a.Software}, now)
	}
	for _, known := range r.Software {
		age := time.Duration(min(known.AgeMs, uint64(softwareRetention.Milliseconds()))) * time.Millisecond
		v.software.Seen(dispatch.Software{Service: known.Service, Version: known.Software}, now.Add(-age))
	}
	if s.softwareKnownSince.IsZero() {
		// Later ones are of no account: from the first response on, this process knows what
		// the instance knows.
		s.softwareKnownSince = startedAt.Add(-time.Duration(min(r.SoftwareHistoryMs, uint64(softwareRetention.Milliseconds()))) * time.Millisecond)
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
	return dispatch.NewSoftwareView(&v.software, serving, v.softwareKnownSince())
}

// softwareKnownSince returns the time since which no software version is missing: that of the
// control instance that knows the least. One that has not responded counts from when its
// servers were announced elsewhere. The caller holds the lock.
func (v *View) softwareKnownSince() (since time.Time) {
	for _, s := range v.sources {
		known := s.softwareKnownSince
		if known.IsZero() {
			known = s.addedAt.Add(relocationTime)
		}
		if known.After(since) {
			since = known
		}
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

// LookUpStream asks a control instance which software began a stream; nil if it has no record.
func (v *View) LookUpStream(ctx context.Context, url string, stream []byte) (*dispatch.Software, error) {
	client, err := v.controlClient(url)
	if err != nil {
		return nil, err
	}
	response, err := client.LookUpStream(ctx, &fleetv1.LookUpStreamRequest{Stream: stream})
	if err != nil || !response.Known {
		return nil, err
	}
	return &dispatch.Software{Service: response.Service, Version: response.Software}, nil
}
