package telemetry

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blocked is an output that nobody reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBlockedOutputDelaysNobody(t *testing.T) {
	out := blocked{make(chan struct{})}
	w := NewWriter(out)
	logger := slog.New(slog.NewJSONHandler(w, nil))
	began := time.Now()
	for range 3 * queuedLines {
		logger.Info("line")
	}
	require.Less(t, time.Since(began), time.Second)
	require.Positive(t, w.Dropped())
	close(out.release)
	w.Close()
}

func TestQueuedLinesAreWrittenAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	w.Close()
	require.Equal(t, 100, bytes.Count(out.Bytes(), []byte("\n")))
	require.Zero(t, w.Dropped())
}
