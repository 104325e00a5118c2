// Package announcer repeats a stand-in's announcement to one of the entries,
// and to another one when that does not answer.
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
	interval      = 400 * time.Millisecond
	timeout       = 400 * time.Millisecond
	maxReplyBytes = 64 << 10
)

// Announcer tells the entries of one backend server, through one of them.
type Announcer struct {
	// Entries are base URLs of entries' backend listeners to begin with.
	Entries []string
	// Current returns the announcement as it stands now.
	Current func() backend.Announcement
	Logger  *slog.Logger

	mu       sync.Mutex
	sequence uint64
	// known lists addresses, the one in use first.
	known []string
}

// Run announces until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	client := &http.Client{Timeout: timeout}
	for ctx.Err() == nil {
		if err := a.announce(ctx, client, a.Current()); err != nil && ctx.Err() == nil {
			a.Logger.Debug("announcement failed", slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// Leave tells the entries that the server wants no new work.
func (a *Announcer) Leave(ctx context.Context) {
	leaving := a.Current()
	leaving.Leaving = true
	_ = a.announce(ctx, &http.Client{Timeout: timeout}, leaving) // silence has the same effect, later
}

// announce tries the addresses in turn until an entry takes the announcement.
func (a *Announcer) announce(ctx context.Context, client *http.Client, announcement backend.Announcement) error {
	last := eris.New("no entry is known")
	for _, entry := range a.addresses() {
		reply, err := a.send(ctx, client, entry, announcement)
		if err == nil {
			a.follow(entry, reply.Entries)
			return nil
		}
		last = err
		a.demote(entry)
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// addresses lists the entries to try: those told last, then the first ones.
func (a *Announcer) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.Clone(a.known)
	for _, entry := range a.Entries {
		if !slices.Contains(list, entry) {
			list = append(list, entry)
		}
	}
	return list
}

// follow keeps to an entry unless it names only others.
func (a *Announcer) follow(entry string, told []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(told) == 0 {
		a.known = []string{entry}
		return
	}
	a.known = slices.Clone(told)
	if i := slices.Index(a.known, entry); i > 0 {
		a.known[0], a.known[i] = a.known[i], a.known[0]
	}
}

func (a *Announcer) demote(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.known, entry); i >= 0 {
		a.known = append(slices.Delete(a.known, i, i+1), entry)
	}
}

func (a *Announcer) next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.sequence
}

func (a *Announcer) send(ctx context.Context, client *http.Client, entry string, announcement backend.Announcement) (*backend.AnnounceResponse, error) {
	announcement.Sequence = a.next()
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
