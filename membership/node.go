package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/memberv1"
	"github.com/galenaarch/galenaarch/httpclient"
)

// Timing and limits of a Node.
const (
	requestTimeout = 500 * time.Millisecond
	// maxInFlight bounds concurrent requests, maxInFlightPerPeer those to one
	// peer.
	maxInFlight        = 64
	maxInFlightPerPeer = 3
	maxIdlePerPeer     = 2
	idleTimeout        = 2 * time.Minute
	configTimeout      = time.Second
)

// EventHandler receives changes, in order and one call at a time.
type EventHandler func(events []Event)

// ConfigSource returns an encoded configuration delta since a known revision,
// or nil.
type ConfigSource func(environment string, known uint64) []byte

// Node runs the protocol of one instance over twirp.
type Node struct {
	self    Member
	logger  *slog.Logger
	handler EventHandler
	config  ConfigSource
	client  *http.Client
	metrics *nodeMetrics

	// mu guards core, pending and inFlight. pending holds the events not yet
	// passed to the handler, inFlight the number of requests in progress by peer
	// URL.
	mu       sync.Mutex
	core     *Core
	pending  []Event
	inFlight map[string]int

	members      atomic.Pointer[[]Member]
	seesMajority atomic.Bool
	shareCount   atomic.Int64
	// rejoinedAt is set once this instance has learned that others considered
	// it dead.
	rejoinedAt atomic.Pointer[time.Time]
	// eventsReady signals that pending may hold events. requestSlots holds one
	// element for each request in progress.
	eventsReady  chan struct{}
	requestSlots chan struct{}
}

type nodeMetrics struct {
	members  prometheus.Gauge
	known    prometheus.Gauge
	requests *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newNodeMetrics(registerer prometheus.Registerer) *nodeMetrics {
	m := &nodeMetrics{
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galena_member_alive", Help: "Entry instances held to be alive; count.",
		}),
		known: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galena_member_known", Help: "Records of entry instances, dead ones among them; count.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_member_requests_total", Help: "Requests to other entries; count.",
		}, []string{"kind", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_member_bytes_total", Help: "Bytes on connections that this instance opened to other entries; bytes.",
		}, []string{"direction"}),
	}
	registerer.MustRegister(m.members, m.known, m.requests, m.bytes)
	return m
}

// Options of a Node.
type Options struct {
	// Seeds are the URLs of peer listeners through which the instance joins.
	Seeds      []string
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Transport is the template for connections to other instances.
	Transport *http.Transport
	// Handler and Config may be nil.
	Handler EventHandler
	Config  ConfigSource
}

// NewNode returns the node of an instance.
func NewNode(self Member, o Options) *Node {
	n := &Node{
		self:         self,
		logger:       o.Logger,
		handler:      o.Handler,
		config:       o.Config,
		metrics:      newNodeMetrics(o.Registerer),
		core:         NewCore(self, o.Seeds, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		inFlight:     make(map[string]int),
		eventsReady:  make(chan struct{}, 1),
		requestSlots: make(chan struct{}, maxInFlight),
	}
	base := o.Transport.Clone()
	base.MaxIdleConnsPerHost = maxIdlePerPeer
	base.IdleConnTimeout = idleTimeout
	base.DialContext = n.countBytes(base.DialContext)
	base.DialTLSContext = n.countBytes(base.DialTLSContext)
	n.client = &http.Client{Timeout: requestTimeout, Transport: httpclient.Bound(base, httpclient.PeerLimits)}
	n.publish(time.Now())
	return n
}

// Interface guards.
var (
	_ MemberSource        = (*Node)(nil)
	_ memberv1.Membership = (*Node)(nil)
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	read, written prometheus.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(float64(n))
	return n, err
}

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// countBytes wraps a dialer, which may be nil, to count the bytes of its
// connections.
func (n *Node) countBytes(dial dialer) dialer {
	if dial == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{
			Conn:    conn,
			read:    n.metrics.bytes.WithLabelValues("received"),
			written: n.metrics.bytes.WithLabelValues("sent"),
		}, nil
	}
}

// HTTPHandler returns the handler that serves other instances.
func (n *Node) HTTPHandler() http.Handler { return memberv1.NewMembershipServer(n) }

// PathPrefix is the path at which HTTPHandler is mounted.
const PathPrefix = memberv1.MembershipPathPrefix

// Run runs the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.deliverEvents(ctx)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		n.send(ctx, n.step(now, func() []Message { return n.core.Tick(now) }))
		n.refresh(now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step runs one step of the core and publishes its results.
func (n *Node) step(now time.Time, action func() []Message) []Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	messages := action()
	events := n.core.Events()
	n.pending = append(n.pending, events...)
	if len(events) > 0 {
		n.publish(now)
		select {
		case n.eventsReady <- struct{}{}:
		default:
		}
	}
	return messages
}

// refresh publishes state that changes with time alone.
func (n *Node) refresh(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publish(now)
}

// publish updates the snapshots that readers load. mu must be held, except during
// construction.
func (n *Node) publish(now time.Time) {
	list := n.core.Members(now)
	n.members.Store(&list)
	n.seesMajority.Store(n.core.SeesMajority(now))
	if rejoinedAt := n.core.RejoinedAt(); !rejoinedAt.IsZero() {
		n.rejoinedAt.Store(&rejoinedAt)
	}
	n.shareCount.Store(int64(n.core.ShareCount(now)))
	n.metrics.members.Set(float64(len(list)))
	n.metrics.known.Set(float64(n.core.KnownCount()))
}

// deliverEvents passes events to the handler in order.
func (n *Node) deliverEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.eventsReady:
		}
		n.mu.Lock()
		events := n.pending
		n.pending = nil
		n.mu.Unlock()
		if n.handler != nil && len(events) > 0 {
			n.handler(events)
		}
	}
}

// Members lists this instance and the members considered alive and reachable,
// sorted by instance name.
func (n *Node) Members() []Member { return *n.members.Load() }

// Self returns this instance.
func (n *Node) Self() Member { return n.self }

// OtherMembers lists the members except this instance.
func (n *Node) OtherMembers() []Member {
	return slices.DeleteFunc(slices.Clone(n.Members()), func(m Member) bool { return m.Instance == n.self.Instance })
}

// Unreachable lists the instances that are unreachable or considered dead and have
// not left.
func (n *Node) Unreachable() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Unreachable(time.Now())
}

// SeesMajority reports whether this instance reaches a majority of the known
// members.
func (n *Node) SeesMajority() bool { return n.seesMajority.Load() }

// ShareCount counts the instances among which limits are divided.
func (n *Node) ShareCount() int { return int(n.shareCount.Load()) }

// RejoinedAt returns when this instance last learned that it had been considered
// dead; zero for never.
func (n *Node) RejoinedAt() time.Time {
	if rejoinedAt := n.rejoinedAt.Load(); rejoinedAt != nil {
		return *rejoinedAt
	}
	return time.Time{}
}

// Put publishes an item of this instance. An urgent item is pushed immediately.
func (n *Node) Put(ctx context.Context, key string, value []byte, urgent bool) {
	n.apply(ctx, func() { n.core.Put(key, value, urgent) })
}

// Delete removes an item of this instance.
func (n *Node) Delete(ctx context.Context, key string, urgent bool) {
	n.apply(ctx, func() { n.core.Delete(key, time.Now(), urgent) })
}

// Drain announces a graceful shutdown to the others.
func (n *Node) Drain(ctx context.Context) { n.apply(ctx, n.core.Drain) }

// apply makes a change to the core and sends the pushes of urgent deltas that
// result from it.
func (n *Node) apply(ctx context.Context, change func()) {
	n.send(ctx, n.step(time.Now(), func() []Message {
		change()
		return n.core.Flush()
	}))
}

// Leave announces to the others that this instance has left, and returns once
// all requests have completed.
func (n *Node) Leave(ctx context.Context) {
	messages := n.step(time.Now(), func() []Message {
		n.core.Leave(time.Now())
		return n.core.Flush()
	})
	var wg sync.WaitGroup
	for _, m := range messages {
		wg.Go(func() { n.request(ctx, m) })
	}
	wg.Wait()
}

// Confirm records that the control plane confirmed this instance.
func (n *Node) Confirm(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Confirm(now)
}

// Items returns the items that a member published under a key prefix.
func (n *Node) Items(instance, prefix string) map[string][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	values := make(map[string][]byte)
	for key, item := range n.core.Items(instance) {
		if !item.Deleted && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			values[key] = item.Value
		}
	}
	return values
}

// send sends requests in the background. A slow peer gets at most
// maxInFlightPerPeer at once; what it misses is delivered by a later exchange.
func (n *Node) send(ctx context.Context, messages []Message) {
	for _, m := range messages {
		if !n.reserveSlot(m.URL) {
			n.metrics.requests.WithLabelValues(m.kind(), "dropped").Inc()
			continue
		}
		go func() {
			defer n.releaseSlot(m.URL)
			n.send(ctx, n.request(ctx, m))
		}()
	}
}

// reserveSlot takes a request slot for the peer at url. It returns false if
// maxInFlight requests, or maxInFlightPerPeer requests to this peer, are in
// progress.
func (n *Node) reserveSlot(url string) bool {
	select {
	case n.requestSlots <- struct{}{}:
	default:
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inFlight[url] >= maxInFlightPerPeer {
		<-n.requestSlots
		return false
	}
	n.inFlight[url]++
	return true
}

// releaseSlot returns a slot taken by reserveSlot.
func (n *Node) releaseSlot(url string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inFlight[url]--; n.inFlight[url] == 0 {
		delete(n.inFlight, url)
	}
	<-n.requestSlots
}

func (m *Message) kind() string {
	if m.Exchange != nil {
		return "exchange"
	}
	return "push"
}

// request sends one message and returns the messages that follow from its
// outcome.
func (n *Node) request(ctx context.Context, m Message) []Message {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	peer := memberv1.NewMembershipProtobufClient(m.URL, n.client)
	var err error
	var exchanged *memberv1.ExchangeResponse
	var pushed *memberv1.PushResponse
	if m.Exchange != nil {
		exchanged, err = peer.Exchange(ctx, m.Exchange)
	} else {
		pushed, err = peer.Push(ctx, m.Push)
	}
	now := time.Now()
	if err != nil {
		n.metrics.requests.WithLabelValues(m.kind(), "failed").Inc()
		n.logger.Debug("request to member failed", slog.String("peer", m.URL), slog.Any("error", err))
		return n.step(now, func() []Message { return n.core.HandleFailure(now, m) })
	}
	n.metrics.requests.WithLabelValues(m.kind(), "ok").Inc()
	if exchanged != nil {
		return n.step(now, func() []Message { return n.core.HandleResponse(now, m, exchanged) })
	}
	return n.step(now, func() []Message { return n.core.HandlePushResponse(now, m, pushed) })
}

// Exchange implements memberv1.Membership.
func (n *Node) Exchange(_ context.Context, r *memberv1.ExchangeRequest) (*memberv1.ExchangeResponse, error) {
	var response *memberv1.ExchangeResponse
	now := time.Now()
	n.step(now, func() []Message {
		response = n.core.HandleExchange(now, r)
		return nil
	})
	return response, nil
}

// Push implements memberv1.Membership.
func (n *Node) Push(ctx context.Context, r *memberv1.PushRequest) (*memberv1.PushResponse, error) {
	var response *memberv1.PushResponse
	now := time.Now()
	messages := n.step(now, func() []Message {
		response = n.core.HandlePush(now, r)
		return n.core.Flush()
	})
	// The response does not wait for the requests that follow from it.
	n.send(context.WithoutCancel(ctx), messages)
	return response, nil
}

// GetConfig implements memberv1.Membership.
func (n *Node) GetConfig(_ context.Context, r *memberv1.GetConfigRequest) (*memberv1.GetConfigResponse, error) {
	if n.config == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no configuration source")
	}
	return &memberv1.GetConfigResponse{Delta: n.config(r.Environment, r.KnownRevision)}, nil
}

// FetchConfig requests the configuration changes after a known revision from a
// member.
func (n *Node) FetchConfig(ctx context.Context, peerURL, environment string, known uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	peer := memberv1.NewMembershipProtobufClient(peerURL, n.client)
	response, err := peer.GetConfig(ctx, &memberv1.GetConfigRequest{Environment: environment, KnownRevision: known})
	if err != nil {
		return nil, eris.Wrapf(err, "fetch configuration from member %s", peerURL)
	}
	return response.Delta, nil
}
