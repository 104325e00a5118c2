package httpserver

import (
	"compress/gzip"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// leastCompressed is the shortest body that is compressed; bytes. A shorter one
// fits into a few packets.
const leastCompressed = 4 << 10

var compressors = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return w
}}

// Compressed compresses longer answers for clients that take them so, as Go's
// own do. It is for handlers that state the length of what they write.
func Compressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		c := &compressing{ResponseWriter: w}
		defer c.end()
		next.ServeHTTP(c, r)
	})
}

// compressing decides at the head of an answer.
type compressing struct {
	http.ResponseWriter
	begun bool
	to    *gzip.Writer
}

// WriteHeader implements http.ResponseWriter.
func (c *compressing) WriteHeader(status int) {
	c.begun = true
	h := c.Header()
	length, err := strconv.Atoi(h.Get("Content-Length"))
	if err == nil && length >= leastCompressed && h.Get("Content-Encoding") == "" {
		h.Del("Content-Length")
		h.Set("Content-Encoding", "gzip")
		c.to = compressors.Get().(*gzip.Writer)
		c.to.Reset(c.ResponseWriter)
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (c *compressing) Write(p []byte) (int, error) {
	if !c.begun {
		c.WriteHeader(http.StatusOK)
	}
	if c.to != nil {
		return c.to.Write(p)
	}
	return c.ResponseWriter.Write(p)
}

func (c *compressing) end() {
	if c.to == nil {
		return
	}
	_ = c.to.Close() // the client has left; it sees a broken answer
	c.to.Reset(io.Discard)
	compressors.Put(c.to)
}
