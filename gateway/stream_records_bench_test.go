package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

// cpuTime returns the CPU time used by this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it fails only for other arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddStreamRecord measures the record of one stream: its digest, the own record, and
// the batches of the two control instances of nine that hold it.
func BenchmarkAddStreamRecord(b *testing.B) {
	s := newTestRecords()
	var urls []string
	for n := range 9 {
		urls = append(urls, fmt.Sprintf("http://10.0.0.%d:7000", n))
	}
	software := &dispatch.Software{Service: "models", Version: "v1.1"}
	n := 0
	before := cpuTime()
	for b.Loop() {
		if n%maxPendingRecords == 0 {
			s.pending, s.current = make(map[string]*recordBatch), make(map[registry.StreamDigest]streamRecord)
		}
		n++
		var digest registry.StreamDigest
		streamDigester.sum(digest[:], []string{"account-1", fmt.Sprint("request-", n)}, nil)
		s.add(digest, software, maxResumeTime, true)
		s.mu.Lock()
		for _, url := range recordHolders(digest, urls, recordCopies) {
			s.enqueue(url, digest, software)
		}
		s.mu.Unlock()
	}
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N)/1e3, "us-cpu/stream")
}

// answerAlways reads requests on each connection and sends the same response to each. It counts
// the bytes that it receives.
func answerAlways(b *testing.B, received *atomic.Int64) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	const response = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(countingReader{c, received})
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.Copy(c, strings.NewReader(response)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count *atomic.Int64
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (n int, err error) {
	n, err = r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}

// BenchmarkSendStreamRecords measures messages with records at the entry instance that sends
// them. The CPU time contains that of a receiver which reads each request and does nothing.
func BenchmarkSendStreamRecords(b *testing.B) {
	for _, records := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			var received atomic.Int64
			client := fleetv1.NewFleetProtobufClient("http://"+answerAlways(b, &received), peerClient())
			streams := make([]byte, records*len(registry.StreamDigest{}))
			before := cpuTime()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
				_, err := client.RecordStreams(ctx, &fleetv1.RecordStreamsRequest{Entry: "entry-1", Groups: []*fleetv1.StreamGroup{{Service: "models", Software: "v1.1", Streams: streams}}})
				cancel()
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N)/1e3, "us-cpu/message")
			b.ReportMetric(float64(received.Load())/float64(b.N), "bytes-out/message")
		})
	}
}
