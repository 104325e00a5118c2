package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest measures an ordinary request of 2 KiB on a kept connection, with and without a
// budget.
func BenchmarkRequest(b *testing.B) {
	for name, budget := range map[string]*Budget{"without": nil, "within": testBudget(limits{bytes: 64 << 20, total: 100, listener: 100, address: 100})} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(echo)}
			counted := budget.Protect(s, l, "clients")
			if counted, ok := counted.(*Listener); ok {
				counted.SetEchoHeader("X-Request-Id")
			}
			go func() { _ = s.Serve(counted) }()
			defer s.Close()
			sent := strings.Repeat("x", 2<<10)
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader(sent))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body.Close()
			}
		})
	}
}
