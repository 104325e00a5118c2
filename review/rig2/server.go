package rig2

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a backend server with an engine. It may crash and start again under its ID.
type Server struct {
	ID, Service, Address, Zone string
	World                      *World
	// Handle serves what is sent on by the fronts, as the incarnation that is given.
	Handle func(in *Incarnation, rw http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	current *Incarnation
}

// Incarnation is one run of a server.
type Incarnation struct {
	*Server
	Software string
	Born     int64
	ctx      context.Context
	end      context.CancelFunc
	http     *http.Server
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
}

// Start starts a server with a software version. Its heartbeats begin after a delay.
func (s *Server) Start(software string, late time.Duration) error {
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return err
	}
	in := &Incarnation{Server: s, Software: software, Born: time.Now().UnixMilli(), listener: l, conns: make(map[net.Conn]bool)}
	in.ctx, in.end = context.WithCancel(context.Background())
	in.http = &http.Server{Handler: http.HandlerFunc(in.serve), IdleTimeout: 30 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		in.mu.Lock()
		defer in.mu.Unlock()
		switch {
		case state == http.StateClosed:
			delete(in.conns, c)
		case in.closed:
			reset(c)
		default:
			in.conns[c] = true
		}
	}}
	s.mu.Lock()
	s.current = in
	s.mu.Unlock()
	s.World.Log("server %s (%s) starts at %s, born %d, first heartbeat %v later", s.ID, software, s.Address, in.Born, late)
	go func() { _ = in.http.Serve(l) }() // ends with the incarnation
	go in.announce(late)
	return nil
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closed in any case
	}
	_ = c.Close()
}

// Crash ends the current incarnation: its connections are reset, and new ones are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	in := s.current
	s.mu.Unlock()
	s.World.Log("server %s (%s) crashes", s.ID, in.Software)
	in.mu.Lock()
	in.closed = true
	for c := range in.conns {
		reset(c)
	}
	in.mu.Unlock()
	_ = in.http.Close()
	in.end()
}

// Cut partitions the server from those that call it: its connections are reset and new ones are refused,
// while it runs on and its heartbeats go out.
func (s *Server) Cut() {
	in := s.Current()
	s.World.Log("server %s: partitioned from the fronts that run", s.ID)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	_ = in.listener.Close() // closed in any case
	for c := range in.conns {
		reset(c)
	}
}

// Heal ends a partition.
func (s *Server) Heal() error {
	in := s.Current()
	s.World.Log("server %s: partition ends", s.ID)
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed, in.listener = false, l
	go func() { _ = in.http.Serve(l) }() // ends with the incarnation
	return nil
}

// Current returns the current incarnation.
func (s *Server) Current() *Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Ended reports whether the incarnation has crashed.
func (in *Incarnation) Ended() bool { return in.ctx.Err() != nil }

// announce sends heartbeats.
func (in *Incarnation) announce(late time.Duration) {
	client := &http.Client{Timeout: time.Second}
	node := 0
	for sequence, wait := 1, late; ; sequence, wait = sequence+1, HeartbeatInterval {
		select {
		case <-in.ctx.Done():
			return
		case <-time.After(wait):
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":"ready","cold_left_ms":0,"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
			in.Service, in.Address, in.Zone, in.Software, sequence, in.Born)
		for range len(in.World.Cores) {
			if in.beat(client, in.World.Cores[node%len(in.World.Cores)], body) {
				break
			}
			node++
		}
		if sequence == 1 {
			in.World.Log("server %s (%s) has sent its first heartbeat", in.ID, in.Software)
		}
	}
}

// beat sends a heartbeat to one core machine.
func (in *Incarnation) beat(client *http.Client, m *Machine, body string) bool {
	r, err := http.NewRequestWithContext(in.ctx, http.MethodPut, m.ControlURL()+"/instances/"+in.ID, stringsReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// serve serves one call.
func (in *Incarnation) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Server-Load", "1,0,64")
	h.Set("X-Instance-Id", in.ID)
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != in.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.WriteHeader(http.StatusOK)
	case "/report":
		writeJSON(rw, map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 77104, "handles": 0, "runs": []any{}, "born": in.Born,
		})
	case "/kv-list":
		writeJSON(rw, map[string]any{"boot_epoch": in.Born, "next": 1, "held": []any{}, "born": in.Born})
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
		}
		writeJSON(rw, map[string]any{"boot_epoch": in.Born, "next": 1, "lost": false, "events": []any{}, "born": in.Born})
	default:
		if r.Header.Get("X-Request-Id") == "" {
			h.Set("X-Not-Executed", "1")
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		h.Set("X-Response-Seal", in.ID+"."+r.Header.Get("X-Request-Id"))
		in.Handle(in, rw, r)
	}
}

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

// Stream answers with events that name the software, behind the last event that the caller has.
func (in *Incarnation) Stream(rw http.ResponseWriter, r *http.Request, events int, pause time.Duration) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.WriteHeader(http.StatusOK)
	for n := last + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-in.ctx.Done():
			panic(http.ErrAbortHandler) // no end of the answer
		case <-time.After(pause):
		}
		end := ""
		if n == events {
			end = " end"
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d%s\n\n", n, in.Software, in.Born, end); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}
