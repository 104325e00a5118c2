package entry

import (
	"encoding/binary"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config/routes"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
)

// dispatchMargin is the maximum time from the check of the routing lease until
// a run reaches its engine. A run is not dispatched if the lease could expire
// before that.
const dispatchMargin = 2 * time.Second

// checkDispatch refuses new runs if this entry is isolated: the control plane
// has not confirmed it recently, so its routing epoch may predate a weight
// swap, and it does not see a majority of the other entries either. If the
// control plane is down for everyone, entries that see a majority continue
// without importing or exporting KV blocks; see routingConfirmed.
func (e *Entry) checkDispatch(now time.Time) *refusal.Error {
	if e.routingConfirmed(now) {
		return nil
	}
	if e.node.SeesMajority() && len(e.node.Members()) > 1 {
		return nil
	}
	return refusal.New(refusal.CodeConfigNotCurrent, "route prompt", "control has not confirmed this entry's routing lately")
}

// routingConfirmed reports whether the control plane has confirmed this entry's
// routing epoch. Invariant: without confirmation no run imports or exports
// blocks, because the server may have been switched to another weight version.
// The engine's own cache is safe, since the cache salt includes the weight
// version.
func (e *Entry) routingConfirmed(now time.Time) bool {
	return e.config.LeaseValid(now.Add(dispatchMargin))
}

// candidates returns the servers that may run a prompt in a routing epoch and
// sets the prompt's weight version accordingly. A prompt whose response has
// started stays on its version. The result is nil if there are no servers.
func (e *Entry) candidates(p *prompt, view *routes.View, outputStarted bool) *serverGroup {
	serving := view.ServingVersions(p.deployment.Name, p.deployment.WeightVersion)
	if outputStarted {
		serving = []string{p.scope.WeightVersion}
	}
	eligible := e.eligible(view)
	version := chooseVersion(p, serving, eligible)
	p.useVersion(version)
	return eligible.groups[groupKey{p.deployment.Name, version}]
}

// serviceServers returns the servers of a plain service that accept new calls
// in the current routing epoch.
func (e *Entry) serviceServers(name string) []*fleet.Server {
	view := e.config.Routes().Current()
	return slices.DeleteFunc(slices.Clone(e.fleet.Service(name)), func(s *fleet.Server) bool {
		_, ok := view.WeightVersion(&s.Announcement)
		return !ok
	})
}

// chooseVersion splits prompts between the versions of a weight swap by the
// hash of their first block, in proportion to the number of servers. As servers
// move to the new version its share only grows, so a recurring prefix switches
// versions once.
func chooseVersion(p *prompt, serving []string, eligible *eligibility) string {
	total, versionsPresent := 0, 0
	for _, version := range serving {
		if n := len(eligible.servers(p.deployment.Name, version)); n > 0 {
			total += n
			versionsPresent++
		}
	}
	position := 0.0
	if versionsPresent > 1 {
		position = p.swapPosition() * float64(total)
	}
	// The newest version takes the lowest positions.
	for _, version := range slices.Backward(serving) {
		count := float64(len(eligible.servers(p.deployment.Name, version)))
		if position < count {
			return version
		}
		position -= count
	}
	return serving[0]
}

// useVersion computes the prompt's block keys for a weight version. Invariant:
// every block key of a run includes the version, so a run never matches blocks
// computed with another version.
func (p *prompt) useVersion(version string) {
	if p.scope.WeightVersion == version && p.blocksComputed {
		return
	}
	p.scope.WeightVersion = version
	p.blocks = p.blockKeys(p.scope, math.MaxInt)
	p.blocksComputed = true
	// Lookups made with other keys do not apply to these blocks.
	p.lookup = nil
	p.importPlan = nil
}

// swapPosition returns a number in [0, 1) that is the same for all prompts of
// an account with the same first block.
func (p *prompt) swapPosition() float64 {
	keys := p.blockKeys(kvcache.Scope{ClientAccount: p.scope.ClientAccount, Deployment: p.scope.Deployment}, 1)
	if len(keys) == 0 {
		return float64(uint32(xxhash.Sum64String(p.request.requestID))) / (1 << 32)
	}
	return float64(binary.LittleEndian.Uint32(keys[0][:4])) / (1 << 32)
}

// checkRunVersion reports whether an engine used the weight version that the
// run was sent for, and counts mismatches. Blocks of a mismatched run must not
// be exported.
func (e *Entry) checkRunVersion(p *prompt, server *fleet.Server, usage *backend.Usage) bool {
	if usage == nil || usage.PromptTokensDetails == nil || usage.PromptTokensDetails.WeightVersion == "" {
		return true
	}
	if usage.PromptTokensDetails.WeightVersion == p.scope.WeightVersion {
		return true
	}
	e.metrics.wrongVersion.WithLabelValues(p.deployment.Name).Inc()
	e.logger.Error("run used an unexpected weight version",
		slog.String("server", server.Server),
		slog.String("expected", p.scope.WeightVersion),
		slog.String("used", usage.PromptTokensDetails.WeightVersion))
	return false
}
