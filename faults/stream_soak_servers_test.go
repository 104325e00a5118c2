package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// firstSoftware is the software version that servers run at first.
const firstSoftware = "v1"

// soakServer is a backend server that falls silent, drains, ends and restarts.
type soakServer struct {
	*platformtest.Server
	service string

	mu       sync.Mutex
	id       string
	software string
	born     time.Time
	sequence int
	// state is announced; a server without one has ended. leaving is set while the server
	// drains or has ended.
	state   string
	leaving bool
	// busyUntil is when the responses in progress end, if the server is not silent.
	busyUntil, silentUntil time.Time
	ends                   []serverEnd
	// incarnations is the number of incarnations that have ended.
	incarnations int
	weights      engineWeights
}

// serverEnd is an end of a server, or of its connections only. Its connections end a short time after it.
type serverEnd struct {
	at      time.Time
	crashed bool
}

// newServer starts a server.
func (s *streamSoak) newServer(service string) *soakServer {
	id := fmt.Sprintf("i-%s-%d", service, len(s.all))
	server := &soakServer{Server: platformtest.New(s.t, id), service: service, id: id, software: firstSoftware, born: time.Now(), state: "ready"}
	server.SetHandler(func(r *platformtest.Request) platformtest.Response { return s.respond(server, r) })
	return server
}

// announce sends the heartbeats of a server.
func (s *streamSoak) announce(ctx context.Context, server *soakServer) {
	for ctx.Err() == nil {
		server.mu.Lock()
		server.sequence++
		h := platformtest.Heartbeat{Service: server.service, ID: server.id, Software: server.software, State: server.state, Born: server.born.UnixMilli(), Sequence: server.sequence}
		server.mu.Unlock()
		if isEngine(server.service) {
			h.Models, h.Version = []string{soakModel}, server.weights.currentVersion()
		}
		if h.State != "" {
			s.anyControl(func(control string) bool { return server.Announce(ctx, control, h) })
		}
		time.Sleep(announceInterval)
	}
}

// respond returns the response of a server to a request. platformtest calls it with its lock
// held.
func (s *streamSoak) respond(server *soakServer, r *platformtest.Request) platformtest.Response {
	path, _, _ := strings.Cut(r.Target, "?")
	if s.intercept != nil {
		if reply, ok := s.intercept(server, path, r); ok {
			return reply
		}
	}
	switch path {
	case "/kv-events":
		return platformtest.Response{Status: http.StatusOK, Body: `{"boot_epoch":1,"next":1,"lost":false,"events":[]}`, Delay: 800 * time.Millisecond}
	case "/report":
		server.mu.Lock()
		born := server.born.UnixMilli()
		server.mu.Unlock()
		return platformtest.Response{Status: http.StatusOK, Body: fmt.Sprintf(`{"models":[{"name":%q,"version":1}],"busy":false,"sequence":0,"born":%d}`, soakModel, born)}
	case "/health", "/order", "/kv-list":
		return platformtest.Response{Status: http.StatusOK, Body: "{}"}
	}
	reply := platformtest.Response{Status: http.StatusOK, Delay: 10*time.Millisecond + time.Duration(rand.Int64N(int64(150*time.Millisecond)))}
	s.mu.Lock()
	sent := s.sent[r.ID]
	s.mu.Unlock()
	if sent == nil || r.Method != sent.method || r.Target != sent.path || r.Body != sent.body() {
		s.violation("%s: %s %s with body %q at a server", r.ID, r.Method, r.Target, r.Body)
		return reply
	}
	if sent.events > 0 {
		reply.Events, reply.EventInterval, reply.EventData, reply.CloseDelimited = sent.events, sent.interval, r.ID, rand.IntN(4) == 0
	} else {
		reply.Body, reply.OmitLength = answerTo(r.ID), rand.IntN(8) == 0
	}
	if rand.IntN(60) == 0 {
		reply = platformtest.Response{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: "full"}
	}
	if s.adjust != nil {
		s.adjust(server, r, &reply)
	}
	a := arrival{server: server, id: r.ID, at: r.ReceivedAt, executed: !reply.NotExecuted && !r.Misdirected, lastEventID: r.Header.Get("Last-Event-Id")}
	a.until = server.occupy(a.at.Add(reply.Delay + time.Duration(reply.Events)*reply.EventInterval))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[r.ID] = append(s.arrivals[r.ID], a)
	return reply
}

// occupy records when a response ends and returns that time.
func (server *soakServer) occupy(until time.Time) time.Time {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.silentUntil.After(until) {
		until = server.silentUntil
	}
	if until.After(server.busyUntil) {
		server.busyUntil = until
	}
	return until
}

// silence makes servers silent: one, several, or all of a service.
func (s *streamSoak) silence(random *rand.Rand) { s.silenceUpTo(maxSilence, random) }

// silenceUpTo is silence with the longest time that it lasts.
func (s *streamSoak) silenceUpTo(longest time.Duration, random *rand.Rand) {
	service := s.all[random.IntN(len(s.all))].service
	share, first := random.IntN(3), true
	lasts := minSilence + time.Duration(random.Int64N(int64(longest-minSilence)))
	var silent []*soakServer
	for _, server := range s.all {
		if server.service != service || share == 0 && !first || share == 1 && random.IntN(2) == 0 {
			continue
		}
		now := time.Now()
		server.mu.Lock()
		if now.After(server.silentUntil.Add(silenceBreak)) {
			server.silentUntil, first = now.Add(lasts), false
			if server.busyUntil.After(now) {
				server.busyUntil = server.busyUntil.Add(lasts)
			}
			silent = append(silent, server)
		}
		server.mu.Unlock()
	}
	for _, server := range silent {
		server.Silence(lasts) // it locks the server, which calls respond with that lock held
	}
}

// finish ends a server, and restarts it as a new incarnation after a time.
func (s *streamSoak) finish(server *soakServer, crashed bool, downtime time.Duration) {
	server.mu.Lock()
	server.state, server.leaving = "", true
	n := server.endIncarnation(crashed)
	server.mu.Unlock()
	server.Crash()
	id := server.CurrentID()
	if !crashed || s.keepsID == nil || !s.keepsID() {
		id = server.idOf(n)
	}
	s.restart(server, id, downtime)
}

// endIncarnation records the end of the server and returns how many incarnations have ended. The caller holds
// server.mu.
func (server *soakServer) endIncarnation(crashed bool) int {
	server.ends = append(server.ends, serverEnd{time.Now(), crashed})
	server.incarnations++
	return server.incarnations
}

// endConnections records that the connections of the server end, which goes on.
func (server *soakServer) endConnections() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.ends = append(server.ends, serverEnd{time.Now(), true})
}

// idOf returns the ID of the incarnation that follows the n-th end of the server.
func (server *soakServer) idOf(n int) string {
	base, _, _ := strings.Cut(server.CurrentID(), "~")
	return fmt.Sprintf("%s~%d", base, n)
}

// restart starts a server that has ended as a new incarnation.
func (s *streamSoak) restart(server *soakServer, id string, downtime time.Duration) {
	if s.nextSoftware != nil {
		software, least := s.nextSoftware(server, id)
		server.mu.Lock()
		server.software = software
		server.mu.Unlock()
		downtime = max(downtime, least)
	}
	time.Sleep(downtime)
	server.weights.restart()
	server.mu.Lock()
	server.born = time.Now() // its report states it from the first call on
	server.mu.Unlock()
	for err := server.Restart(id); err != nil; err = server.Restart(id) {
		s.happened("%s does not restart: %v", id, err)
		time.Sleep(100 * time.Millisecond)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.id, server.sequence, server.state, server.leaving = id, 0, "ready", false
}

// replaceServer drains a server and replaces it by a new incarnation.
func (s *streamSoak) replaceServer(ctx context.Context, server *soakServer) {
	server.mu.Lock()
	taken := server.leaving
	server.leaving = true
	if !taken {
		server.state = "draining"
	}
	incarnations := server.incarnations
	server.mu.Unlock()
	if taken {
		return
	}
	s.happened("%s drains", server.CurrentID())
	time.Sleep(announceInterval + drainTime + time.Duration(rand.Int64N(int64(2*time.Second))))
	server.awaitResponses()
	if !server.endDrain(incarnations) {
		return
	}
	s.anyControl(func(control string) bool { return server.Withdraw(ctx, control) })
	s.finish(server, false, minFaultDuration)
}

// awaitResponses waits until the responses in progress have ended. Silences prolong them meanwhile.
func (server *soakServer) awaitResponses() {
	for {
		server.mu.Lock()
		wait := time.Until(server.busyUntil) + 2*silenceBreak
		server.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// endDrain ends the announcements of a server that drains. It reports false if the server has
// crashed under a request meanwhile, so that it is restarted already.
func (server *soakServer) endDrain(incarnationsBefore int) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.incarnations != incarnationsBefore {
		return false
	}
	server.state = ""
	return true
}

// crashServer ends a server without an announcement.
func (s *streamSoak) crashServer(server *soakServer, downtime time.Duration) {
	server.mu.Lock()
	taken := server.leaving
	server.leaving = true
	if !taken {
		server.state = ""
	}
	server.mu.Unlock()
	if taken {
		return
	}
	s.happened("%s crashes", server.CurrentID())
	d := s.begin(disturbance{name: "crash of " + server.CurrentID(), gateway: -1, window: contactTime})
	defer s.end(d)
	s.finish(server, true, downtime)
}

// TestBreakOfConnectionsEndsNoDrain guards against servers of a soak that drain for ever: one whose connections
// broke meanwhile was taken for one that had been restarted.
func TestBreakOfConnectionsEndsNoDrain(t *testing.T) {
	server := &soakServer{state: "draining"}
	server.endConnections()
	require.True(t, server.endDrain(0))
	require.Empty(t, server.state)

	server.state = "draining"
	server.endIncarnation(true)
	require.False(t, server.endDrain(0), "restarted meanwhile")
}
