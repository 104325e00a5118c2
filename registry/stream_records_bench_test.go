package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/httpserver"
)

// cpuTime returns the CPU time used by this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it fails only for other arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// captured is the request that a call sends.
type captured struct{ bytes.Buffer }

var errCaptured = errors.New("captured")

// RoundTrip implements http.RoundTripper.
func (c *captured) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Write(c); err != nil {
		return nil, err
	}
	return nil, errCaptured
}

// capture returns the bytes that a call sends to a control instance at an address.
func capture(b *testing.B, address string, call func(fleetv1.Fleet) error) []byte {
	var request captured
	if err := call(fleetv1.NewFleetProtobufClient("http://"+address, &http.Client{Transport: &request})); !errors.Is(err, errCaptured) {
		b.Fatalf("the call is not captured: %v", err)
	}
	return request.Bytes()
}

// measureCalls sends one request again and again on a kept connection, and reports the bytes and
// the CPU time of a call. The CPU time contains a write and a read of the sender.
func measureCalls(b *testing.B, call func(fleetv1.Fleet) error) {
	hub := NewHub(time.Second, nil, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	mux.Handle(fleetv1.FleetPathPrefix, fleetv1.NewFleetServer(hub))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := httpserver.New(mux, httpserver.InternalLimits)
	go func() { _ = server.Serve(listener) }() // it ends with the benchmark
	defer server.Close()
	request := capture(b, listener.Addr().String(), call)
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer connection.Close()
	response := make([]byte, 64<<10)
	exchange := func() int {
		if _, err := connection.Write(request); err != nil {
			b.Fatal(err)
		}
		n, err := connection.Read(response) // a response of this size arrives whole
		if err != nil || !bytes.HasPrefix(response[:n], []byte("HTTP/1.1 200")) {
			b.Fatalf("%q, %v", response[:n], err)
		}
		return n
	}
	responseBytes := exchange()
	before := cpuTime()
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N)/1e3, "us-cpu/message")
	b.ReportMetric(float64(len(request)), "bytes-in/message")
	b.ReportMetric(float64(responseBytes), "bytes-out/message")
}

// BenchmarkRecordStreams measures messages with records of streams at a control instance.
func BenchmarkRecordStreams(b *testing.B) {
	for _, records := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			streams := make([]byte, records*len(StreamDigest{}))
			for i := range records {
				streams[i*len(StreamDigest{})], streams[i*len(StreamDigest{})+1] = byte(i), byte(i>>8)
			}
			measureCalls(b, func(c fleetv1.Fleet) error {
				_, err := c.RecordStreams(context.Background(), &fleetv1.RecordStreamsRequest{Entry: "entry-1", Groups: []*fleetv1.StreamGroup{{Service: "models", Software: "v1.1", Streams: streams}}})
				return err
			})
		})
	}
}

// BenchmarkLookUpStream measures questions for a record at a control instance.
func BenchmarkLookUpStream(b *testing.B) {
	measureCalls(b, func(c fleetv1.Fleet) error {
		_, err := c.LookUpStream(context.Background(), &fleetv1.LookUpStreamRequest{Stream: make([]byte, len(StreamDigest{}))})
		return err
	})
}
