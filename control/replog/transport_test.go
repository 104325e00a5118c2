package replog

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// TestMessagesPassConnectionsThatFellSilent guards against heartbeats and votes that wait for
// longer than an election timeout, because connections have lost their packets for good.
func TestMessagesPassConnectionsThatFellSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newSimNet(1)
		node := newSimNode(net, "b", "http://10.0.0.2:7700", t.TempDir(), 1)
		node.stop = func(bool) {}
		receiver := &Group{queues: newQueues()}
		node.service.group.Store(receiver)
		ctx, cancel := context.WithCancel(t.Context())
		newClient := func() *http.Client {
			return &http.Client{Transport: &simTransport{net: net, from: "http://10.0.0.1:7700"}}
		}
		transport := newTransport(ctx, newClient)
		defer transport.wg.Wait()
		defer cancel()
		for range 5 {
			transport.send(node.url, &consensusv1.Message{})
			<-receiver.inbox
			time.Sleep(TickInterval)
			net.silenceConnections(1)
			// The first of these is lost with its connection; the consensus node sends the next one a
			// heartbeat interval later.
			sentAt := time.Now()
			stop := time.AfterFunc(0, func() {
				for ctx.Err() == nil && time.Since(sentAt) < 5*time.Second {
					transport.send(node.url, &consensusv1.Message{})
					time.Sleep(heartbeatTicks * TickInterval)
				}
			})
			<-receiver.inbox
			require.Less(t, time.Since(sentAt), electionTicks*TickInterval)
			stop.Stop()
			time.Sleep(6 * time.Second)
			for len(receiver.inbox) > 0 {
				<-receiver.inbox
			}
		}
	})
}
