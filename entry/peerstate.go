package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
	"github.com/galenaarch/galenaarch/directory"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/membership"
)

// Publication limits, in members of the region.
const (
	// maxMembersReadingAll is the region size up to which every entry reads the
	// reports of all servers. In larger regions each server is read only by the
	// entry it announces to, which publishes the load.
	maxMembersReadingAll = 8
	// maxMembersSharingInFlight is the region size up to which in-flight runs
	// are published.
	maxMembersSharingInFlight = 16
	// loadsPeriodTicks and statePeriodTicks are publication periods, in
	// multiples of publishInterval.
	loadsPeriodTicks = 6
	statePeriodTicks = 2
)

func serverHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (e *Entry) regionSize() int {
	own := membership.RegionOf(e.settings.FailureDomain)
	n := 0
	for _, m := range e.node.Members() {
		if m.Region == own {
			n++
		}
	}
	return n
}

// readsReports reports whether this entry reads a server's reports itself.
func (e *Entry) readsReports(s *fleet.Server) bool {
	return e.regionSize() <= maxMembersReadingAll || e.fleet.AnnouncedHere(s.Server)
}

func (e *Entry) publishAll(ctx context.Context, now time.Time, tick int) {
	size := e.regionSize()
	if size > 1 && size <= maxMembersSharingInFlight {
		e.publishItem(ctx, keyInFlight, e.inFlightItem(), false)
	}
	if size > maxMembersReadingAll && tick%loadsPeriodTicks == 0 {
		e.publishItem(ctx, keyLoads, e.loadsItem(now), false)
	}
	if tick%statePeriodTicks == 0 {
		e.publishItem(ctx, keyState, e.stateItem(now), false)
	}
	e.publishDemand(ctx, now)
}

// inFlightItem returns this entry's in-flight runs by server.
func (e *Entry) inFlightItem() *memberv1.InFlight {
	item := &memberv1.InFlight{}
	for _, s := range e.fleet.All() {
		runs, tokens := s.InFlight(), s.PendingTokens()
		if runs == 0 && tokens == 0 {
			continue
		}
		item.Servers = append(item.Servers, serverHash(s.Server))
		item.Runs = append(item.Runs, uint32(runs))
		item.Tokens = append(item.Tokens, uint32(tokens))
	}
	return item
}

func (e *Entry) loadsItem(now time.Time) *memberv1.ServerLoads {
	item := &memberv1.ServerLoads{}
	for _, s := range e.fleet.All() {
		load := s.Load()
		if load.ReceivedAt.IsZero() || !e.fleet.AnnouncedHere(s.Server) {
			continue
		}
		item.Servers = append(item.Servers, serverHash(s.Server))
		item.Running = append(item.Running, uint32(load.Running))
		item.Waiting = append(item.Waiting, uint32(load.Waiting))
		item.WaitingTokens = append(item.WaitingTokens, uint32(load.WaitingTokens))
		item.AgeMs = max(item.AgeMs, uint32(now.Sub(load.ReceivedAt).Milliseconds()))
	}
	return item
}

func (e *Entry) stateItem(now time.Time) *memberv1.EntryState {
	return &memberv1.EntryState{
		Requests:       uint32(e.tracker.inFlight.Load()),
		Overloaded:     e.overloaded(),
		CutOff:         e.checkDispatch(now) != nil || e.joining(now),
		ConfigRevision: e.config.View().Revision,
	}
}

func (e *Entry) serversByHash() map[uint32]*fleet.Server {
	servers := make(map[uint32]*fleet.Server)
	for _, s := range e.fleet.All() {
		servers[serverHash(s.Server)] = s
	}
	return servers
}

// applyInFlight stores another entry's in-flight runs. A server that is not
// listed has none.
func (e *Entry) applyInFlight(instance string, value []byte) {
	var item memberv1.InFlight
	if proto.Unmarshal(value, &item) != nil || len(item.Servers) != len(item.Runs) || len(item.Servers) != len(item.Tokens) {
		return
	}
	indexByHash := make(map[uint32]int, len(item.Servers))
	for i, hash := range item.Servers {
		indexByHash[hash] = i
	}
	now := time.Now()
	for hash, s := range e.serversByHash() {
		load := fleet.PeerLoad{ReceivedAt: now}
		if i, ok := indexByHash[hash]; ok {
			load.InFlight, load.PendingTokens = int64(item.Runs[i]), int64(item.Tokens[i])
		}
		s.SetPeerLoad(instance, load)
	}
}

func (e *Entry) applyLoads(value []byte) {
	var item memberv1.ServerLoads
	if proto.Unmarshal(value, &item) != nil {
		return
	}
	n := len(item.Servers)
	if len(item.Running) != n || len(item.Waiting) != n || len(item.WaitingTokens) != n {
		return
	}
	servers := e.serversByHash()
	receivedAt := time.Now().Add(-time.Duration(item.AgeMs) * time.Millisecond)
	for i, hash := range item.Servers {
		s := servers[hash]
		if s == nil || e.readsReports(s) {
			continue
		}
		s.SetLoad(fleet.Load{
			Running: int(item.Running[i]), Waiting: int(item.Waiting[i]), WaitingTokens: int(item.WaitingTokens[i]), ReceivedAt: receivedAt,
		})
	}
}

func (e *Entry) applyState(instance string, value []byte) {
	state := &memberv1.EntryState{}
	if proto.Unmarshal(value, state) != nil {
		return
	}
	e.peerStatesMu.Lock()
	defer e.peerStatesMu.Unlock()
	e.peerStates[instance] = state
}

// removeDepartedPeers removes the state and loan requests of instances that are
// no longer members.
func (e *Entry) removeDepartedPeers(members []membership.Member) {
	e.peerStatesMu.Lock()
	defer e.peerStatesMu.Unlock()
	for instance := range e.peerStates {
		if !isMember(members, instance) {
			delete(e.peerStates, instance)
		}
	}
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	for instance := range e.peerLoanRequests {
		if !isMember(members, instance) {
			delete(e.peerLoanRequests, instance)
		}
	}
}

// directoryCandidates returns the entries to which clients may be directed.
func (e *Entry) directoryCandidates(now time.Time) []directory.Candidate {
	e.peerStatesMu.Lock()
	defer e.peerStatesMu.Unlock()
	var list []directory.Candidate
	for _, m := range e.node.Members() {
		state := e.peerStates[m.Instance]
		if m.Instance == e.settings.Instance {
			state = e.stateItem(now)
		}
		list = append(list, directory.Candidate{
			Member:         m,
			ActiveRequests: int(state.GetRequests()),
			Overloaded:     state.GetOverloaded(),
			NotAccepting:   state.GetCutOff(),
		})
	}
	return list
}
