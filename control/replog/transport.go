package replog

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// Limits on the messages queued for and sent to one peer.
const (
	peerQueueLength = 4096
	maxBatchBytes   = 1 << 20
	sendTimeout     = 2 * time.Second
)

// peerQueue sends messages to one peer, one request at a time. A full queue
// drops messages: the consensus node resends what is not acknowledged.
type peerQueue struct {
	client   consensusv1.Consensus
	messages chan *consensusv1.Message
}

// transport sends messages over twirp. Snapshot chunks have separate queues, so
// that they do not delay heartbeats.
type transport struct {
	ctx    context.Context
	client *http.Client
	wg     sync.WaitGroup

	// mu guards queues.
	mu     sync.Mutex
	queues map[string]*peerQueue
}

func newTransport(ctx context.Context, client *http.Client) *transport {
	return &transport{ctx: ctx, client: client, queues: make(map[string]*peerQueue)}
}

func (t *transport) send(url string, m *consensusv1.Message) {
	key := url
	if m.Kind == consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
		key += "#snapshot"
	}
	t.mu.Lock()
	q, ok := t.queues[key]
	if !ok {
		q = &peerQueue{client: consensusv1.NewConsensusProtobufClient(url, t.client), messages: make(chan *consensusv1.Message, peerQueueLength)}
		t.queues[key] = q
		t.wg.Add(1)
		go t.run(q)
	}
	t.mu.Unlock()
	select {
	case q.messages <- m:
	default:
	}
}

func (t *transport) run(q *peerQueue) {
	defer t.wg.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q.messages:
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			_, _ = q.client.Send(ctx, q.batch(m)) // the consensus node resends lost messages
			cancel()
		}
	}
}

// batch returns a request with the first message and further queued ones, up to
// maxBatchBytes of payload.
func (q *peerQueue) batch(first *consensusv1.Message) *consensusv1.SendRequest {
	req := &consensusv1.SendRequest{Messages: []*consensusv1.Message{first}}
	for bytes := payloadSize(first); bytes < maxBatchBytes; {
		select {
		case m := <-q.messages:
			req.Messages = append(req.Messages, m)
			bytes += payloadSize(m)
		default:
			return req
		}
	}
	return req
}

func payloadSize(m *consensusv1.Message) int {
	n := len(m.Piece)
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}
