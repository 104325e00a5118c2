// Package kvcache tracks KV cache blocks: their identity, which backend servers
// cache them, which context stores hold copies, and when a copy may be read or
// freed.
package kvcache

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// BytesPerToken is the number of text bytes that count as one token for block
// boundaries. It is fixed: a calibrated value would move the boundaries and
// change the identity of every block.
const BytesPerToken = 4

const keyBytes = 16

// BlockKey identifies a block by the whole context up to its end, the client account,
// the deployment and the weight version.
type BlockKey [keyBytes]byte

// String returns the key as hexadecimal digits.
func (k BlockKey) String() string { return hex.EncodeToString(k[:]) }

// ParseBlockKey parses a key from 32 hexadecimal digits; false if the text is not
// one.
func ParseBlockKey(s string) (BlockKey, bool) {
	var k BlockKey
	if len(s) != 2*keyBytes {
		return k, false
	}
	_, err := hex.Decode(k[:], []byte(s))
	return k, err == nil
}

// Scope limits sharing: only prompts of the same scope share blocks.
type Scope struct {
	ClientAccount string
	Deployment    string
	WeightVersion string
}

// seed hashes the scope. Each part is preceded by its length, so that two scopes
// cannot produce the same input.
func (s Scope) seed() [32]byte {
	h := blake3.New()
	for _, part := range []string{s.ClientAccount, s.Deployment, s.WeightVersion} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}

// Salt returns the scope's cache salt, for engines that isolate their prefix caches
// by a salt.
func (s Scope) Salt() string {
	seed := s.seed()
	return hex.EncodeToString(seed[:keyBytes])
}

// TextBlocks returns the keys of the complete blocks of a text prompt; a block has
// blockTokens*BytesPerToken bytes.
func TextBlocks(scope Scope, text string, blockTokens int) []BlockKey {
	return chainKeys(scope, len(text), blockTokens*BytesPerToken, func(h *blake3.Hasher, from, to int) {
		h.WriteString(text[from:to])
	})
}

// TokenBlocks returns the keys of the complete blocks of a tokenized prompt.
func TokenBlocks(scope Scope, tokens []int32, blockTokens int) []BlockKey {
	return chainKeys(scope, len(tokens), blockTokens, func(h *blake3.Hasher, from, to int) {
		var buf [4]byte
		for _, t := range tokens[from:to] {
			binary.LittleEndian.PutUint32(buf[:], uint32(t))
			h.Write(buf[:])
		}
	})
}

// chainKeys hashes each complete block together with the hash of all blocks
// before it.
func chainKeys(scope Scope, length, blockLength int, writeBlock func(h *blake3.Hasher, from, to int)) []BlockKey {
	if blockLength <= 0 {
		return nil
	}
	previous := scope.seed()
	keys := make([]BlockKey, 0, length/blockLength)
	h := blake3.New()
	for from := 0; from+blockLength <= length; from += blockLength {
		h.Reset()
		h.Write(previous[:])
		writeBlock(h, from, from+blockLength)
		h.Sum(previous[:0])
		keys = append(keys, BlockKey(previous[:keyBytes]))
	}
	return keys
}
