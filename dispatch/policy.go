package dispatch

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Mechanism is a part of the decision logic that can be switched off.
type Mechanism int

// Mechanisms. Their names in settings and logs are in mechanismInfos.
const (
	Cells Mechanism = iota
	Deferral
	Rejection
	LengthGroups
	PrefixHomes
	NonHomePenalty
	MemoryAccounting
	LateBinding
	BacklogLimit
	SilencePenalty
	Cooldown
	FailurePenalty
	PeerLoad
	EngineTransfers
	StoreSlowness
	ShortWithoutTransfer
	EnginePriorities
	StallFailover
	RetryJitter
	StaleWeightsPenalty
	EstimateMargin
	RateLimits
	PartQuarantine
	PeerForwarding
	BrittleRoom
	ServerSlowness
	ColdLimits
	FleetHomes
	WorkBooking
	CallRoom
	mechanismCount
)

// mechanismInfo is the name of a mechanism in settings and logs, and the load pattern
// that it handles.
type mechanismInfo struct{ name, pattern string }

// mechanismInfos describes the mechanisms. The names are part of the settings and older
// than the constants.
var mechanismInfos = [mechanismCount]mechanismInfo{
	Cells:                {"cells", "tens of entry instances sending to tens of servers, each with little knowledge of the servers' load"},
	Deferral:             {"behind", "load above what the servers can serve within the objective for seconds"},
	Rejection:            {"turn-away", "load above what the servers can serve before callers give up"},
	LengthGroups:         {"length-groups", "many short prompts mixed with few long ones"},
	PrefixHomes:          {"homes", "more shared prefixes than one server's memory holds"},
	NonHomePenalty:       {"away-cost", "a popular shared prefix that would be copied to every server"},
	MemoryAccounting:     {"run-memory", "long responses to long prompts, whose runs evict each other from memory"},
	LateBinding:          {"late-binding", "bursts of prompts that fill the servers' memory"},
	BacklogLimit:         {"backlog", "bursts of prompts that queue longer at some servers than at others"},
	SilencePenalty:       {"silence", "servers that stop responding without notice"},
	Cooldown:             {"rest", "servers that fail for seconds or are unreachable"},
	FailurePenalty:       {"failing-cost", "servers that fail some requests while their health checks pass"},
	PeerLoad:             {"words", "prompts of several entry instances that queue at the same server"},
	EngineTransfers:      {"engine-sources", "shared prefixes that are not yet in any store"},
	StoreSlowness:        {"store-slowness", "store links that become slow"},
	ShortWithoutTransfer: {"short-local", "short prompts delayed by the transfers of long ones"},
	EnginePriorities:     {"ranks", "urgent prompts that queue with others at a server"},
	StallFailover:        {"patience", "servers that accept a request and never respond"},
	RetryJitter:          {"return-spread", "callers that were rejected together and would retry together"},
	StaleWeightsPenalty:  {"old-weights-cost", "rolling updates to new weights"},
	EstimateMargin:       {"doubt", "inaccurate wait estimates, by which a prompt that would meet its objective is judged late"},
	RateLimits:           {"rate-limits", "servers that state how many requests per second they take from all instances"},
	PartQuarantine:       {"part-quarantine", "prompts with a part that crashes every server that begins to respond to it"},
	PeerForwarding:       {"peer-forwarding", "entry instances that are cut off from servers which others reach"},
	ServerSlowness:       {"server-slowness", "servers that share their machine with other work and state how long theirs takes"},
	ColdLimits:           {"cold-limits", "servers that return cold, and to which all instances would send at the same moment"},
	BrittleRoom:          {"brittle-room", "servers that end when they have to reject more than a few requests in a second"},
	FleetHomes:           {"fleet-homes", "shared prefixes that each cell of a large fleet would read and keep again"},
	WorkBooking:          {"bookings", "long prompts that entry instances of a large fleet send to the same server before they know of each other's"},
	CallRoom:             {"call-room", "bursts of calls without a prompt before few servers, each of many instances blind for what the others send"},
}

// String implements fmt.Stringer.
func (m Mechanism) String() string { return mechanismInfos[m].name }

// Pattern returns the load pattern that the mechanism handles.
func (m Mechanism) Pattern() string { return mechanismInfos[m].pattern }

// MechanismNames lists the names of all mechanisms.
func MechanismNames() []string {
	names := make([]string, mechanismCount)
	for m := range mechanismCount {
		names[m] = m.String()
	}
	return names
}

// Policy selects the active mechanisms. The zero value enables all of them.
type Policy struct{ off [mechanismCount]bool }

// Without returns a policy without the named mechanisms. names is comma-separated; an
// unknown name is an error.
func Without(names string) (*Policy, error) {
	p := &Policy{}
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		m := slices.Index(MechanismNames(), name)
		if m < 0 {
			return nil, eris.Errorf("unknown mechanism %q; the mechanisms are %s", name, strings.Join(MechanismNames(), ", "))
		}
		p.off[m] = true
	}
	return p, nil
}

// Enabled reports whether a mechanism is active.
func (p *Policy) Enabled(m Mechanism) bool { return !p.off[m] }

// Disabled lists the mechanisms that are switched off.
func (p *Policy) Disabled() []string {
	var names []string
	for m := range mechanismCount {
		if p.off[m] {
			names = append(names, m.String())
		}
	}
	return names
}
