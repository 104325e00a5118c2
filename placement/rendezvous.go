package placement

import "github.com/cespare/xxhash/v2"

// Rank orders servers for a key alike at every entry instance without a word
// between them; when a server comes or goes, only its own keys move. The server
// with the highest rank is the key's home.
func Rank(key, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(server)
	return d.Sum64()
}
