package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// ItemDigest returns the digest of one item at the revision that last changed
// it. The digest of a document is the wrapping sum of its item digests, so
// that changing one item costs one addition and one subtraction. It detects
// lost and stale items; it is not cryptographic and does not detect forgery.
func ItemDigest(item *controlv1.ConfigItem) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, part := range [][]byte{[]byte(item.Kind), []byte(item.Name), item.Body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:]) // xxhash never returns an error
		_, _ = d.Write(part)
	}
	binary.LittleEndian.PutUint64(length[:], item.Revision)
	_, _ = d.Write(length[:])
	return d.Sum64()
}

// Digest returns the digest of a document's items. It does not depend on their order.
func Digest(items []*controlv1.ConfigItem) uint64 {
	var sum uint64
	for _, item := range items {
		sum += ItemDigest(item)
	}
	return sum
}
