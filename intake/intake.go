// Package intake bounds what a process holds for peers that it does not control. One Budget per
// process counts the bytes of heads, bodies and buffered responses at all listeners before they
// are stored, and the connections. Which connection gives way is decided by pure functions of
// what each holds and how fast it makes progress.
package intake

import (
	"errors"
	"flag"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/galenaarch/galenaarch/kernel/settings"
)

// ErrNoRoom means that the process has no memory for a request. The request has not run.
var ErrNoRoom = errors.New("no memory for the request")

// Kind is what held bytes are used for.
type Kind int

// Kinds of held bytes.
const (
	Connections Kind = iota
	Heads
	Bodies
	Responses
	kindCount
)

// kindNames are label values of a metric.
var kindNames = [kindCount]string{"connections", "heads", "bodies", "responses"}

// reason is why a connection or request was refused, as a label value of a metric.
type reason string

const (
	reasonNoRoom      reason = "no memory"
	reasonSlow        reason = "gave way"
	reasonConnections reason = "too many connections"
	reasonAddress     reason = "too many connections of the address"
)

// Sizes in bytes, and times.
const (
	// connectionBytes is what an open connection takes besides its request: two buffers of
	// net/http, the stacks of its goroutine and the structures of the poller.
	connectionBytes = 16 << 10
	// headFactor and headLineBytes turn the size of a head on the wire into memory: the text is
	// held twice, and each line takes an entry of a map.
	headFactor    = 2
	headLineBytes = 192
	// smallBytes is what each request may hold of the whole budget; above it only bulkShare of
	// the budget is available, so that small requests find room beside many large ones.
	smallBytes = 64 << 10
	bulkShare  = 0.75
	// leavingShare is the share of the budget that requests which were told to give way may still
	// hold while others use it.
	leavingShare = 0.25
	// rejectionShare is what whole heads without memory may hold beyond that while they are rejected.
	rejectionShare = 0.125
	// minPace is the progress in bytes per second below which a request falls behind, and minLag
	// how far it must have fallen behind to give way.
	minPace = 64 << 10
	minLag  = 200 * time.Millisecond
	// maxCredit is how far a fast request can be ahead of minPace.
	maxCredit = time.Second
	// searchInterval bounds the time spent in searches for connections that may give way.
	searchInterval = 10 * time.Millisecond
)

// The budget is a share of the memory that the Go runtime may use, less what the process needs
// without any request.
const (
	runtimeShare  = 0.7
	baseBytes     = 32 << 20
	budgetShare   = 0.6
	minLimitBytes = 8 << 20
)

// LimitFor returns the budget in bytes of a process with the given memory in MB; 0 means
// unlimited.
func LimitFor(memoryMB int) int64 {
	if memoryMB <= 0 {
		return 0
	}
	usable := runtimeShare*float64(memoryMB)*(1<<20) - baseBytes
	return max(minLimitBytes, int64(budgetShare*usable))
}

// Descriptors: reservedDescriptors are for files, and connectionShare of the rest is for accepted
// connections; the others are for connections to servers and peers.
const (
	reservedDescriptors = 200
	connectionShare     = 0.75
	// listenerShare is the share of the connections that one listener may take, and addressShare
	// that of one remote address at a listener: all clients of a failure domain may have the same.
	listenerShare = 0.9
	addressShare  = 0.9
	// minConnections is accepted whatever the number of descriptors.
	minConnections = 16
)

// Settings are the settings of a Budget.
type Settings struct {
	// MaxDescriptors is the number of file descriptors that the process may use; 0 for the
	// limit of the operating system.
	MaxDescriptors int
	// MaxConnectionsPerAddress bounds the connections of one remote address at one listener; 0
	// for 0.9 of the listener's.
	MaxConnectionsPerAddress int
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.IntVar(&s.MaxDescriptors, "max-descriptors", 0, "file descriptors that the process may use; 0 for the limit of the operating system")
	fs.IntVar(&s.MaxConnectionsPerAddress, "max-connections-per-address", 0, "connections of one remote address at one listener; 0 for 0.9 of the connections of a listener")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	if s.MaxDescriptors < 0 {
		c.Add("max-descriptors", "%d must not be negative", s.MaxDescriptors)
	}
	if s.MaxConnectionsPerAddress < 0 {
		c.Add("max-connections-per-address", "%d must not be negative", s.MaxConnectionsPerAddress)
	}
}

// limits are the bounds of a budget.
type limits struct {
	// bytes is the memory for requests and connections; 0 means unlimited.
	bytes int64
	// total, listener and address bound the connections in all, at one listener, and of one
	// remote address at one listener.
	total, listener, address int
}

// limitsFor derives the bounds from the settings.
func limitsFor(s Settings, memoryMB int) (limits, error) {
	descriptors := s.MaxDescriptors
	if descriptors == 0 {
		var soft unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &soft); err != nil {
			return limits{}, eris.Wrap(err, "read the limit of file descriptors")
		}
		descriptors = int(min(soft.Cur, 1<<30))
	}
	l := limits{bytes: LimitFor(memoryMB), total: max(minConnections, int(connectionShare*float64(descriptors-reservedDescriptors)))}
	l.listener = int(listenerShare * float64(l.total))
	l.address = int(addressShare * float64(l.listener))
	if s.MaxConnectionsPerAddress > 0 {
		l.address = s.MaxConnectionsPerAddress
	}
	return l, nil
}
