package backend

// HTTP headers of the store protocol.
const (
	HeaderBlockChecksum = "X-Block-Checksum"
	HeaderFencingNumber = "X-Fencing-Number"
	// HeaderFencingScope names the catalogue shard that a block belongs to.
	HeaderFencingScope = "X-Fencing-Scope"
	// HeaderBlockMeta carries the catalogue's metadata for a block. The store returns it
	// in listings.
	HeaderBlockMeta        = "X-Block-Meta"
	HeaderStoreIncarnation = "X-Store-Incarnation"
	HeaderBlockGeneration  = "X-Block-Generation"
)
