package consensus

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// testChunkBytes is small enough that every test snapshot has several chunks.
const testChunkBytes = 7

// disk is the simulated durable storage of a replica.
type disk struct {
	durable  DurableState
	state    []byte
	incoming []byte
}

func (d *disk) putEntry(e *consensusv1.Entry) {
	entries := d.durable.Entries
	for len(entries) > 0 && entries[len(entries)-1].Index >= e.Index {
		entries = entries[:len(entries)-1]
	}
	d.durable.Entries = append(slices.Clip(entries), e)
}

// register is the replicated state machine: one value and the number of applied
// commands.
type register struct{ value, count uint64 }

func (r register) encode() []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.value), r.count)
}

func decodeRegister(b []byte) register {
	return register{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])}
}

// operation is a client's read or write. output is set when the operation
// completes.
type operation struct {
	isWrite    bool
	value      uint64
	callTime   int64
	returnTime int64
	done       bool
	output     uint64
}

type pendingWrite struct {
	term uint64
	op   *operation
}

type replica struct {
	id             string
	node           *Node
	disk           *disk
	state          register
	diskLost       bool
	pendingWrites  map[uint64]pendingWrite
	pendingReads   map[ReadID]*operation
	confirmedReads []ReadState
	// writesUntilCrash is the number of disk writes before the replica crashes; -1
	// disables the crash.
	writesUntilCrash int
}

// cluster simulates a group whose schedule of events is drawn by rapid.
type cluster struct {
	t          *rapid.T
	replicas   map[string]*replica
	ids        []string
	network    []*consensusv1.Message
	now        int64
	nextID     int
	startCount uint64
	nextRead   ReadID
	ops        []*operation
	leaders    map[uint64]string
	committed  map[uint64]*consensusv1.Entry
}

func newCluster(t *rapid.T, voters int) *cluster {
	c := &cluster{t: t, replicas: make(map[string]*replica), leaders: make(map[uint64]string), committed: make(map[uint64]*consensusv1.Entry)}
	members := &consensusv1.Membership{}
	for range voters {
		members.Members = append(members.Members, &consensusv1.Member{Id: c.newID()})
	}
	state := register{}.encode()
	for _, m := range members.Members {
		c.addReplica(m.Id, &disk{state: state, durable: DurableState{Snapshot: &consensusv1.SnapshotMeta{
			Index: 1, Term: 1, Membership: members, Bytes: uint64(len(state)),
		}}})
	}
	return c
}

func (c *cluster) newID() string {
	c.nextID++
	return fmt.Sprintf("r%d", c.nextID)
}

func (c *cluster) addReplica(id string, d *disk) {
	r := &replica{id: id, disk: d}
	c.replicas[id] = r
	c.ids = append(c.ids, id)
	c.start(r)
}

func (c *cluster) start(r *replica) {
	c.startCount++
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(c.t, "seed"), c.startCount))
	cfg := Config{
		Group: "g", ID: r.id, ElectionTicks: 6, HeartbeatTicks: 1, MaxInflight: 3, MaxAppendBytes: 24,
		MaxUncommittedBytes: 1 << 20, MaxPromotionLag: 2, Rand: rng.IntN,
	}
	node, err := New(cfg, r.disk.durable)
	c.check(err == nil, "start %s: %v", r.id, err)
	r.node, r.writesUntilCrash = node, -1
	r.pendingWrites, r.pendingReads, r.confirmedReads = make(map[uint64]pendingWrite), make(map[ReadID]*operation), nil
	r.state = register{}
	if len(r.disk.state) > 0 {
		r.state = decodeRegister(r.disk.state)
	}
}

func (c *cluster) crash(r *replica) {
	r.node, r.pendingWrites, r.pendingReads, r.confirmedReads = nil, nil, nil, nil
	r.disk.incoming = nil
}

func (c *cluster) check(ok bool, format string, args ...any) {
	if !ok {
		c.t.Fatalf(format, args...)
	}
}

// countWrite counts one disk write and reports whether the replica is still
// running after it.
func (c *cluster) countWrite(r *replica) bool {
	if r.writesUntilCrash < 0 {
		return true
	}
	r.writesUntilCrash--
	if r.writesUntilCrash >= 0 {
		return true
	}
	c.crash(r)
	return false
}

// processReady handles Ready until it is empty, and checks that each term has one
// leader only.
func (c *cluster) processReady(r *replica) {
	for r.node != nil {
		if r.node.Role() == RoleLeader {
			known, ok := c.leaders[r.node.Term()]
			c.check(!ok || known == r.id, "two leaders in term %d", r.node.Term())
			c.leaders[r.node.Term()] = r.id
		}
		rd := r.node.Ready()
		if rd.Empty() {
			return
		}
		c.sendMessages(r, rd.PreSyncMessages)
		if !c.persist(r, rd) {
			return
		}
		c.sendMessages(r, rd.Messages)
		c.apply(r, rd)
		r.node.Advance(rd)
	}
}

func (c *cluster) sendMessages(r *replica, messages []*consensusv1.Message) {
	for _, m := range messages {
		m = proto.CloneOf(m)
		if m.Snapshot != nil && m.Kind == kindSnapshot {
			if m.Snapshot.Index != r.disk.durable.Snapshot.Index {
				continue
			}
			end := min(int(m.Offset)+testChunkBytes, len(r.disk.state))
			m.Piece = r.disk.state[m.Offset:end]
		}
		c.network = append(c.network, m)
	}
}

// persist performs the disk writes in order. The replica may crash after any of
// them; persist then returns false.
func (c *cluster) persist(r *replica, rd *Ready) bool {
	for _, p := range rd.SnapshotChunks {
		r.disk.incoming = append(r.disk.incoming[:p.Offset], p.Data...)
		if !c.countWrite(r) {
			return false
		}
	}
	if rd.InstallSnapshot != nil {
		c.check(len(r.disk.incoming) == int(rd.InstallSnapshot.Bytes), "incomplete snapshot of %d bytes", len(r.disk.incoming))
		r.disk.state = slices.Clone(r.disk.incoming)
		r.disk.durable.Snapshot = rd.InstallSnapshot
		// The stored entries must continue the snapshot, so the old ones are dropped.
		r.disk.durable.Entries = nil
		r.state = decodeRegister(r.disk.state)
		if !c.countWrite(r) {
			return false
		}
	}
	for _, e := range rd.Entries {
		r.disk.putEntry(e)
		if !c.countWrite(r) {
			return false
		}
	}
	if rd.HardState != nil {
		r.disk.durable.HardState = rd.HardState
		if !c.countWrite(r) {
			return false
		}
	}
	return true
}

func (c *cluster) apply(r *replica, rd *Ready) {
	for _, e := range rd.CommittedEntries {
		known, ok := c.committed[e.Index]
		c.check(!ok || proto.Equal(known, e), "two different entries are committed at index %d: %v and %v", e.Index, known, e)
		c.committed[e.Index] = e
		if e.Kind == consensusv1.EntryKind_ENTRY_KIND_COMMAND {
			r.state.value = binary.LittleEndian.Uint64(e.Data)
			r.state.count++
		}
		if pending, ok := r.pendingWrites[e.Index]; ok && pending.term == e.Term {
			c.completeOperation(pending.op, pending.op.value)
		}
		delete(r.pendingWrites, e.Index)
	}
	r.confirmedReads = append(r.confirmedReads, rd.ReadStates...)
	applied := r.node.Status().AppliedIndex
	if k := len(rd.CommittedEntries); k > 0 {
		applied = rd.CommittedEntries[k-1].Index
	}
	r.confirmedReads = slices.DeleteFunc(r.confirmedReads, func(rs ReadState) bool {
		if rs.Index > applied {
			return false
		}
		c.completeOperation(r.pendingReads[rs.ID], r.state.value)
		return true
	})
}

func (c *cluster) completeOperation(op *operation, output uint64) {
	c.now++
	op.done, op.returnTime, op.output = true, c.now, output
}

func (c *cluster) write(r *replica) {
	c.now++
	op := &operation{isWrite: true, value: uint64(len(c.ops) + 1), callTime: c.now}
	index, term, err := r.node.Propose(binary.LittleEndian.AppendUint64(nil, op.value))
	if err != nil {
		return
	}
	c.ops = append(c.ops, op)
	r.pendingWrites[index] = pendingWrite{term, op}
	c.processReady(r)
}

func (c *cluster) read(r *replica) {
	c.now++
	c.nextRead++
	op := &operation{callTime: c.now}
	if r.node.RequestRead(c.nextRead) != nil {
		return
	}
	c.ops = append(c.ops, op)
	r.pendingReads[c.nextRead] = op
	c.processReady(r)
}

func (c *cluster) compact(r *replica) {
	state := r.state.encode()
	meta, err := r.node.Compact(r.node.Status().AppliedIndex, uint64(rapid.IntRange(0, 3).Draw(c.t, "keep")), uint64(len(state)))
	if err != nil {
		return
	}
	r.disk.state, r.disk.durable.Snapshot = state, meta
	c.processReady(r)
}

// proposeRandomChange proposes to add a learner, promote a learner or remove a
// replica.
func (c *cluster) proposeRandomChange(r *replica) {
	m := proto.CloneOf(r.node.Membership())
	i := rapid.IntRange(0, len(m.Members)-1).Draw(c.t, "member")
	member := m.Members[i]
	switch {
	case member.Learner && rapid.Bool().Draw(c.t, "promote"):
		member.Learner = false
	case member.Learner || (len(m.Members) > 3 && c.replicas[member.Id].diskLost):
		m.Members = slices.Delete(m.Members, i, i+1)
	case len(m.Members) < 6:
		newID := c.newID()
		c.addReplica(newID, &disk{})
		m.Members = append(m.Members, &consensusv1.Member{Id: newID, Learner: true})
	}
	_, _, _ = r.node.ProposeMembership(m) // rejections are expected
	c.processReady(r)
}

// loseDisk permanently erases a disk, unless some known membership would lose its
// majority.
func (c *cluster) loseDisk(r *replica) {
	for _, id := range c.ids {
		other := c.replicas[id]
		if other.diskLost {
			continue
		}
		log, err := newReplicaLog(other.disk.durable)
		c.check(err == nil, "disk of %s: %v", id, err)
		for _, m := range log.memberships {
			if !c.toleratesLoss(m.membership, r.id) {
				return
			}
		}
	}
	c.crash(r)
	r.diskLost, r.disk = true, &disk{}
}

// toleratesLoss reports whether a majority of the voters still has its disks after
// the disk of id is lost.
func (c *cluster) toleratesLoss(m *consensusv1.Membership, id string) bool {
	voters, lost := 0, 0
	for _, member := range m.Members {
		if member.Learner {
			continue
		}
		voters++
		if member.Id == id || c.replicas[member.Id].diskLost {
			lost++
		}
	}
	return voters == 0 || lost <= (voters-1)/2
}

// removeMessage removes and returns the message at an index of the network.
func (c *cluster) removeMessage(i int) *consensusv1.Message {
	m := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	return m
}

func (c *cluster) deliver(m *consensusv1.Message) {
	r := c.replicas[m.To]
	if r == nil || r.node == nil {
		return
	}
	err := r.node.Step(proto.CloneOf(m))
	c.check(err == nil, "replica %s stopped: %v", r.id, err)
	c.processReady(r)
}

// linearizable checks the history of client operations. A write that did not
// complete may have taken effect at any later time.
func (c *cluster) linearizable() bool {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			op := input.(*operation)
			if op.isWrite {
				return true, op.value
			}
			return output.(uint64) == state.(uint64), state
		},
	}
	var history []porcupine.Operation
	for i, op := range c.ops {
		if !op.done && !op.isWrite {
			continue
		}
		returnTime := op.returnTime
		if !op.done {
			returnTime = c.now + 1 + int64(i)
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: op.callTime, Output: op.output, Return: returnTime})
	}
	return porcupine.CheckOperations(model, history)
}
