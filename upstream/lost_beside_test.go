package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingServer accepts connections until it ends, and may start again at its address.
type endingServer struct {
	t        *testing.T
	address  string
	listener net.Listener
	accepted []net.Conn
}

func newEndingServer(t *testing.T) *endingServer {
	t.Helper()
	s := &endingServer{t: t, address: "127.0.0.1:0"}
	s.start()
	s.address = s.listener.Addr().String()
	t.Cleanup(s.end)
	return s
}

func (s *endingServer) start() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		var err error
		s.listener, err = net.Listen("tcp4", s.address)
		return err == nil
	}, time.Second, time.Millisecond)
}

// accept returns the next connection.
func (s *endingServer) accept() net.Conn {
	s.t.Helper()
	c, err := s.listener.Accept()
	require.NoError(s.t, err)
	s.accepted = append(s.accepted, c)
	return c
}

// end resets all connections and refuses new ones.
func (s *endingServer) end() {
	s.listener.Close()
	for _, c := range s.accepted {
		_ = c.(*net.TCPConn).SetLinger(0) // closed already, or reset
		c.Close()
	}
	s.accepted = nil
}

// prepare opens an idle connection and returns the server's end.
func (s *endingServer) prepare(p *Pool) net.Conn {
	s.t.Helper()
	require.NoError(s.t, p.Prepare(s.t.Context()))
	return s.accept()
}

// begin sends a request on an idle connection of the pool, whose server's end is given, and returns when
// the headers of an endless response have arrived.
func (s *endingServer) begin(ctx context.Context, p *Pool, at net.Conn) *Exchange {
	s.t.Helper()
	responded := make(chan error, 1)
	go func() {
		if _, err := at.Read(make([]byte, 4096)); err != nil {
			responded <- err
			return
		}
		_, err := fmt.Fprint(at, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
		responded <- err
	}()
	x, err := p.Send(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
	require.NoError(s.t, err)
	require.NoError(s.t, <-responded)
	return x
}

// settle lets closed connections arrive.
const settle = 20 * time.Millisecond

// Guards against streams at the next incarnation of a server: its end must show whatever other connections
// are open or being closed, and whoever uses the pool first.
func TestEndOfServerShowsBesideOtherConnections(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, s *endingServer, p *Pool){
		"a newer connection is idle": func(t *testing.T, s *endingServer, p *Pool) {
			s.prepare(p)
			s.end()
			s.start()
			s.prepare(p)
		},
		"a canceled request has a connection": func(t *testing.T, s *endingServer, p *Pool) {
			first := s.prepare(p)
			ctx, cancel := context.WithCancel(t.Context())
			x := s.begin(ctx, p, first)
			s.prepare(p)
			s.end()
			s.start()
			time.Sleep(settle)
			require.Nil(t, p.takeIdle(false), "the idle one is closed")
			s.prepare(p)
			cancel()
			time.Sleep(settle)
			x.Abandon()
		},
		"the only connection was that of a canceled request": func(t *testing.T, s *endingServer, p *Pool) {
			ctx, cancel := context.WithCancel(t.Context())
			x := s.begin(ctx, p, s.prepare(p))
			s.end()
			s.start()
			time.Sleep(settle)
			cancel()
			time.Sleep(settle)
			x.Abandon()
			s.prepare(p)
		},
		"a probe is refused": func(t *testing.T, s *endingServer, p *Pool) {
			s.end()
			require.Error(t, p.Probe(t.Context(), 0))
			s.start()
			s.prepare(p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEndingServer(t)
			p := NewPool(s.address, 0)
			defer p.Close()
			end(t, s, p)
			time.Sleep(settle)
			require.NotZero(t, p.LostAt())
		})
	}
}

// Guards against streams that are refused because a server closed one connection by itself, refused one, or
// a client canceled a request: it goes on, as older connections show.
func TestServerThatLivesOnIsNotLost(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, s *endingServer, p *Pool){
		"an idle connection is closed beside an idle one": func(t *testing.T, s *endingServer, p *Pool) {
			s.prepare(p)
			require.NoError(t, s.prepare(p).Close())
		},
		"an idle connection is closed beside one in use": func(t *testing.T, s *endingServer, p *Pool) {
			s.begin(t.Context(), p, s.prepare(p))
			require.NoError(t, s.prepare(p).Close())
		},
		"a request is canceled": func(t *testing.T, s *endingServer, p *Pool) {
			ctx, cancel := context.WithCancel(t.Context())
			x := s.begin(ctx, p, s.prepare(p))
			cancel()
			time.Sleep(settle)
			x.Abandon()
		},
		"a response breaks off beside an older connection": func(t *testing.T, s *endingServer, p *Pool) {
			s.prepare(p)
			second := s.prepare(p)
			x := s.begin(t.Context(), p, second)
			require.NoError(t, second.Close())
			_, err := x.Read(make([]byte, 10))
			require.Error(t, err)
			x.Abandon()
		},
		"a connection is refused beside an older one": func(t *testing.T, s *endingServer, p *Pool) {
			s.prepare(p)
			s.listener.Close()
			require.Error(t, p.Probe(t.Context(), 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEndingServer(t)
			p := NewPool(s.address, 0)
			defer p.Close()
			disturb(t, s, p)
			time.Sleep(settle)
			require.Zero(t, p.LostAt())
		})
	}
}

// Guards against streams that begin at the next incarnation of a server, which was asked which one it is
// before it ended: a connection to the next one must not hide the end.
func TestIdentificationEndsWithServerBesideNewerConnection(t *testing.T) {
	s := newEndingServer(t)
	p := NewPool(s.address, 0)
	defer p.Close()
	identification := &Identification{OncePerPool: true}
	s.prepare(p)
	p.mu.Lock()
	p.identified = true
	p.mu.Unlock()
	require.True(t, p.isIdentified(identification))
	s.end()
	s.start()
	s.prepare(p)
	time.Sleep(settle)
	require.False(t, p.isIdentified(identification))
}

// Guards against streams that are refused, on a day without a restart, at a server that closes its connections by
// itself, and against ones that go on at one that has ended: only a process that ends resets idle connections.
func TestEndOfServerIsTakenForSure(t *testing.T) {
	for name, tt := range map[string]struct {
		disturb func(t *testing.T, s *endingServer, p *Pool)
		ended   bool
	}{
		"idle connection reset": {func(t *testing.T, s *endingServer, p *Pool) {
			s.prepare(p)
			s.end()
			s.start()
		}, true},
		"idle connection reset, seen by a request": {func(t *testing.T, s *endingServer, p *Pool) {
			s.prepare(p)
			s.end()
			s.start()
			time.Sleep(settle)
			require.Nil(t, p.takeIdle(false))
		}, true},
		"connection refused": {func(t *testing.T, s *endingServer, p *Pool) {
			s.end()
			require.Error(t, p.Prepare(t.Context()))
		}, true},
		"idle connection closed": {func(t *testing.T, s *endingServer, p *Pool) {
			require.NoError(t, s.prepare(p).Close())
		}, false},
		"response reset": {func(t *testing.T, s *endingServer, p *Pool) {
			x := s.begin(t.Context(), p, s.prepare(p))
			s.end()
			_, err := x.Read(make([]byte, 10))
			require.Error(t, err)
			x.Abandon()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEndingServer(t)
			p := NewPool(s.address, 0)
			defer p.Close()
			tt.disturb(t, s, p)
			time.Sleep(settle)
			require.Equal(t, tt.ended, !p.EndedAt().IsZero())
			require.NotZero(t, p.LostAt())
		})
	}
}
