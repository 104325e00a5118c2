package gateway

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/config/site"
)

// forwardDecision is what an instance has decided on a request that it passes on: by which route,
// account and limit it is served, whatever the site document of the next instance says.
type forwardDecision struct {
	Route   forwardedRoute    `json:"route"`
	Account *forwardedAccount `json:"account,omitempty"`
	// MaxBodyBytes limits the body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// forwardedRoute is a route, without the paths that lead to it.
type forwardedRoute struct {
	Name            string            `json:"name"`
	Kind            string            `json:"kind"`
	Resumable       bool              `json:"resumable,omitempty"`
	TimeoutUs       int64             `json:"timeout_us"`
	TargetLatencyUs int64             `json:"target_latency_us,omitempty"`
	TargetGapUs     int64             `json:"target_gap_us,omitempty"`
	ClientTimeoutUs int64             `json:"client_timeout_us,omitempty"`
	Priority        int               `json:"priority,omitempty"`
	MaxServers      int               `json:"max_servers"`
	Public          bool              `json:"public,omitempty"`
	DeclaresPrompt  bool              `json:"declares_prompt,omitempty"`
	Targets         []forwardedTarget `json:"targets"`
}

// forwardedTarget is a target of a route.
type forwardedTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// forwardedAccount is an account, without its keys.
type forwardedAccount struct {
	Name        string `json:"name"`
	Priority    int    `json:"priority,omitempty"`
	HasPriority bool   `json:"has_priority,omitempty"`
	Isolated    bool   `json:"isolated,omitempty"`
}

// forwardDecision returns what this instance has decided on the request.
func (c *call) forwardDecision() *forwardDecision {
	r := c.route
	d := &forwardDecision{MaxBodyBytes: c.maxBodyBytes(), Route: forwardedRoute{
		Name: r.Name, Kind: r.Kind.String(), Resumable: r.Resumable, TimeoutUs: forwardedMicroseconds(r.Timeout), TargetLatencyUs: forwardedMicroseconds(r.TargetLatency),
		TargetGapUs: forwardedMicroseconds(r.TargetEventGap), ClientTimeoutUs: forwardedMicroseconds(r.ClientTimeout), Priority: r.Priority, MaxServers: r.MaxServers, Public: r.Public, DeclaresPrompt: r.DeclaresPrompt,
	}}
	for _, t := range r.Targets {
		d.Route.Targets = append(d.Route.Targets, forwardedTarget{Service: t.Service, Weight: t.Weight})
	}
	if a := c.account; a != nil {
		d.Account = &forwardedAccount{Name: a.Name, Priority: a.Priority, HasPriority: a.HasPriority, Isolated: a.Isolated}
	}
	return d
}

// encode returns the text of the decision.
func (d *forwardDecision) encode() string {
	text, _ := json.Marshal(d) // it holds nothing that cannot be encoded
	return string(text)
}

// decodeForwardDecision decodes the text of a decision.
func decodeForwardDecision(text string) (*forwardDecision, error) {
	d := &forwardDecision{}
	if err := json.Unmarshal([]byte(text), d); err != nil {
		return nil, eris.Wrap(err, "decode the decision on a forwarded request")
	}
	r, longest := &d.Route, maxForwardedTime.Microseconds()
	for _, us := range []int64{r.TimeoutUs, r.TargetLatencyUs, r.TargetGapUs, r.ClientTimeoutUs} {
		if us < 0 || us > longest {
			return nil, eris.Errorf("%d is no time", us)
		}
	}
	if kindNamed(r.Kind) == 0 || d.MaxBodyBytes < 0 {
		return nil, eris.New("decision on a forwarded request is malformed")
	}
	return d, nil
}

// kindNamed returns the kind of a route by its name, 0 if there is none.
func kindNamed(name string) site.Kind {
	for kind := site.KindIdempotent; kind <= site.KindStream; kind++ {
		if kind.String() == name {
			return kind
		}
	}
	return 0
}

// adopt applies the decision to a request that was passed on.
func (d *forwardDecision) adopt(c *call) {
	r := &d.Route
	c.route = &site.Route{
		Name: r.Name, Kind: kindNamed(r.Kind), Resumable: r.Resumable, Timeout: durationOf(r.TimeoutUs), TargetLatency: durationOf(r.TargetLatencyUs), TargetEventGap: durationOf(r.TargetGapUs),
		ClientTimeout: durationOf(r.ClientTimeoutUs), Priority: r.Priority, MaxServers: r.MaxServers, Public: r.Public, DeclaresPrompt: r.DeclaresPrompt,
	}
	for _, t := range r.Targets {
		c.route.Targets = append(c.route.Targets, site.Target{Service: t.Service, Weight: t.Weight})
	}
	if a := d.Account; a != nil {
		c.account = &site.Account{Name: a.Name, Priority: a.Priority, HasPriority: a.HasPriority, Isolated: a.Isolated}
	}
}

// forwardedMicroseconds returns a time as it is passed on.
func forwardedMicroseconds(d time.Duration) int64 { return min(d, maxForwardedTime).Microseconds() }

func durationOf(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
