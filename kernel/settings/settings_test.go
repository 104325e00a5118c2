package settings

import (
	"flag"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleSettings has one setting for each kind of check.
type sampleSettings struct {
	listen string
	peers  string
	count  int
	dir    string
}

func (s *sampleSettings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.listen, "listen", "127.0.0.1:1", "IP:port")
	fs.StringVar(&s.peers, "peers", "", "URLs")
	fs.IntVar(&s.count, "count", 1, "count")
	fs.StringVar(&s.dir, "data-dir", "", "directory")
}

func (s *sampleSettings) Check(c *Checker) {
	c.Address("listen", s.listen)
	c.URLs("peers", s.peers)
	Positive(c, "count", s.count, "items")
	c.WritableDir("data-dir", s.dir)
}

func TestParseReportsAllInvalidFlags(t *testing.T) {
	dir := t.TempDir()
	notADirectory := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(notADirectory, nil, 0o600))
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"valid", []string{"-data-dir", dir}, nil},
		{"unknown flag", []string{"-no-such"}, []string{"-no-such"}},
		{"positional argument", []string{"-data-dir", dir, "extra"}, []string{"extra"}},
		{"several errors at once", []string{"-listen", "localhost:1", "-peers", "ftp://x", "-count", "0", "-data-dir", notADirectory},
			[]string{"-listen", "-peers", "-count", "-data-dir"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Parse("sample", tt.args, io.Discard, &sampleSettings{})
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			for _, w := range tt.want {
				require.ErrorContains(t, err, w)
			}
		})
	}
}

func TestParseReadsEnvironmentVariables(t *testing.T) {
	t.Setenv("GALENA_DATA_DIR", t.TempDir())
	t.Setenv("GALENA_COUNT", "7")
	var s sampleSettings
	require.NoError(t, Parse("sample", nil, io.Discard, &s))
	require.Equal(t, 7, s.count)
}

// TestFullDiskIsNoInvalidSetting guards against a program that ends at each start on a full disk,
// though it would remove what is no longer needed there.
func TestFullDiskIsNoInvalidSetting(t *testing.T) {
	for reason, valid := range map[error]bool{syscall.ENOSPC: true, syscall.EROFS: false, syscall.EACCES: false} {
		var c Checker
		c.addUnwritable("data-dir", &fs.PathError{Op: "open", Path: "d", Err: reason})
		require.Equal(t, valid, c.Err() == nil, reason)
	}
}

// TestEmptyEnvironmentVariableIsNoSetting guards against a process that does not start where the
// platform has no value for a setting of the deploy file.
func TestEmptyEnvironmentVariableIsNoSetting(t *testing.T) {
	t.Setenv("GALENA_DATA_DIR", t.TempDir())
	t.Setenv("GALENA_COUNT", "")
	var s sampleSettings
	require.NoError(t, Parse("sample", nil, io.Discard, &s))
	require.Equal(t, 1, s.count)
}
