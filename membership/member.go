// Package membership tracks which entry instances are alive, by probing and
// suspicion among the entries themselves, and replicates a small versioned map
// of each instance to the others. Core is the protocol as a deterministic state
// machine over time, randomness and messages; Node runs it over twirp.
package membership

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// Member describes one entry instance.
type Member struct {
	Instance      string
	FailureDomain string
	// Region groups failure domains with a latency of a few milliseconds
	// between them.
	Region string
	// ClientURL is the listener for clients, PeerURL the one for other entries,
	// and BackendURL the one to which backend servers announce themselves.
	ClientURL  string
	PeerURL    string
	BackendURL string
	// Incarnation changes at each start of the process.
	Incarnation uint64
	// Draining is true once the instance has started a graceful shutdown.
	Draining bool
}

// MemberSource provides the members currently considered alive, this instance
// included, sorted by instance. The result must not be modified.
type MemberSource interface {
	Members() []Member
}

// RegionOf returns the region of a failure domain: its name without the part
// after the last hyphen.
func RegionOf(failureDomain string) string {
	if i := strings.LastIndexByte(failureDomain, '-'); i > 0 {
		return failureDomain[:i]
	}
	return failureDomain
}

func (m *Member) identity() *memberv1.Identity {
	return &memberv1.Identity{
		Instance:      m.Instance,
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		CallerUrl:     m.ClientURL,
		PeerUrl:       m.PeerURL,
		BackendUrl:    m.BackendURL,
		Incarnation:   m.Incarnation,
	}
}

func memberOf(id *memberv1.Identity) Member {
	return Member{
		Instance:      id.Instance,
		FailureDomain: id.FailureDomain,
		Region:        id.Region,
		ClientURL:     id.CallerUrl,
		PeerURL:       id.PeerUrl,
		BackendURL:    id.BackendUrl,
		Incarnation:   id.Incarnation,
		Draining:      id.Draining,
	}
}

// runIDOf returns the ID of a run, that is one incarnation of an instance's
// process.
func runIDOf(id *memberv1.Identity) uint64 {
	var digest xxhash.Digest
	_, _ = digest.WriteString(id.Instance) // hash writes never fail
	for shift := 0; shift < 64; shift += 8 {
		_, _ = digest.Write([]byte{byte(id.Incarnation >> shift)})
	}
	return digest.Sum64()
}

// statusCount is the number of values of memberv1.Status.
const statusCount = 4

// identityVersion orders the identities of one run. A higher count, which only
// the run itself assigns, supersedes every status with a lower count.
func identityVersion(id *memberv1.Identity) uint64 {
	return id.Count*statusCount + uint64(id.Status)
}
