package telemetry

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedOutput blocks every write until release is closed.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	w := NewAsyncWriter(out)
	logger := slog.New(slog.NewJSONHandler(w, nil))
	start := time.Now()
	for range 3 * maxQueuedLines {
		logger.Info("line")
	}
	require.Less(t, time.Since(start), time.Second)
	require.Positive(t, w.DroppedLines())
	close(out.release)
	w.Close()
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	w.Close()
	require.Equal(t, 100, bytes.Count(out.Bytes(), []byte("\n")))
	require.Zero(t, w.DroppedLines())
}
