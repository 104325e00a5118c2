package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// FuzzHandlers passes arbitrary exchanges, pushes and responses to an instance.
// It must not panic, consider itself dead or grow without bound.
func FuzzHandlers(f *testing.F) {
	sim := newRegionSimulation(3)
	sim.put(sim.cores[1], "server/a", "1")
	exchange, _ := proto.Marshal(sim.cores[1].exchange(sim.cores[1].digest(true, true)))
	push, _ := proto.Marshal(&memberv1.PushRequest{FromRun: 1, Deltas: []*memberv1.Delta{
		{Run: sim.cores[0].self.runID, Identity: &memberv1.Identity{Instance: "entry-000", Status: memberv1.Status_STATUS_DEAD}},
		{Run: sim.cores[1].self.runID, Full: true, To: 1 << 63, Items: []*memberv1.Item{{Key: "k", Version: 3}, {Key: "k"}}},
	}})
	response, _ := proto.Marshal(sim.cores[1].HandleExchange(sim.now, &memberv1.ExchangeRequest{Region: "midlands"}))
	f.Add(exchange, push, response)
	f.Fuzz(func(t *testing.T, exchange, push, response []byte) {
		now := time.Unix(1000, 0)
		c := NewCore(testMember(0, "midlands", 1), nil, now, rand.New(rand.NewPCG(1, 1)))
		c.Put("own", []byte("1"), false)
		var e memberv1.ExchangeRequest
		if proto.Unmarshal(exchange, &e) == nil {
			c.HandleExchange(now, &e)
		}
		var p memberv1.PushRequest
		if proto.Unmarshal(push, &p) == nil {
			c.HandlePush(now, &p)
		}
		var r memberv1.ExchangeResponse
		if proto.Unmarshal(response, &r) == nil {
			c.HandleResponse(now, Message{URL: "http://10.0.0.9:1", Exchange: &memberv1.ExchangeRequest{}}, &r)
		}
		for range 3 {
			now = now.Add(TickInterval)
			c.Tick(now)
		}
		require.Equal(t, memberv1.Status_STATUS_ALIVE, c.self.identity.Status)
		require.Equal(t, "1", itemValue(c, "entry-000", "own"))
		require.LessOrEqual(t, c.KnownCount(), maxMembers)
		members := c.Members(now)
		require.Contains(t, members, memberOf(c.self.identity))
	})
}
