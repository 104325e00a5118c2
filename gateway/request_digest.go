package gateway

import (
	"encoding/binary"
	"encoding/hex"
	"sync"

	"github.com/zeebo/blake3"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

// digestContext separates the digests of requests from other uses of the hash. All
// instances must use the same one, and a new one if the fields change.
const digestContext = "galenaarch 2026-12 digest of requests in crash evidence v1"

// shortDigestBytes is how much of a digest is logged. The rest is not: with the whole one,
// the content of a request could be guessed and confirmed.
const shortDigestBytes = 4

// streamDigestContext is digestContext for the digests of streams.
const streamDigestContext = "galenaarch 2026-12 digest of streams by account and request ID v1"

// digester computes digests of one context. It holds hashers for reuse; one takes about 10 KB.
type digester struct{ hashers sync.Pool }

func newDigester(context string) *digester {
	return &digester{sync.Pool{New: func() any { return blake3.NewDeriveKey(context) }}}
}

var requestDigester, streamDigester = newDigester(digestContext), newDigester(streamDigestContext)

// sum sets digest to that of some fields. Each field is preceded by its length, so that no two
// lists of fields have the same input.
func (d *digester) sum(digest []byte, texts []string, body []byte) {
	h := d.hashers.Get().(*blake3.Hasher)
	defer d.hashers.Put(h)
	h.Reset()
	var length [8]byte
	field := func(n int) {
		binary.LittleEndian.PutUint64(length[:], uint64(n))
		_, _ = h.Write(length[:]) // a hash never fails
	}
	for _, text := range texts {
		field(len(text))
		_, _ = h.WriteString(text)
	}
	field(len(body))
	_, _ = h.Write(body)
	_, _ = h.Digest().Read(digest)
}

// requestDigest returns the digest that identifies requests with the same content. account
// is empty for requests without one.
func requestDigest(method, target, account string, body []byte) (d dispatch.RequestDigest) {
	requestDigester.sum(d[:], []string{method, target, account}, body)
	return d
}

// streamDigest returns the digest that identifies a stream by the client account and the ID of
// the client's attempt that brought its first event.
func (c *call) streamDigest(requestID string) (d registry.StreamDigest) {
	streamDigester.sum(d[:], []string{c.accountName(), requestID}, nil)
	return d
}

// accountName returns the name of the client account, empty on public routes.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// shortDigest returns the part of a digest that is logged, empty for that of no request.
func shortDigest(d dispatch.RequestDigest) string {
	if d == (dispatch.RequestDigest{}) {
		return ""
	}
	return hex.EncodeToString(d[:shortDigestBytes])
}

// digest returns the digest of the request, whose body must have been read.
func (c *call) digest() dispatch.RequestDigest {
	if known := c.requestDigest.Load(); known != nil {
		return *known
	}
	d := requestDigest(c.method, c.target, c.accountName(), c.body)
	c.requestDigest.Store(&d)
	return d
}
