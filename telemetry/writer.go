package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// queuedLines bounds the log lines that wait for a slow or blocked output.
const queuedLines = 1024

// Writer passes log lines on from a goroutine of its own. Nobody who logs ever
// waits for the output: lines beyond the queue are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closing chan struct{}
}

// NewWriter returns a writer to w.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, queuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Writer) run(w io.Writer) {
	defer close(q.done)
	var batch []byte
	for {
		select {
		case line := <-q.lines:
			batch = append(batch[:0], line...)
		case <-q.closing:
			batch = q.gather(batch[:0])
			_, _ = w.Write(batch) // there is nowhere else to say it
			return
		}
		batch = q.gather(batch)
		_, _ = w.Write(batch) // there is nowhere else to say it
	}
}

// gather adds what is queued, so that a burst takes one system call.
func (q *Writer) gather(batch []byte) []byte {
	for len(batch) < 64<<10 {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer. It never waits and never fails.
func (q *Writer) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were not written.
func (q *Writer) Dropped() uint64 { return q.dropped.Load() }

// Register exports the number of dropped lines.
func (q *Writer) Register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "galena_log_lines_dropped_total", Help: "Log lines that found no room because the output was slow or blocked.",
	}, func() float64 { return float64(q.Dropped()) }))
}

// Close writes what is queued.
func (q *Writer) Close() {
	close(q.closing)
	<-q.done
}
