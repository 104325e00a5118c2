package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// readAll returns all records of a log.
func readAll(t *testing.T, path string) ([]string, error) {
	t.Helper()
	var got []string
	l, err := OpenLog(path, func(r []byte) error {
		got = append(got, string(r))
		return nil
	})
	if err == nil {
		require.NoError(t, l.Close())
	}
	return got, err
}

// TestOpenLogRecovery checks that an incomplete or corrupt last record is dropped and
// that corruption before it is reported.
func TestOpenLogRecovery(t *testing.T) {
	tests := []struct {
		name       string
		corruption func(data []byte) []byte
		want       []string
		corrupt    bool
	}{
		{"intact", func(d []byte) []byte { return d }, []string{"one", "two", "three"}, false},
		{"incomplete header", func(d []byte) []byte { return d[:len(d)-10] }, []string{"one", "two"}, false},
		{"incomplete record", func(d []byte) []byte { return d[:len(d)-1] }, []string{"one", "two"}, false},
		{"last record corrupt", func(d []byte) []byte { d[len(d)-1] ^= 1; return d }, []string{"one", "two"}, false},
		{"first record corrupt", func(d []byte) []byte { d[headerBytes] ^= 1; return d }, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			l, err := OpenLog(path, func([]byte) error { return nil })
			require.NoError(t, err)
			require.NoError(t, l.Append([]byte("one"), []byte("two")))
			require.NoError(t, l.Append([]byte("three")))
			require.NoError(t, l.Close())
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, tt.corruption(data), 0o600))
			got, err := readAll(t, path)
			if tt.corrupt {
				var corruption *CorruptionError
				require.ErrorAs(t, err, &corruption)
				require.Equal(t, path, corruption.File)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}
