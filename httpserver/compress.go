package httpserver

import (
	"compress/gzip"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// minCompressBytes is the smallest body that is compressed. A smaller one fits
// into a few packets.
const minCompressBytes = 4 << 10

var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // cannot fail: the level is valid
	return w
}}

// GzipHandler compresses large response bodies with gzip for clients that accept
// it, as Go's HTTP client does by default. It only compresses responses whose
// handler sets Content-Length.
func GzipHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		g := &gzipResponseWriter{ResponseWriter: w}
		defer g.finish()
		next.ServeHTTP(g, r)
	})
}

// gzipResponseWriter decides whether to compress when the header is written.
type gzipResponseWriter struct {
	http.ResponseWriter
	wroteHeader bool
	gzipWriter  *gzip.Writer // nil if the body is not compressed
}

// WriteHeader implements http.ResponseWriter.
func (g *gzipResponseWriter) WriteHeader(status int) {
	g.wroteHeader = true
	header := g.Header()
	length, err := strconv.Atoi(header.Get("Content-Length"))
	if err == nil && length >= minCompressBytes && header.Get("Content-Encoding") == "" {
		header.Del("Content-Length")
		header.Set("Content-Encoding", "gzip")
		g.gzipWriter = gzipWriters.Get().(*gzip.Writer)
		g.gzipWriter.Reset(g.ResponseWriter)
	}
	g.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (g *gzipResponseWriter) Write(p []byte) (int, error) {
	if !g.wroteHeader {
		g.WriteHeader(http.StatusOK)
	}
	if g.gzipWriter != nil {
		return g.gzipWriter.Write(p)
	}
	return g.ResponseWriter.Write(p)
}

func (g *gzipResponseWriter) finish() {
	if g.gzipWriter == nil {
		return
	}
	_ = g.gzipWriter.Close() // fails if the client has disconnected, which then sees a truncated body
	g.gzipWriter.Reset(io.Discard)
	gzipWriters.Put(g.gzipWriter)
}
