package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
)

// Times and bounds of what entry instances tell each other.
const (
	// tellPause gathers what changes at about the same time.
	tellPause = 8 * time.Millisecond
	// tellEvery renews a word that has not changed while there is work.
	tellEvery   = 400 * time.Millisecond
	tellTimeout = 300 * time.Millisecond
	// wordLife is how long a word that is not renewed counts.
	wordLife = time.Second
	// silentPause spares a peer that did not answer.
	silentPause = 2 * time.Second
	// maxPeers bounds whom an instance tells: the cost grows with the square of
	// their number. Where there are cells, only those of its failure domain send to
	// the same servers.
	maxPeers = 8
)

// word is what another instance last told.
type word struct {
	started  int64
	sequence uint64
	heard    time.Time
	reading  map[string]int
}

// peers shares the prompts that are being read. A server's own word on its load
// comes with an answer; long prompts of several instances would meet at one
// server before that.
type peers struct {
	self    *fleetv1.EntryInstance
	client  *http.Client
	logger  *slog.Logger
	changed chan struct{}

	mu       sync.Mutex
	own      map[string]int
	words    map[string]*word
	sequence uint64
	silent   map[string]time.Time
	clients  map[string]fleetv1.Entries
}

func newPeers(self *fleetv1.EntryInstance, client *http.Client, logger *slog.Logger) *peers {
	return &peers{
		self: self, client: client, logger: logger, changed: make(chan struct{}, 1), own: make(map[string]int),
		words: make(map[string]*word), silent: make(map[string]time.Time), clients: make(map[string]fleetv1.Entries),
	}
}

var _ fleetv1.Entries = (*peers)(nil)

// add counts tokens that a server has to read, or no longer has.
func (p *peers) add(server string, tokens int) {
	p.mu.Lock()
	p.own[server] += tokens
	if p.own[server] == 0 {
		delete(p.own, server)
	}
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// reading is what the other instances have sent to each server.
func (p *peers) reading(now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := make(map[string]int)
	for name, w := range p.words {
		if now.Sub(w.heard) > wordLife {
			delete(p.words, name)
			continue
		}
		for server, tokens := range w.reading {
			sum[server] += tokens
		}
	}
	return sum
}

// Tell implements fleetv1.Entries.
func (p *peers) Tell(_ context.Context, r *fleetv1.TellRequest) (*fleetv1.TellResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.words[r.Entry]
	if held != nil && (r.StartedUnixMs < held.started || (r.StartedUnixMs == held.started && r.Sequence <= held.sequence)) {
		return &fleetv1.TellResponse{}, nil
	}
	w := &word{started: r.StartedUnixMs, sequence: r.Sequence, heard: time.Now(), reading: make(map[string]int, len(r.Work))}
	for _, s := range r.Work {
		w.reading[s.Server] = int(s.ReadingTokens)
	}
	p.words[r.Entry] = w
	return &fleetv1.TellResponse{}, nil
}

// run tells the others until the context ends.
func (p *peers) run(ctx context.Context, view *fleetview.View) {
	renew := time.NewTicker(tellEvery)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
			select {
			case <-ctx.Done():
				return
			case <-time.After(tellPause):
			}
		case <-renew.C:
			p.mu.Lock()
			idle := len(p.own) == 0
			p.mu.Unlock()
			if idle {
				continue
			}
		}
		p.tellAll(ctx, view.Current().Entries)
	}
}

func (p *peers) tellAll(ctx context.Context, entries map[string]*fleetv1.EntryInstance) {
	p.mu.Lock()
	p.sequence++
	req := &fleetv1.TellRequest{Entry: p.self.Name, StartedUnixMs: p.self.StartedUnixMs, Sequence: p.sequence}
	for server, tokens := range maps.All(p.own) {
		req.Work = append(req.Work, &fleetv1.ServerWork{Server: server, ReadingTokens: uint32(max(0, tokens))})
	}
	p.mu.Unlock()
	told := 0
	for name, e := range entries {
		if name == p.self.Name || e.PeerUrl == "" || told >= maxPeers || (placement.Celled(len(entries)) && e.Zone != p.self.Zone) {
			continue
		}
		if c := p.reachable(e.PeerUrl, time.Now()); c != nil {
			told++
			go p.tell(ctx, e.PeerUrl, c, req)
		}
	}
}

func (p *peers) reachable(url string, now time.Time) fleetv1.Entries {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.silent[url]) {
		return nil
	}
	c := p.clients[url]
	if c == nil {
		c = fleetv1.NewEntriesProtobufClient(url, p.client)
		p.clients[url] = c
	}
	return c
}

func (p *peers) tell(ctx context.Context, url string, c fleetv1.Entries, req *fleetv1.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if _, err := c.Tell(ctx, req); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silent[url] = time.Now().Add(silentPause)
		p.logger.Debug("entry instance not told", slog.String("peer", url), slog.Any("error", err))
	}
}
