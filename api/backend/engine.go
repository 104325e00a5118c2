package backend

// CompletionRequest holds the fields of a completions API request that are read
// or set here. Other fields of the client's body are forwarded unchanged.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    Prompt `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Priority is the engine's scheduling priority; lower values run first.
	Priority int `json:"priority,omitempty"`
	// CacheSalt isolates the prefix caches of client accounts from each other.
	CacheSalt     string         `json:"cache_salt,omitempty"`
	KVTransfer    *KVTransfer    `json:"kv_transfer_params,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
}

// Prompt is a prompt given either as text or as token IDs.
type Prompt struct {
	Text   string
	Tokens []int32
}

// StreamOptions requests token usage in the last chunk of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// KVTransfer tells an engine the keys of a prompt's KV cache blocks and where
// stored copies of them can be read.
type KVTransfer struct {
	// BlockKeys are the keys of the prompt's complete blocks, in prompt order.
	BlockKeys []string `json:"block_keys,omitempty"`
	// BlockTokens is the block size in tokens.
	BlockTokens int `json:"block_tokens,omitempty"`
	// WeightVersion is the version that the keys and the request require. An engine
	// that supports this field rejects the request with status 409 if it has loaded
	// another version.
	WeightVersion string `json:"weight_version,omitempty"`
	// Imports lists stored blocks to import before the rest is computed.
	Imports []BlockSource `json:"imports,omitempty"`
	// ImportTimeoutMS bounds the import in milliseconds. Blocks that have not
	// arrived by then are recomputed.
	ImportTimeoutMS int64 `json:"import_timeout_ms,omitempty"`
	// ImportDeadlineMS is the time after the arrival of the request from which on
	// no block may be read, because the reader's lease expires; in milliseconds,
	// 0 means no deadline.
	ImportDeadlineMS int64 `json:"import_deadline_ms,omitempty"`
}

// BlockSource identifies a stored copy of a block.
type BlockSource struct {
	Key string `json:"key"`
	// URL is where the sealed block is read from a store.
	URL string `json:"url"`
}

// Chunk is the payload of one server-sent event in a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a response. Text is used by completions, Delta and
// Message by chat completions.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage reports the token counts of a request.
type Usage struct {
	PromptTokens        int                  `json:"prompt_tokens"`
	CompletionTokens    int                  `json:"completion_tokens"`
	TotalTokens         int                  `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails reports the source of the KV cache blocks of a prompt.
type PromptTokensDetails struct {
	// CachedTokens is the number of tokens found in accelerator memory.
	CachedTokens int `json:"cached_tokens"`
	// ImportedTokens is the number of tokens imported from a store, ImportedBytes
	// the data transferred over its link for them.
	ImportedTokens int   `json:"imported_tokens"`
	ImportedBytes  int64 `json:"imported_bytes"`
	// ImportMS is the duration of the import in milliseconds.
	ImportMS int64 `json:"import_ms,omitempty"`
	// ImportStatus is the HTTP status of the store that ended the import early, or
	// one of the StatusStore values; 0 if the import was not cut short.
	ImportStatus int `json:"import_status,omitempty"`
	// WeightVersion is the version used for the request.
	WeightVersion string `json:"weight_version,omitempty"`
}

// ExportRequest tells an engine to write blocks to a store.
type ExportRequest struct {
	Blocks []BlockTarget `json:"blocks"`
}

// BlockTarget is the destination of one exported block.
type BlockTarget struct {
	Key string `json:"key"`
	URL string `json:"url"`
	// FencingScope is the fencing scope sent to the store with the block.
	FencingScope string `json:"scope,omitempty"`
	// Metadata is the metadata sent to the store with the block.
	Metadata string `json:"meta,omitempty"`
}

// ExportResponse lists the blocks that were written completely.
type ExportResponse struct {
	Sealed []SealedBlock `json:"sealed"`
	// Status is the HTTP status of the store that ended the export early; 0 if the
	// export was not cut short, StatusStoreUnreachable if the store did not respond.
	Status int `json:"status,omitempty"`
}

// Status values used when a store did not return a usable HTTP response.
const (
	// StatusStoreUnreachable: no connection to the store.
	StatusStoreUnreachable = -1
	// StatusStoreTimeout: the block was not complete before the timeout.
	StatusStoreTimeout = -2
	// StatusStoreCorrupt: the content is not that of the block.
	StatusStoreCorrupt = -3
)

// SealedBlock describes a block that a store holds completely.
type SealedBlock struct {
	Key   string `json:"key"`
	Bytes int64  `json:"bytes"`
	// Checksum is the BLAKE3 hash of the content in hexadecimal.
	Checksum string `json:"checksum"`
	// Incarnation and Generation together with Key identify the block in its
	// store; the combination is never reused.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Generation  uint64 `json:"generation,omitempty"`
	// Metadata is the metadata that was written with the block.
	Metadata string `json:"meta,omitempty"`
}

// CacheEvent is a change to an engine's prefix cache.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Type is "stored", "removed" or "cleared".
	Type string   `json:"type"`
	Keys []string `json:"keys,omitempty"`
}

// CacheEvents is a page of cache events, or a snapshot of the cache after a gap
// in the sequence.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// LastSequence is the sequence number of the newest event.
	LastSequence uint64 `json:"last"`
	// Snapshot is true if Keys is a snapshot of the whole cache at the newest event.
	Snapshot bool     `json:"full,omitempty"`
	Keys     []string `json:"keys,omitempty"`
}

// LoadOrder tells an engine to load a weight version.
type LoadOrder struct {
	OrderID       string   `json:"order_id"`
	FencingNumber uint64   `json:"fencing_number"`
	Deployment    string   `json:"deployment"`
	WeightVersion string   `json:"weight_version"`
	Adapters      []string `json:"adapters,omitempty"`
	Role          string   `json:"role,omitempty"`
	WeightsURL    string   `json:"weights_url,omitempty"`
}

// EngineState is the state reported by an engine.
type EngineState struct {
	Server        string   `json:"server"`
	Incarnation   uint64   `json:"incarnation"`
	Deployment    string   `json:"deployment"`
	WeightVersion string   `json:"weight_version"`
	Adapters      []string `json:"adapters,omitempty"`
	Role          string   `json:"role,omitempty"`
	Loading       bool     `json:"loading"`
	LastOrderID   string   `json:"last_order_id"`
	// LastFencingNumber is 0 if the engine ignores fencing numbers.
	LastFencingNumber uint64 `json:"last_fencing_number"`
	Running           int    `json:"running"`
	Waiting           int    `json:"waiting"`
}

// StoreListing is a page of the sealed blocks in a store.
type StoreListing struct {
	Incarnation uint64        `json:"incarnation"`
	Blocks      []SealedBlock `json:"blocks"`
	UsedBytes   int64         `json:"used_bytes"`
	// Cursor is the key after which the next page starts; empty on the last page.
	Cursor string `json:"next,omitempty"`
}
