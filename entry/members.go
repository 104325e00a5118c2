package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/memberv1"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/membership"
)

// Keys of the items that an entry publishes to the other entries of its region.
const (
	keyServer   = "server/"
	keyLoads    = "loads"
	keyInFlight = "in_flight"
	keyState    = "state"
	keyDemand   = "demand"
)

// publishInterval is the interval at which state is checked for publication.
const publishInterval = 500 * time.Millisecond

// newNode creates this entry's membership node.
func (e *Entry) newNode(ctx *kernel.Context, incarnation uint64) *membership.Node {
	scheme := "http://"
	if e.settings.TLS.TLSEnabled() {
		scheme = "https://"
	}
	return membership.NewNode(membership.Member{
		Instance:      e.settings.Instance,
		FailureDomain: e.settings.FailureDomain,
		Region:        membership.RegionOf(e.settings.FailureDomain),
		ClientURL:     publicScheme(&e.settings) + e.settings.Listen,
		PeerURL:       scheme + e.settings.PeerListen,
		BackendURL:    "http://" + e.settings.BackendListen,
		Incarnation:   incarnation,
	}, membership.Options{
		Seeds:      settings.SplitList(e.settings.Peers),
		Logger:     ctx.Logger,
		Registerer: ctx.Registry,
		Transport:  e.transport.HTTPTransport(),
		Handler:    e.applyEvents,
		Config:     e.configDeltaFor,
	})
}

// applyEvents processes items published by other entries.
func (e *Entry) applyEvents(events []membership.Event) {
	servers := make(map[string]bool)
	for _, event := range events {
		if event.Instance == e.settings.Instance {
			continue
		}
		switch {
		case event.Key == "" || strings.HasPrefix(event.Key, keyServer):
			servers[event.Instance] = true
		case event.Key == keyLoads:
			e.applyLoads(event.Value)
		case event.Key == keyInFlight:
			e.applyInFlight(event.Instance, event.Value)
		case event.Key == keyState:
			e.applyState(event.Instance, event.Value)
		case event.Key == keyDemand:
			e.applyDemand(event.Instance, event.Value)
		}
	}
	members := e.node.Members()
	for instance := range servers {
		e.applyServers(instance, isMember(members, instance))
	}
	e.removeDepartedPeers(members)
}

func isMember(members []membership.Member, instance string) bool {
	for _, m := range members {
		if m.Instance == instance {
			return true
		}
	}
	return false
}

// applyServers merges another entry's records of backend servers into the
// fleet.
func (e *Entry) applyServers(instance string, alive bool) {
	var records []fleet.Record
	for key, value := range e.node.Items(instance, keyServer) {
		record, ok := decodeServerRecord(value)
		if !ok || keyServer+record.Announcement.Server != key {
			e.logger.Warn("invalid server record ignored", slog.String("entry", instance), slog.String("key", key))
			continue
		}
		records = append(records, record)
	}
	e.fleet.ApplyRecords(instance, alive, records, time.Now())
}

func decodeServerRecord(value []byte) (fleet.Record, bool) {
	var wire memberv1.ServerRecord
	if proto.Unmarshal(value, &wire) != nil {
		return fleet.Record{}, false
	}
	var a backend.Announcement
	if json.Unmarshal(wire.Announcement, &a) != nil || a.Server == "" || a.URL == "" {
		return fleet.Record{}, false
	}
	if wire.State > uint32(fleet.StateLeaving) {
		return fleet.Record{}, false
	}
	return fleet.Record{Announcement: a, State: fleet.State(wire.State)}, true
}

// publishServers publishes changes to the servers that announce to this entry.
func (e *Entry) publishServers(ctx context.Context) {
	for server, record := range e.fleet.TakeOutbox() {
		if record == nil {
			e.node.Delete(ctx, keyServer+server, true)
			continue
		}
		announcement, err := json.Marshal(record.Announcement)
		if err != nil {
			e.logger.Error("failed to encode announcement", slog.String("server", server), slog.Any("error", err))
			continue
		}
		e.publishItem(ctx, keyServer+server, &memberv1.ServerRecord{Announcement: announcement, State: uint32(record.State)}, true)
	}
}

func (e *Entry) publishItem(ctx context.Context, key string, value proto.Message, urgent bool) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(value)
	if err != nil {
		e.logger.Error("failed to encode item", slog.String("key", key), slog.Any("error", err))
		return
	}
	e.publishedMu.Lock()
	if !urgent && string(e.published[key]) == string(raw) {
		e.publishedMu.Unlock()
		return
	}
	e.published[key] = raw
	e.publishedMu.Unlock()
	e.node.Put(ctx, key, raw, urgent)
}

// runPublisher publishes this entry's state until ctx is done.
func (e *Entry) runPublisher(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.publishAll(ctx, now, tick)
			e.confirmOrFetchConfig(ctx, now)
		}
	}
}

// confirmOrFetchConfig tells the membership node that the control plane has
// confirmed this entry, as long as the control lease is valid. Otherwise it asks another member for newer configuration.
func (e *Entry) confirmOrFetchConfig(ctx context.Context, now time.Time) {
	if e.config.LeaseValid(now) {
		e.node.Confirm(now)
		return
	}
	if e.config.View().Revision == 0 {
		// A starting instance waits for the control plane, because a member may
		// have an older configuration.
		return
	}
	others := e.node.OtherMembers()
	if len(others) == 0 {
		return
	}
	e.fetchConfig(ctx, others[rand.IntN(len(others))].PeerURL)
}

func (e *Entry) fetchConfig(ctx context.Context, peerURL string) {
	raw, err := e.node.FetchConfig(ctx, peerURL, e.settings.Environment, e.config.View().Revision)
	if err != nil || len(raw) == 0 {
		return
	}
	var delta controlv1.GetConfigResponse
	if err := proto.Unmarshal(raw, &delta); err != nil {
		e.logger.Warn("failed to decode configuration from member", slog.String("peer", peerURL), slog.Any("error", err))
		return
	}
	if applied, err := e.config.Apply(&delta); err != nil {
		e.logger.Warn("configuration from member rejected", slog.String("peer", peerURL), slog.Any("error", err))
	} else if applied {
		e.logger.Info("configuration updated from member", slog.String("peer", peerURL))
	}
}

// configDeltaFor returns the encoded configuration changes after a revision,
// for another entry.
func (e *Entry) configDeltaFor(environment string, knownRevision uint64) []byte {
	if environment != e.settings.Environment {
		return nil
	}
	delta := e.config.DeltaSince(knownRevision)
	if delta == nil {
		return nil
	}
	raw, err := proto.Marshal(delta)
	if err != nil {
		return nil
	}
	return raw
}

// Members implements membership.MemberSource.
func (e *Entry) Members() []membership.Member { return e.node.Members() }

// Interface guard.
var _ membership.MemberSource = (*Entry)(nil)

// publicScheme returns the URL scheme that clients must use.
func publicScheme(s *Settings) string {
	if s.ClientTLS.TLSEnabled() {
		return "https://"
	}
	return "http://"
}
