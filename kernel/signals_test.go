package kernel

import (
	"context"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reloadedWhileStarting is a component whose process gets SIGHUP while it starts, and SIGTERM
// once it has reloaded its settings.
type reloadedWhileStarting struct{ reloads int }

func (c *reloadedWhileStarting) Name() string             { return "reloaded while starting" }
func (c *reloadedWhileStarting) Provision(*Context) error { return nil }

// Start implements Starter. The pause lets the signal arrive before it returns.
func (c *reloadedWhileStarting) Start(context.Context) error {
	err := syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	return err
}

// Reload implements Reloader.
func (c *reloadedWhileStarting) Reload() error {
	c.reloads++
	return syscall.Kill(os.Getpid(), syscall.SIGTERM)
}

// A SIGHUP that arrives while the process starts must not end it.
func TestReloadWhileStartingDoesNotEndProcess(t *testing.T) {
	c := &reloadedWhileStarting{}
	app := NewApp(&Context{Logger: slog.New(slog.DiscardHandler)}, c)
	require.NoError(t, app.Run(time.Second))
	require.Equal(t, 1, c.reloads)
	require.Equal(t, StateStopped, app.State())
}

// signaledWhileDraining is a component whose process gets SIGTERM once it serves, and again
// while it drains, then SIGINT.
type signaledWhileDraining struct {
	reloadedWhileStarting
	// logged gets a value for each line of the log.
	logged chan string
	// abortedBy is the signal that aborted the drain.
	abortedBy syscall.Signal
}

// Drain implements Drainer.
func (c *signaledWhileDraining) Drain(ctx context.Context) error {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		if err := syscall.Kill(os.Getpid(), signal); err != nil {
			return err
		}
		for received := false; !received; {
			select {
			case line := <-c.logged:
				received = line == repeatedStopMessage
			case <-ctx.Done():
				c.abortedBy = signal
				return ctx.Err()
			case <-time.After(5 * time.Second):
				return context.DeadlineExceeded
			}
		}
	}
	return nil
}

// messageHandler passes the messages of a log on.
type messageHandler struct {
	slog.Handler
	messages chan string
}

// Enabled implements slog.Handler.
func (h messageHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h messageHandler) Handle(_ context.Context, r slog.Record) error {
	h.messages <- r.Message
	return nil
}

// A supervisor may repeat SIGTERM: it must not shorten a drain, whose responses in progress
// would be cut. SIGINT aborts the drain.
func TestRepeatedSIGTERMDoesNotAbortDrain(t *testing.T) {
	const lines = 16
	c := &signaledWhileDraining{logged: make(chan string, lines)}
	app := NewApp(&Context{Logger: slog.New(messageHandler{slog.DiscardHandler, c.logged})}, c)
	require.ErrorIs(t, app.Run(0), context.Canceled)
	require.Equal(t, syscall.SIGINT, c.abortedBy)
}
