package backend

// HTTP headers of the store protocol.
const (
	HeaderChecksum = "X-Block-Checksum"
	HeaderFencing  = "X-Fencing-Number"
	// HeaderScope names the catalogue shard that a block belongs to.
	HeaderScope = "X-Fencing-Scope"
	// HeaderMeta carries the catalogue's metadata for a block. The store returns it
	// in listings.
	HeaderMeta        = "X-Block-Meta"
	HeaderIncarnation = "X-Store-Incarnation"
	HeaderGeneration  = "X-Block-Generation"
)
