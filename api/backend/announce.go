// Package backend defines the JSON types exchanged with backend servers:
// announcements, the completions API of the engines with its cache extensions,
// orders to engines, and the store protocol.
package backend

// Announcement registers a backend server with an entry. The server announces
// itself periodically to renew its registration.
type Announcement struct {
	// Server is the backend server's name, unique in its environment.
	Server string `json:"server"`
	// Kind is the name of a server kind in the configuration document.
	Kind string `json:"kind"`
	// URL is the base URL; its host is an IP address.
	URL string `json:"url"`
	// Deployment is set for a model engine, Service for any other service.
	Deployment string `json:"deployment,omitempty"`
	Service    string `json:"service,omitempty"`
	// WeightVersion is the version used by new requests.
	WeightVersion string   `json:"weight_version,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	Role          string   `json:"role,omitempty"`
	FailureDomain string   `json:"failure_domain"`
	// Incarnation changes each time the process starts.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases by one with each announcement of an incarnation, so that
	// entries can discard announcements that arrive out of order. It is 0 if the
	// server does not number its announcements.
	Sequence uint64 `json:"sequence,omitempty"`
	// ChecksFencing is true if the server rejects orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
	// Slots is the maximum number of requests in a batch.
	Slots int `json:"slots"`
	// PrefillTokensPerSecond is the prefill throughput; 0 if unknown.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// Leaving is true once the server accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// AnnounceResponse is the response to an Announcement.
type AnnounceResponse struct {
	// RenewAfterMS is the delay until the next announcement in milliseconds.
	RenewAfterMS int64 `json:"renew_after_ms"`
	// Entries lists the addresses of entries to announce to, most preferred first.
	Entries []string `json:"entries,omitempty"`
}

// ServerList lists the backend servers known to an entry.
type ServerList struct {
	Servers []Announcement `json:"servers"`
}
