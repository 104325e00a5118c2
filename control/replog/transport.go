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
	// sendTimeout bounds a request with a small batch. It is below the election timeout: a
	// connection that has fallen silent delays heartbeats and votes by one such time.
	sendTimeout = 500 * time.Millisecond
	// largeSendTimeout bounds a request of at least largeBatchBytes.
	largeSendTimeout = 2 * time.Second
	largeBatchBytes  = 64 << 10
)

// peerQueue sends messages to one peer, one request at a time. A full queue
// drops messages: the consensus node resends what is not acknowledged.
type peerQueue struct {
	connections *http.Client
	client      consensusv1.Consensus
	messages    chan *consensusv1.Message
}

// transport sends messages over twirp. Snapshot chunks have separate queues, so
// that they do not delay heartbeats.
type transport struct {
	ctx       context.Context
	newClient func() *http.Client
	wg        sync.WaitGroup

	// mu guards queues.
	mu     sync.Mutex
	queues map[string]*peerQueue
}

func newTransport(ctx context.Context, newClient func() *http.Client) *transport {
	return &transport{ctx: ctx, newClient: newClient, queues: make(map[string]*peerQueue)}
}

func (t *transport) send(url string, m *consensusv1.Message) {
	key := url
	if m.Kind == consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
		key += "#snapshot"
	}
	t.mu.Lock()
	q, ok := t.queues[key]
	if !ok {
		connections := t.newClient()
		q = &peerQueue{connections: connections, client: consensusv1.NewConsensusProtobufClient(url, connections), messages: make(chan *consensusv1.Message, peerQueueLength)}
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
	defer q.connections.CloseIdleConnections()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q.messages:
			batch, bytes := q.batch(m)
			timeout := sendTimeout
			if bytes >= largeBatchBytes {
				timeout = largeSendTimeout
			}
			ctx, cancel := context.WithTimeout(t.ctx, timeout)
			_, _ = q.client.Send(ctx, batch) // the consensus node resends lost messages
			cancel()
		}
	}
}

// batch returns a request with the first message and further queued ones, up to
// maxBatchBytes of payload, and the size of its payload.
func (q *peerQueue) batch(first *consensusv1.Message) (req *consensusv1.SendRequest, bytes int) {
	req = &consensusv1.SendRequest{Messages: []*consensusv1.Message{first}}
	for bytes = payloadSize(first); bytes < maxBatchBytes; {
		select {
		case m := <-q.messages:
			req.Messages = append(req.Messages, m)
			bytes += payloadSize(m)
		default:
			return req, bytes
		}
	}
	return req, bytes
}

func payloadSize(m *consensusv1.Message) int {
	n := len(m.Piece)
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}
