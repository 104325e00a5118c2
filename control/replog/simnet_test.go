package replog

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/storage/storagetest"
)

// Times of the simulated network.
const (
	simDialTimeout     = 300 * time.Millisecond
	simMinDelay        = 200 * time.Microsecond
	simMaxDelay        = time.Millisecond
	simRetransmission  = 200 * time.Millisecond
	simReopenInterval  = time.Second
	simLeaderTimeout   = 600 * time.Millisecond
	simOperatorTimeout = 900 * time.Millisecond
)

var (
	errSimRefused = errors.New("connection refused")
	errSimReset   = errors.New("connection reset by peer")
	errSimTimeout = errors.New("i/o timeout")
)

// simPair is a direction between two URLs.
type simPair struct{ from, to string }

// simPool is the pool of idle connections of one client to one URL.
type simPool struct {
	client *simTransport
	to     string
}

// simConn is an idle or used connection. It is dead once its packets are lost for good
// although new connections work, and stale once the process at its other end has restarted.
type simConn struct {
	dead        bool
	incarnation int
}

// simNet is a network in virtual time with kept connections, between nodes of one test.
type simNet struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*simNode
	cuts   map[simPair]int
	pools  map[simPool][]*simConn
	// loss is the share of packets that are lost.
	loss float64
}

func newSimNet(seed uint64) *simNet {
	return &simNet{random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*simNode), cuts: make(map[simPair]int), pools: make(map[simPool][]*simConn)}
}

// setCut cuts a direction, or heals one cut of it.
func (n *simNet) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[simPair{from, to}]++
	} else {
		n.cuts[simPair{from, to}]--
	}
}

// silenceConnections makes a share of all idle connections dead.
func (n *simNet) silenceConnections(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pool := range n.pools {
		for _, c := range pool {
			if n.random.Float64() < share {
				c.dead = true
			}
		}
	}
}

// delay is the time that a message takes, with retransmissions.
func (n *simNet) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := simMinDelay + time.Duration(n.random.Int64N(int64(simMaxDelay-simMinDelay)))
	for timeout := simRetransmission; n.random.Float64() < n.loss; timeout *= 2 {
		d += timeout
	}
	return d
}

// passes reports whether packets pass from a to b and back.
func (n *simNet) passes(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[simPair{a, b}] <= 0 && n.cuts[simPair{b, a}] <= 0
}

// take returns an idle connection, nil if there is none.
func (n *simNet) take(p simPool) *simConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	pool := n.pools[p]
	if len(pool) == 0 {
		return nil
	}
	n.pools[p] = pool[:len(pool)-1]
	return pool[len(pool)-1]
}

func (n *simNet) put(p simPool, c *simConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pools[p] = append(n.pools[p], c)
}

func (n *simNet) node(url string) *simNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[url]
}

// simTransport sends the requests of one client of a node.
type simTransport struct {
	net  *simNet
	from string
}

// RoundTrip implements http.RoundTripper.
func (t *simTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	pair := simPair{t.from, "http://" + r.URL.Host}
	to := t.net.node(pair.to)
	pool := simPool{t, pair.to}
	connection := t.net.take(pool)
	if connection == nil {
		if to == nil || to.off() || !t.net.passes(pair.from, pair.to) {
			return nil, errors.Join(errSimTimeout, sleepOrDone(ctx, simDialTimeout))
		}
		if err := sleepOrDone(ctx, t.net.delay()+t.net.delay()); err != nil {
			return nil, err
		}
		incarnation, running := to.running()
		if !running {
			return nil, errSimRefused
		}
		connection = &simConn{incarnation: incarnation}
	}
	if connection.dead || to == nil || to.off() || !t.net.passes(pair.from, pair.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := sleepOrDone(ctx, t.net.delay()); err != nil {
		return nil, err
	}
	incarnation, running := to.running()
	if !running || incarnation != connection.incarnation {
		return nil, errSimReset
	}
	request := httptest.NewRequestWithContext(ctx, r.Method, r.URL.String(), bytes.NewReader(body))
	request.Header = r.Header
	recorder := httptest.NewRecorder()
	to.handler.ServeHTTP(recorder, request)
	if err := sleepOrDone(ctx, t.net.delay()); err != nil {
		return nil, err
	}
	if now, running := to.running(); !running || now != incarnation {
		return nil, errSimReset
	}
	if !t.net.passes(pair.from, pair.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.net.put(pool, connection)
	return recorder.Result(), nil
}

func sleepOrDone(ctx context.Context, d time.Duration) error {
	sleepContext(ctx, d)
	return ctx.Err()
}

// simService serves the consensus API of the replica of a node, if it is open.
type simService struct {
	peerService
	group atomic.Pointer[Group]
	// identifyDelay is how long it takes to respond to Identify.
	identifyDelay time.Duration
}

var errSimNotOpen = twirp.NewError(twirp.Unavailable, "the replica is not open")

func (s *simService) Send(_ context.Context, r *consensusv1.SendRequest) (*consensusv1.SendResponse, error) {
	g := s.group.Load()
	if g == nil {
		return nil, errSimNotOpen
	}
	for _, m := range r.Messages {
		g.Deliver(m)
	}
	return &consensusv1.SendResponse{}, nil
}

func (s *simService) Identify(ctx context.Context, r *consensusv1.IdentifyRequest) (*consensusv1.IdentifyResponse, error) {
	g := s.group.Load()
	if g == nil {
		return nil, errSimNotOpen
	}
	response := g.Identify(ctx, r)
	return response, sleepOrDone(ctx, s.identifyDelay)
}

// simNode is one instance: its disk, and the replica while its process runs.
type simNode struct {
	net       *simNet
	name, url string
	service   *simService
	handler   http.Handler
	// root holds the data directories; each loss of the disk begins a new one.
	root string
	dir  string
	disk *storagetest.Disk
	seed uint64
	// disks counts the disks so far.
	disks int

	mu sync.Mutex
	// stop ends the process, gracefully or not; nil while it does not run.
	stop        func(graceful bool)
	incarnation int
	powerOff    bool
}

func newSimNode(net *simNet, name, url, root string, seed uint64) *simNode {
	n := &simNode{net: net, name: name, url: url, service: &simService{}, root: root, seed: seed}
	n.handler = consensusv1.NewConsensusServer(n.service)
	net.mu.Lock()
	defer net.mu.Unlock()
	net.nodes[url] = n
	return n
}

// off reports whether the machine has no power: connections to it hang.
func (n *simNode) off() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.powerOff
}

// running returns the incarnation of the process, if it runs.
func (n *simNode) running() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation, n.stop != nil
}

// newDisk gives the node an empty disk.
func (n *simNode) newDisk() error {
	n.disks++
	parent := fmt.Sprintf("%s/%s-%d", n.root, n.name, n.disks)
	n.dir = parent + "/main"
	n.disk = storagetest.NewDisk(parent+"/trash", n.seed+uint64(n.disks))
	return os.MkdirAll(n.dir, 0o700)
}

// start starts the process. A replica that fails is reopened, as by the control process.
func (n *simNode) start(s Settings) {
	s.Name, s.URL, s.Dir, s.Files = n.name, n.url, n.dir, n.disk
	newClient := func() *http.Client { return &http.Client{Transport: &simTransport{net: n.net, from: n.url}} }
	s.Client, s.NewPeerClient = newClient(), newClient
	ctx, cancel := context.WithCancel(context.Background())
	stopped, graceful := make(chan struct{}), false
	go func() {
		defer close(stopped)
		var current *Group
		for ctx.Err() == nil {
			if current == nil || current.Err() != nil {
				if current != nil {
					current.Kill()
				}
				current = nil
				if g, err := Open(s, &newest{}); err == nil {
					current = g
					n.service.group.Store(g)
					_ = g.Start(context.Background())
				} else {
					s.Logger.Warn("failed to open replica", slog.String("replica", n.name), slog.Any("error", err))
				}
			}
			sleepContext(ctx, simReopenInterval)
		}
		if current != nil && graceful {
			current.Stop()
		}
		n.service.group.Store(nil)
		if current != nil && !graceful {
			current.Kill()
		}
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.powerOff = false
	n.stop = func(g bool) {
		graceful = g
		cancel()
		<-stopped
	}
}

// end ends the process, if it runs.
func (n *simNode) end(graceful bool) {
	n.mu.Lock()
	stop := n.stop
	if !graceful {
		n.stop = nil
		n.service.group.Store(nil)
	}
	n.mu.Unlock()
	if stop != nil {
		stop(graceful)
	}
	n.mu.Lock()
	n.stop = nil
	n.mu.Unlock()
}

// losePower ends the process without power; connections to the machine hang until it starts.
func (n *simNode) losePower() error {
	n.mu.Lock()
	n.powerOff = true
	n.mu.Unlock()
	n.end(false)
	return n.disk.PowerLoss()
}

// newest is a state machine that holds the highest number of all commands.
type newest struct{ version atomic.Uint64 }

func (s *newest) Apply(command []byte) any {
	s.version.Store(max(s.version.Load(), binary.BigEndian.Uint64(command)))
	return s.version.Load()
}

func (s *newest) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(nil, s.version.Load()), nil
}

func (s *newest) Restore(state []byte) error {
	s.version.Store(0)
	if len(state) > 0 {
		s.version.Store(binary.BigEndian.Uint64(state))
	}
	return nil
}

func (s *newest) NowMS() int64 { return 1 }
