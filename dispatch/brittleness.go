package dispatch

// Brittleness is what a server states about the rejections that it survives. The zero value
// means that it states nothing.
type Brittleness struct {
	Brittle bool
	// MaxRejections is how many requests of all instances together the server can reject in
	// a second for want of room; with one more it ends.
	MaxRejections int
}

// strictest returns the one of two statements that allows fewer rejections.
func (b Brittleness) strictest(other Brittleness) Brittleness {
	if b.Brittle != other.Brittle {
		if b.Brittle {
			return b
		}
		return other
	}
	b.MaxRejections = min(b.MaxRejections, other.MaxRejections)
	return b
}
