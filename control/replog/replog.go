// Package replog runs a replica of a replicated log: it drives the consensus
// core with a clock, a disk and the network, and applies what is committed to a
// state machine.
package replog

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"
)

// Machine is the state that the log decides. Apply, Encode and Restore are
// called by one goroutine, in the order of the log.
type Machine interface {
	// Apply executes a command and returns its result.
	Apply(command []byte) any
	// Encode returns the whole state.
	Encode() ([]byte, error)
	// Restore replaces the state; empty bytes stand for the initial one.
	Restore(state []byte) error
	// NowMS is the log's time after the last command; milliseconds, 0 before
	// the first.
	NowMS() int64
}

// Peer is a replica that the settings name.
type Peer struct{ Name, URL string }

// Settings of a replica.
type Settings struct {
	// Group names the log.
	Group string
	// Name is this replica's; its identity adds a part that is unique to its
	// disk.
	Name string
	// Dir is the folder of this group.
	Dir string
	// URL is where the other replicas reach this one; empty if Replicas names
	// it.
	URL string
	// Replicas lists the initial replicas with this one among them; the first
	// one founds the group. With Open they are only seeds: a few addresses,
	// without names, that need not include this one.
	Replicas []Peer
	// Open admits replicas that Replicas does not name, and lets a voter that
	// has been silent for long leave.
	Open bool
	// MayFound lets the first of open Replicas found the group. It must be
	// false once a group was founded, or an emptied replica would found another.
	MayFound bool
	// LeaderWait is how long a starting replica with a log waits to hear the
	// leader or all voters before a majority is enough; 0 for the default,
	// below 0 if folders never come back older than they were.
	LeaderWait time.Duration
	// CompactEntries are applied between two snapshots; 0 for the default.
	CompactEntries uint64
	Logger         *slog.Logger
	Client         *http.Client
}

// Times of a replica.
const (
	// TickInterval is one step of the core's clock.
	TickInterval   = 50 * time.Millisecond
	electionTicks  = 15
	heartbeatTicks = 3
	// FailoverBound is the time within which a killed leader is replaced and
	// the new one serves, with a majority running: up to twice the election
	// time, a split vote, and the first entry of the term.
	FailoverBound = 4 * time.Second
	// MaxCutOffServing is the longest time for which a leader without its
	// quorum still believes that it leads; reads and writes need the quorum
	// at any time.
	MaxCutOffServing = 2 * electionTicks * TickInterval
)

// Bounds of a replica.
const (
	maxInflight         = 64
	maxAppendBytes      = 512 << 10
	maxUncommittedBytes = 64 << 20
	promoteLag          = 1000
	maxBatch            = 1024
	queueLength         = 4096
	applyQueue          = 1024
	// compactEntries and compactBytes are applied since the last snapshot when
	// the next one is taken; keepEntries stay in memory for lagging replicas.
	compactEntries = 50_000
	compactBytes   = 64 << 20
	keepEntries    = 5_000
	// maxDelayedCompactions bounds the log while a replica receives a snapshot:
	// a slower one begins again with a newer snapshot.
	maxDelayedCompactions = 4
)

// NotLeaderError says that another replica leads. The request did not enter
// the log.
type NotLeaderError struct {
	// LeaderURL is empty if no leader is known.
	LeaderURL string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this replica is not the leader (leader: %q)", e.LeaderURL)
}

// Errors of a replica.
var (
	// ErrOutcomeUnknown says that the command may or may not be applied.
	ErrOutcomeUnknown = errors.New("leadership was lost; the command may or may not be applied")
	// ErrStopped says that the replica has stopped.
	ErrStopped = errors.New("the replica has stopped")
	// ErrOldDisk says that the folder holds less than this replica had
	// acknowledged. The operator empties it; the replica then joins as new.
	ErrOldDisk = errors.New("the data folder is older than what this replica acknowledged; empty it and start again")
)
