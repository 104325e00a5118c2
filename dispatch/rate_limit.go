package dispatch

// RateLimit is what a server states about the rate of its requests. The zero value
// means that it states no limit.
type RateLimit struct {
	Limited bool
	// PerSecond is the number of requests per second that the server takes from all
	// instances together.
	PerSecond float64
}
