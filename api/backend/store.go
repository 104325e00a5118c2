package backend

// HTTP headers of the store protocol.
const (
	// HeaderBlockChecksum carries the BLAKE3 hash of a block's content in
	// hexadecimal.
	HeaderBlockChecksum = "X-Block-Checksum"
	// HeaderFencingNumber carries the fencing number under which the sender acts,
	// in decimal.
	HeaderFencingNumber = "X-Fencing-Number"
	// HeaderFencingScope names the catalogue shard that a block belongs to.
	HeaderFencingScope = "X-Fencing-Scope"
	// HeaderBlockMeta carries the catalogue's metadata for a block. The store
	// returns it in listings.
	HeaderBlockMeta = "X-Block-Meta"
	// HeaderStoreIncarnation and HeaderBlockGeneration carry the values of
	// SealedBlock.Incarnation and SealedBlock.Generation in decimal.
	HeaderStoreIncarnation = "X-Store-Incarnation"
	HeaderBlockGeneration  = "X-Block-Generation"
)
