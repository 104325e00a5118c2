package dispatch

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Mechanism is one part of the decisions that can be switched off.
type Mechanism int

// Mechanisms, by the name of their constant.
const (
	Cells Mechanism = iota
	Behind
	TurnAway
	LengthGroups
	Homes
	AwayCost
	RunMemory
	LateBinding
	Backlog
	Silence
	Rest
	FailingCost
	Words
	EngineSources
	StoreSlowness
	ShortLocal
	Ranks
	Patience
	ReturnSpread
	OldWeightsCost
	Doubt
	mechanisms
)

// description is the name of a mechanism in settings and logs, and the load
// pattern that it answers.
type description struct{ name, pattern string }

var described = [mechanisms]description{
	Cells:          {"cells", "tens of entry instances before tens of servers, none of which knows the servers' load"},
	Behind:         {"behind", "more callers for seconds than servers can serve on time"},
	TurnAway:       {"turn-away", "more callers than can be served at all before they leave"},
	LengthGroups:   {"length-groups", "many short prompts beside few long ones"},
	Homes:          {"homes", "many shared parts, more than one server's memory holds"},
	AwayCost:       {"away-cost", "a shared part asked for by many, which would be held everywhere"},
	RunMemory:      {"run-memory", "long answers to long prompts, whose runs push each other out"},
	LateBinding:    {"late-binding", "many callers at once, whose prompts fill the servers' memory"},
	Backlog:        {"backlog", "many callers at once, whose prompts queue at servers for longer than others"},
	Silence:        {"silence", "servers that go dark without a word"},
	Rest:           {"rest", "servers that fail for seconds, or are gone"},
	FailingCost:    {"failing-cost", "servers that fail part of their requests while their health is good"},
	Words:          {"words", "prompts of several entry instances that meet at one server"},
	EngineSources:  {"engine-sources", "shared parts that no store has yet"},
	StoreSlowness:  {"store-slowness", "links of stores that turn slow"},
	ShortLocal:     {"short-local", "short prompts behind the transfers of long ones"},
	Ranks:          {"ranks", "urgent prompts that meet others at a server"},
	Patience:       {"patience", "servers that take a request and say nothing"},
	ReturnSpread:   {"return-spread", "callers that were turned away together and come back together"},
	OldWeightsCost: {"old-weights-cost", "new weights named while servers change one after another"},
	Doubt:          {"doubt", "waits that err, so that what was judged to be late would have been on time"},
}

// String implements fmt.Stringer.
func (m Mechanism) String() string { return described[m].name }

// Pattern is the load pattern that a mechanism answers.
func (m Mechanism) Pattern() string { return described[m].pattern }

// Names lists the mechanisms.
func Names() []string {
	names := make([]string, mechanisms)
	for m := range mechanisms {
		names[m] = m.String()
	}
	return names
}

// Policy says which mechanisms are at work. The zero value has them all.
type Policy struct{ off [mechanisms]bool }

// Without returns the policy without the mechanisms of the names given,
// comma-separated; a name that is not known is an error.
func Without(names string) (*Policy, error) {
	p := &Policy{}
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		m := slices.Index(Names(), name)
		if m < 0 {
			return nil, eris.Errorf("no mechanism %q; there are %s", name, strings.Join(Names(), ", "))
		}
		p.off[m] = true
	}
	return p, nil
}

// On reports whether a mechanism is at work.
func (p *Policy) On(m Mechanism) bool { return !p.off[m] }

// Off lists the mechanisms that are not at work.
func (p *Policy) Off() []string {
	var names []string
	for m := range mechanisms {
		if p.off[m] {
			names = append(names, m.String())
		}
	}
	return names
}
