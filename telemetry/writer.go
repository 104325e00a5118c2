package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines bounds the log lines queued while the output is slow or blocked.
const maxQueuedLines = 1024

// AsyncWriter writes log lines from its own goroutine, so that logging never blocks
// on the output. Lines that arrive while the queue is full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closing chan struct{}
}

// NewAsyncWriter starts a goroutine that writes the lines to output. The caller
// must call Close.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go w.run(output)
	return w
}

func (w *AsyncWriter) run(output io.Writer) {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-w.closing:
			batch = w.appendQueued(batch[:0])
			_, _ = output.Write(batch) // a failing log output cannot be logged
			return
		}
		batch = w.appendQueued(batch)
		_, _ = output.Write(batch) // a failing log output cannot be logged
	}
}

// appendQueued appends the queued lines to batch until it holds at least 64 KiB,
// so that a burst of lines needs only one system call.
func (w *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < 64<<10 {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) DroppedLines() uint64 { return w.dropped.Load() }

// Register registers a counter of dropped lines with r.
func (w *AsyncWriter) Register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "galena_log_lines_dropped_total", Help: "Log lines that found no room because the output was slow or blocked.",
	}, func() float64 { return float64(w.DroppedLines()) }))
}

// Close writes one last batch of queued lines and stops the goroutine. It blocks
// while the output blocks. Queued lines beyond that batch are lost.
func (w *AsyncWriter) Close() {
	close(w.closing)
	<-w.done
}
