package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the configuration.
const (
	host          = "prompts.example"
	engineService = "engines"
	plainService  = "desk"
	apiKey        = "k1a2b3c4d5e6f7g8"
	tenant        = "tenant-1"
	modelName     = "m0"
)

// server is a backend server: an engine, a store or a plain server. It behaves as the pages
// say of a sound one, but for what the case asks of it.
type server struct {
	cluster  *cluster
	id       string
	address  string
	service  string
	engine   bool
	store    bool
	listener net.Listener
	web      *http.Server
	born     int64
	sequence atomic.Int64
	// inTrouble is set while event polls are answered as eventTrouble says.
	inTrouble    atomic.Bool
	eventTrouble func(w http.ResponseWriter)
	troubles     atomic.Int64
	// work answers the requests of clients; the default is a stream or a short body.
	work func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	mu  sync.Mutex
	ran map[string]int
}

// newServer starts a server at a loopback address of its own.
func newServer(c *cluster, id, service, ip string) (*server, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{cluster: c, id: id, service: service, address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(), ran: make(map[string]int)}
	s.engine = service == engineService
	s.store = service == ""
	s.web = &http.Server{Handler: s, IdleTimeout: 20 * time.Second}
	go func() { _ = s.web.Serve(l) }()
	return s, nil
}

// announce sends heartbeats until stop is closed.
func (s *server) announce(stop <-chan struct{}) {
	for i := 0; ; i++ {
		s.beat("ready", i)
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// beat sends one heartbeat, to the next node if one does not acknowledge it.
func (s *server) beat(state string, from int) bool {
	models := ""
	if s.engine {
		models = fmt.Sprintf(`"stage":"colocated","models":[{"name":%q,"version":1,"adapters":[]}],`, modelName)
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":64,"state":%q,"cold_left_ms":0,%s"sequence":%d,"born":%d}`,
		s.service, s.address, state, models, s.sequence.Add(1), s.born)
	for i := range s.cluster.control {
		m := s.cluster.control[(from+i)%len(s.cluster.control)]
		if status, _ := call(http.MethodPut, "http://"+m.address(s.cluster.ports.control)+"/instances/"+s.id, body, time.Second); status == http.StatusOK {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/kv-events":
		s.events(w, r)
	case r.URL.Path == "/kv-list":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"boot_epoch":%d,"next":0,"held":[]}`, s.born)
	case r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":77104,"handles":0}`, modelName)
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.id)
	default:
		s.run(w, r, body)
	}
}

// events answers a poll for events: there are none.
func (s *server) events(w http.ResponseWriter, r *http.Request) {
	if s.inTrouble.Load() && s.eventTrouble != nil {
		s.troubles.Add(1)
		s.eventTrouble(w)
		return
	}
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"boot_epoch":%d,"next":0,"lost":false,"events":[]}`, s.born)
}

// run runs a request of a client.
func (s *server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal-"+s.id+"-"+id)
	h.Set("X-Instance-Id", s.id)
	h.Set("X-Server-Load", "1,0,64")
	if s.work != nil {
		s.work(s, w, r, body)
		return
	}
	if !s.engine {
		time.Sleep(20 * time.Millisecond)
		h.Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	for i := 1; i <= 10; i++ {
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

var fillerBytes = envInt("FILLER", 16)

// endlessHead sends a head without end until the caller closes: header lines.
func endlessHead(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	out := bufio.NewWriterSize(connection, 32<<10)
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(out, "X-Filler-%d: %s\r\n", i, strings.Repeat("x", fillerBytes)); err != nil {
			return
		}
	}
}

// endlessLine sends a single header line without end.
func endlessLine(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, err = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Filler: ")
	filler := []byte(strings.Repeat("x", 32<<10))
	for err == nil {
		_, err = connection.Write(filler)
	}
}

// endlessBody sends a body without end.
func endlessBody(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	filler := []byte(strings.Repeat("x", 32<<10))
	_, err := io.WriteString(w, `{"boot_epoch":"`)
	for err == nil {
		_, err = w.Write(filler)
	}
}
