package placement

import "github.com/cespare/xxhash/v2"

// Rank returns the rendezvous hash of a server for a key. All entry instances agree
// on it without communication, and a server that joins or leaves moves only its own
// keys. The server with the highest rank is the key's home.
func Rank(key, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(server)
	return d.Sum64()
}
