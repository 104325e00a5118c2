// Package announcer periodically announces a simulated backend server to one entry,
// and fails over to another entry if that one does not accept the announcement.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
)

const (
	announceInterval = 400 * time.Millisecond
	requestTimeout   = 400 * time.Millisecond
	maxReplyBytes    = 64 << 10
)

// Announcer announces one backend server to the entries through one of them.
type Announcer struct {
	// SeedEntries are the initial base URLs of the entries' backend listeners.
	SeedEntries []string
	// BuildAnnouncement returns the current announcement.
	BuildAnnouncement func() backend.Announcement
	Logger            *slog.Logger

	mu       sync.Mutex
	sequence uint64
	// entries are the base URLs from the last response, the one in use first.
	entries []string
}

// Run announces the server periodically until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	client := &http.Client{Timeout: requestTimeout}
	for ctx.Err() == nil {
		if err := a.announce(ctx, client, a.BuildAnnouncement()); err != nil && ctx.Err() == nil {
			a.Logger.Debug("announcement failed", slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// AnnounceLeaving announces that the server wants no new work.
func (a *Announcer) AnnounceLeaving(ctx context.Context) {
	leaving := a.BuildAnnouncement()
	leaving.Leaving = true
	_ = a.announce(ctx, &http.Client{Timeout: requestTimeout}, leaving) // if it fails, the entries remove the server when its announcements stop
}

// announce tries the known entries in turn until one accepts the announcement.
func (a *Announcer) announce(ctx context.Context, client *http.Client, announcement backend.Announcement) error {
	lastErr := eris.New("no entries are configured")
	for _, entry := range a.candidates() {
		reply, err := a.post(ctx, client, entry, announcement)
		if err == nil {
			a.setEntries(entry, reply.Entries)
			return nil
		}
		lastErr = err
		a.demote(entry)
		if ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

// candidates returns the entries to try: those from the last response, then the
// initial ones.
func (a *Announcer) candidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.Clone(a.entries)
	for _, entry := range a.SeedEntries {
		if !slices.Contains(list, entry) {
			list = append(list, entry)
		}
	}
	return list
}

// setEntries stores the entries from a response and puts the current one first if it is
// among them. An empty list leaves only the current entry.
func (a *Announcer) setEntries(entry string, advertised []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(advertised) == 0 {
		a.entries = []string{entry}
		return
	}
	a.entries = slices.Clone(advertised)
	if i := slices.Index(a.entries, entry); i > 0 {
		a.entries[0], a.entries[i] = a.entries[i], a.entries[0]
	}
}

// demote moves a failed entry to the end of the known entries.
func (a *Announcer) demote(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.entries, entry); i >= 0 {
		a.entries = append(slices.Delete(a.entries, i, i+1), entry)
	}
}

// nextSequence increments the sequence number and returns it.
func (a *Announcer) nextSequence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.sequence
}

// post sends an announcement to an entry under the next sequence number; a status other
// than 200 is an error.
func (a *Announcer) post(ctx context.Context, client *http.Client, entry string, announcement backend.Announcement) (*backend.AnnounceResponse, error) {
	announcement.Sequence = a.nextSequence()
	raw, err := json.Marshal(announcement)
	if err != nil {
		return nil, eris.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/backend/v1/announce", bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(err, "announce to %s", entry)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "announce to %s", entry)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("announce to %s: status %d", entry, resp.StatusCode)
	}
	var reply backend.AnnounceResponse
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply)
	return &reply, eris.Wrapf(err, "announce to %s", entry)
}
