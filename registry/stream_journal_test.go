package registry

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// startJournaled starts a hub that keeps its records in a folder; the function returned kills it.
func startJournaled(t *testing.T, dir string) (*Hub, func()) {
	t.Helper()
	h := NewHub(time.Second, noDocuments{}, slog.New(slog.DiscardHandler))
	h.KeepStreamsIn(dir)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.Run(ctx)
	return h, cancel
}

func recordStream(t *testing.T, h *Hub, n int, software string) {
	t.Helper()
	digest := StreamDigest{byte(n), byte(n >> 8)}
	_, err := h.RecordStreams(t.Context(), &fleetv1.RecordStreamsRequest{Groups: []*fleetv1.StreamGroup{{Service: "s", Software: software, Streams: digest[:]}}})
	require.NoError(t, err)
}

func lookUp(t *testing.T, h *Hub, n int) string {
	t.Helper()
	digest := StreamDigest{byte(n), byte(n >> 8)}
	r, err := h.LookUpStream(t.Context(), &fleetv1.LookUpStreamRequest{Stream: digest[:]})
	require.NoError(t, err)
	return r.Software
}

// Guards against records of streams that are lost with the process, or read wrongly: the newest one of a stream counts.
func TestStreamRecordsOutliveTheProcess(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	h, kill := startJournaled(t, dir)
	for n := range 100 {
		recordStream(t, h, n, fmt.Sprint("v", n%3))
	}
	recordStream(t, h, 7, "v9")
	for restart := range 3 {
		kill()
		h, kill = startJournaled(t, dir)
		for n := range 100 {
			want := fmt.Sprint("v", n%3)
			if n == 7 {
				want = "v9"
			}
			require.Equal(t, want, lookUp(t, h, n))
		}
		recordStream(t, h, 200+restart, "v5")
	}
	require.Equal(t, "v5", lookUp(t, h, 200))
	require.Empty(t, lookUp(t, h, 300))
	r, err := h.LookUpStream(t.Context(), &fleetv1.LookUpStreamRequest{Stream: make([]byte, len(StreamDigest{}))})
	require.NoError(t, err)
	require.Zero(t, r.HistoryMs, "a record that is found needs no history")
}

// Guards against records that are made up from a file that a loss of power has torn or spoilt, and against a
// journal that cannot go on behind it.
func TestTornStreamJournalEndsAtItsLastWholeBatch(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(content []byte) []byte{
		"cut off":      func(content []byte) []byte { return content[:len(content)-5] },
		"zeros behind": func(content []byte) []byte { return append(content, make([]byte, 4096)...) },
		"zeros at the end": func(content []byte) []byte {
			clear(content[len(content)-9:])
			return content
		},
		"other bytes": func(content []byte) []byte { return append(content, "\xff\xff\xff\x7fabcdefgh"...) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			h, kill := startJournaled(t, dir)
			recordStream(t, h, 1, "v1")
			recordStream(t, h, 2, "v2")
			kill()
			path := filepath.Join(dir, currentStreams)
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, spoil(content), 0o600))
			h, kill = startJournaled(t, dir)
			require.Equal(t, "v1", lookUp(t, h, 1))
			require.Contains(t, []string{"", "v2"}, lookUp(t, h, 2))
			recordStream(t, h, 3, "v3")
			kill()
			h, _ = startJournaled(t, dir)
			require.Equal(t, "v1", lookUp(t, h, 1))
			require.Equal(t, "v3", lookUp(t, h, 3))
		})
	}
}

// Guards against files that grow, records that are kept for ever, and calls that fail or wait where nothing can be written.
func TestStreamJournalIsBounded(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	j := &streamJournal{dir: dir, logger: slog.New(slog.DiscardHandler)}
	now := time.Now()
	j.open(0, now)
	frame := make([]byte, maxJournalBytes/4)
	for range 6 {
		j.write(frame, now)
	}
	info, err := os.Stat(filepath.Join(dir, currentStreams))
	require.NoError(t, err)
	require.Equal(t, int64(maxJournalBytes), info.Size())
	j.write(frame, now.Add(streamGeneration))
	info, err = os.Stat(filepath.Join(dir, currentStreams))
	require.NoError(t, err)
	require.Equal(t, int64(len(frame)), info.Size(), "a new file")
	valid, err := readJournal(filepath.Join(dir, previousStreams), now.Add(3*streamGeneration), func(*fleetv1.RecordStreamsRequest) { t.Error("too old") })
	require.NoError(t, err)
	require.Zero(t, valid)

	gone := filepath.Join(dir, "gone")
	h, _ := startJournaled(t, gone)
	began := time.Now()
	for n := range 200 {
		recordStream(t, h, n, "v1")
	}
	require.Equal(t, "v1", lookUp(t, h, 199))
	require.Less(t, time.Since(began), 5*time.Second)
}
