package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
)

// Times and bounds of what entry instances tell each other.
const (
	// tellPause gathers what changes at about the same time; celledPause is that
	// where an instance tells as many as it may: each word costs both sides.
	tellPause   = 8 * time.Millisecond
	celledPause = 25 * time.Millisecond
	// tellEvery renews a word that has not changed while there is work.
	tellEvery   = 400 * time.Millisecond
	tellTimeout = 300 * time.Millisecond
	// wordLife is how long a word that is not renewed counts.
	wordLife = time.Second
	// silentPause spares a peer that did not answer.
	silentPause = 2 * time.Second
	// maxPeers bounds whom an instance tells of its own work: the cost grows with
	// the square of their number. Where there are cells, it tells those of its
	// failure domain.
	maxPeers = 8
	// zoneEvery lies between two words to each other failure domain, where there
	// are cells; zoneLife is how long such a word counts.
	zoneEvery = 100 * time.Millisecond
	zoneLife  = 500 * time.Millisecond
)

// word is what another instance last told.
type word struct {
	started  int64
	sequence uint64
	heard    time.Time
	load     map[string]dispatch.Load
}

// peers shares the work at engines, and which servers leave. A server's own word on
// its load comes with an answer; long prompts of several instances would meet at
// one server before that, and fill its memory.
//
// Where there are cells, an instance tells the others of its failure domain of its
// own work, and one of each other domain in turn of the whole domain's: every
// instance knows all work, some hundred ms old if it is from elsewhere, and what it
// sends and gets grows with the number of domains, not of instances.
type peers struct {
	self    *fleetv1.EntryInstance
	client  *http.Client
	logger  *slog.Logger
	changed chan struct{}

	// sum is what the others have at each server, by their last words; stale says
	// that it must be added up again. Words come far more often than decisions.
	sum   atomic.Pointer[map[string]dispatch.Load]
	stale atomic.Bool
	// hears is called after a word of another instance, with the lives of servers
	// that it says leave.
	hears func(leaving []life, from string)

	mu      sync.Mutex
	own     map[string]dispatch.Load
	leavers []life
	// zones are the words on whole failure domains, turn picks whom of one to tell.
	zones    map[string]*word
	turn     int
	words    map[string]*word
	sequence uint64
	silent   map[string]time.Time
	clients  map[string]fleetv1.Entries
}

func newPeers(self *fleetv1.EntryInstance, client *http.Client, logger *slog.Logger) *peers {
	p := &peers{
		self: self, client: client, logger: logger, changed: make(chan struct{}, 1), own: make(map[string]dispatch.Load), zones: make(map[string]*word), hears: func([]life, string) {},
		words: make(map[string]*word), silent: make(map[string]time.Time), clients: make(map[string]fleetv1.Entries),
	}
	p.sum.Store(&map[string]dispatch.Load{})
	return p
}

var _ fleetv1.Entries = (*peers)(nil)

// set notes what this instance has at a server.
func (p *peers) set(server string, l dispatch.Load) {
	p.mu.Lock()
	if l == (dispatch.Load{}) {
		delete(p.own, server)
	} else {
		p.own[server] = l
	}
	p.mu.Unlock()
	p.wake()
}

// leaving has the others told that a server leaves.
func (p *peers) leaving(who life) {
	p.mu.Lock()
	if p.leavers = append(p.leavers, who); len(p.leavers) > mostToldLeavers {
		p.leavers = p.leavers[1:]
	}
	p.mu.Unlock()
	p.wake()
}

// mostToldLeavers is of how many servers that leave the others are told in each
// word; control tells them of all.
const mostToldLeavers = 16

func (p *peers) wake() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// told is what the other instances have at each server. It must not be modified.
func (p *peers) told() map[string]dispatch.Load {
	if p.stale.Swap(false) {
		p.mu.Lock()
		p.addUp(time.Now())
		p.mu.Unlock()
	}
	return *p.sum.Load()
}

// knows reports whether the work of a failure domain's instances is known; the
// caller's own domain is.
func (p *peers) knows(zone string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.zones[zone]
	return zone == p.self.Zone || (w != nil && now.Sub(w.heard) < zoneLife)
}

// addUp brings the sum up to date; the caller holds the lock.
func (p *peers) addUp(now time.Time) {
	sum := make(map[string]dispatch.Load)
	for name, w := range p.words {
		if now.Sub(w.heard) > wordLife {
			delete(p.words, name)
			continue
		}
		addTo(sum, w.load)
	}
	for zone, w := range p.zones {
		if now.Sub(w.heard) > zoneLife {
			delete(p.zones, zone)
			continue
		}
		addTo(sum, w.load)
	}
	p.sum.Store(&sum)
}

func addTo(sum, more map[string]dispatch.Load) {
	for server, l := range more {
		s := sum[server]
		s.Requests, s.Reading, s.Later, s.Held = s.Requests+l.Requests, s.Reading+l.Reading, s.Later+l.Later, s.Held+l.Held
		sum[server] = s
	}
}

// Tell implements fleetv1.Entries.
func (p *peers) Tell(_ context.Context, r *fleetv1.TellRequest) (*fleetv1.TellResponse, error) {
	if p.take(r) {
		leaving := make([]life, len(r.Leaving))
		for i, l := range r.Leaving {
			leaving[i] = life{l.Server, l.BornUnixMs}
		}
		p.hears(leaving, r.Entry)
	}
	return &fleetv1.TellResponse{}, nil
}

// take takes a word and reports whether it is the newest of its instance.
func (p *peers) take(r *fleetv1.TellRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Zone != "" {
		return p.takeZone(r)
	}
	held := p.words[r.Entry]
	if held != nil && (r.StartedUnixMs < held.started || (r.StartedUnixMs == held.started && r.Sequence <= held.sequence)) {
		return false
	}
	now := time.Now()
	p.words[r.Entry] = &word{started: r.StartedUnixMs, sequence: r.Sequence, heard: now, load: decodeWork(r.Work)}
	p.stale.Store(true)
	return true
}

// takeZone takes a word on a whole failure domain: the last one heard counts,
// whichever of its instances it is from. The caller holds the lock.
func (p *peers) takeZone(r *fleetv1.TellRequest) bool {
	if r.Zone == p.self.Zone {
		return false
	}
	now := time.Now()
	p.zones[r.Zone] = &word{heard: now, load: decodeWork(r.Work)}
	p.stale.Store(true)
	return true
}

func decodeWork(work []*fleetv1.ServerWork) map[string]dispatch.Load {
	load := make(map[string]dispatch.Load, len(work))
	for _, s := range work {
		load[s.Server] = dispatch.Load{Requests: int(s.Requests), Reading: int(s.ReadingTokens), Later: int(s.LaterTokens), Held: int(s.HeldTokens)}
	}
	return load
}

func encodeWork(load map[string]dispatch.Load) []*fleetv1.ServerWork {
	work := make([]*fleetv1.ServerWork, 0, len(load))
	for server, l := range load {
		work = append(work, &fleetv1.ServerWork{
			Server: server, ReadingTokens: uint32(max(0, l.Reading)), LaterTokens: uint32(max(0, l.Later)), HeldTokens: uint32(max(0, l.Held)), Requests: uint32(max(0, l.Requests)),
		})
	}
	return work
}

// run tells the others until the context ends.
func (p *peers) run(ctx context.Context, view *fleetview.View) {
	renew, zones := time.NewTicker(tellEvery), time.NewTicker(zoneEvery)
	defer renew.Stop()
	defer zones.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
			select {
			case <-ctx.Done():
				return
			case <-time.After(pauseFor(len(view.Current().Entries))):
			}
		case <-zones.C:
			p.tellZones(ctx, view.Current().Entries)
			continue
		case <-renew.C:
			p.mu.Lock()
			idle := len(p.own) == 0
			p.stale.Store(true)
			p.mu.Unlock()
			if idle {
				continue
			}
		}
		p.tellAll(ctx, view.Current().Entries)
	}
}

// pauseFor is how long changes are gathered among so many entry instances.
func pauseFor(entries int) time.Duration {
	if placement.Celled(entries) {
		return celledPause
	}
	return tellPause
}

func (p *peers) tellAll(ctx context.Context, entries map[string]*fleetv1.EntryInstance) {
	p.mu.Lock()
	p.sequence++
	req := &fleetv1.TellRequest{Entry: p.self.Name, StartedUnixMs: p.self.StartedUnixMs, Sequence: p.sequence}
	req.Work = encodeWork(p.own)
	for _, who := range p.leavers {
		req.Leaving = append(req.Leaving, &fleetv1.ServerLife{Server: who.server, BornUnixMs: who.born})
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

// tellZones tells one instance of each other failure domain, in turn, of the work of
// all of this one, where there are cells.
func (p *peers) tellZones(ctx context.Context, entries map[string]*fleetv1.EntryInstance) {
	if !placement.Celled(len(entries)) {
		return
	}
	byZone := make(map[string][]string)
	for name, e := range entries {
		if e.Zone != p.self.Zone && e.PeerUrl != "" {
			byZone[e.Zone] = append(byZone[e.Zone], name)
		}
	}
	p.mu.Lock()
	now := time.Now()
	work := maps.Clone(p.own)
	for _, w := range p.words {
		if now.Sub(w.heard) <= wordLife {
			addTo(work, w.load)
		}
	}
	p.turn++
	req := &fleetv1.TellRequest{Entry: p.self.Name, StartedUnixMs: p.self.StartedUnixMs, Zone: p.self.Zone, Work: encodeWork(work)}
	p.mu.Unlock()
	for _, names := range byZone {
		slices.Sort(names)
		// Each instance begins elsewhere, so that all of a domain are told.
		peer := entries[names[(p.turn+int(placement.Rank(p.self.Name, "")%uint64(len(names))))%len(names)]]
		if c := p.reachable(peer.PeerUrl, now); c != nil {
			go p.tell(ctx, peer.PeerUrl, c, req)
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
	_, err := c.Tell(ctx, req)
	p.mu.Lock()
	defer p.mu.Unlock()
	_, lost := p.silent[url]
	if err != nil {
		p.silent[url] = time.Now().Add(silentPause)
		if !lost {
			p.logger.Info("entry instance not told", slog.String("peer", url), slog.Any("error", err))
		}
		return
	}
	if lost {
		delete(p.silent, url)
		p.logger.Info("entry instance told again", slog.String("peer", url))
	}
}
