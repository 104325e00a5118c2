// Package replog runs a replica of a replicated log. It drives the consensus
// node with a clock, durable storage and the network, and applies committed
// entries to a state machine.
package replog

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/storage"
)

// StateMachine is the state machine that the log replicates. Its methods are
// called from one goroutine at a time, in the order of the log.
type StateMachine interface {
	// Apply executes a command and returns its result.
	Apply(command []byte) any
	// Snapshot returns the encoded complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one; empty restores the initial
	// state.
	Restore(state []byte) error
	// NowMS returns the log time of the last applied command; Unix
	// milliseconds, 0 before the first command.
	NowMS() int64
}

// Peer is a replica from the settings. A seed has no name.
type Peer struct{ Name, URL string }

// Settings configures a replica.
type Settings struct {
	// Group names the log.
	Group string
	// Name is the name of this replica. Its ID appends a part that is unique
	// to its data directory.
	Name string
	// Dir is the group's data directory.
	Dir string
	// URL is the base URL at which other replicas reach this one; empty if
	// Replicas lists it.
	URL string
	// Replicas lists the initial replicas including this one; the first one
	// bootstraps the group. In a group with dynamic membership they are only
	// seeds: a few addresses without names that need not include this replica. At the first
	// start fewer than fullSeeds of them are all replicas.
	Replicas []Peer
	// DynamicMembership allows replicas that Replicas does not list to join, and
	// removes replicas that are silent for too long.
	DynamicMembership bool
	// MayBootstrap allows the first of the seeds to bootstrap the group. It counts at the
	// first start of a data directory, and must be false once the group exists, since a seed
	// with an emptied data directory might otherwise bootstrap a second group.
	MayBootstrap bool
	// ToleratedLosses is the number of replicas that may lose their disks at the same
	// time without a loss of committed entries or of the quorum. With dynamic membership
	// the group is founded once there are 2*ToleratedLosses+1 voters, or with all replicas if
	// there are fewer than fullSeeds, and removes no silent replica below that number.
	ToleratedLosses int
	// CatchUpTime is how long after its return a replica still counts as lost. Voters that
	// are silent for as long are removed. 0 selects the default of 10 s.
	CatchUpTime time.Duration
	// LeaderWait is how long a starting replica that has a log waits for a
	// response from the leader or from all voters before a majority suffices.
	// 0 selects the default. A negative value skips the check, for data
	// directories that are never rolled back to an older copy.
	LeaderWait time.Duration
	// DiskBytes is the room for Dir; 0 if it is not known. The log is compacted once it
	// takes an eighth of it.
	DiskBytes int64
	// SnapshotThreshold is the number of entries applied between two snapshots; 0
	// selects the default.
	SnapshotThreshold uint64
	// Files is the file system of Dir; nil for that of the operating system.
	Files  storage.FileSystem
	Logger *slog.Logger
	// Client sends the requests to identify replicas.
	Client *http.Client
	// NewPeerClient returns a client for the messages to one replica. Invariant: it shares no
	// connections with other clients, so that at most one connection that has fallen silent
	// is tried. nil selects Client.
	NewPeerClient func() *http.Client
}

// snapshotBytes is the size of applied entries after which a snapshot is taken.
func (s *Settings) snapshotBytes() uint64 {
	if s.DiskBytes == 0 {
		return snapshotBytes
	}
	return min(snapshotBytes, uint64(s.DiskBytes)/diskShare)
}

// Time constants of a replica.
const (
	// TickInterval is the duration of one consensus clock tick.
	TickInterval   = 50 * time.Millisecond
	electionTicks  = 15
	heartbeatTicks = 3
	// MaxFailoverTime is the time within which a failed leader is replaced and
	// the new one serves, while a majority is running. It covers up to twice
	// the election timeout, a split vote, and the commit of the first entry of
	// the term.
	MaxFailoverTime = 4 * time.Second
	// MaxStaleLeadership is the longest time for which a leader that lost its
	// quorum still considers itself the leader. Reads and writes always need
	// the quorum, so it serves neither.
	MaxStaleLeadership = 2 * electionTicks * TickInterval
)

// Size limits of a replica.
const (
	maxInflight         = 64
	maxAppendBytes      = 512 << 10
	maxUncommittedBytes = 64 << 20
	maxPromotionLag     = 1000
	maxBatch            = 1024
	queueLength         = 4096
	applyQueueLength    = 1024
	// A snapshot is taken once snapshotEntries entries or snapshotBytes bytes, at most
	// the share 1/diskShare of the disk,
	// were applied since the last one; retainedEntries entries before it stay
	// in memory for lagging replicas.
	snapshotEntries = 50_000
	snapshotBytes   = 64 << 20
	diskShare       = 8
	retainedEntries = 5_000
	// maxDelayedCompactions bounds the log growth while a replica receives a
	// snapshot, in multiples of the thresholds of entries and of bytes. Beyond it the log is
	// compacted and the transfer restarts with a newer snapshot.
	maxDelayedCompactions = 4
)

// NotLeaderError is returned by a replica that is not the leader. The request
// was not appended to the log.
type NotLeaderError struct {
	// LeaderURL is empty if no leader is known.
	LeaderURL string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this replica is not the leader (leader: %q)", e.LeaderURL)
}

// Errors returned by a replica.
var (
	// ErrOutcomeUnknown is returned if leadership was lost before the command
	// was known to be committed.
	ErrOutcomeUnknown = errors.New("leadership was lost; the command may or may not be applied")
	// ErrStopped is returned by a replica that has stopped or failed.
	ErrStopped = errors.New("the replica has stopped")
	// ErrStaleDataDir is returned if the data directory lacks entries or terms that
	// this replica has acknowledged. The operator must empty it; the replica
	// then joins under a new ID.
	ErrStaleDataDir = errors.New("the data folder is older than what this replica acknowledged; empty it and start again")
)
