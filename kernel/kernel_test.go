package kernel

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeComponent records its lifecycle calls and fails in one of them on request.
type fakeComponent struct {
	name   string
	failAt string
	calls  *[]string
}

var errComponent = errors.New("component failed")

func (f *fakeComponent) Name() string { return f.name }

func (f *fakeComponent) record(step string) error {
	*f.calls = append(*f.calls, step+" "+f.name)
	if f.failAt == step {
		return errComponent
	}
	return nil
}

func (f *fakeComponent) Provision(*Context) error    { return f.record("provision") }
func (f *fakeComponent) Validate() error             { return f.record("validate") }
func (f *fakeComponent) Start(context.Context) error { return f.record("start") }
func (f *fakeComponent) Drain(context.Context) error { return f.record("drain") }
func (f *fakeComponent) Stop(context.Context) error  { return f.record("stop") }

func TestLifecycle(t *testing.T) {
	tests := []struct {
		name, failAt string
		want         []string
		state        State
	}{
		{"complete lifecycle", "", []string{
			"provision a", "provision b", "validate a", "validate b", "start a", "start b",
			"drain b", "drain a", "stop b", "stop a",
		}, StateStopped},
		{"failed validation prevents any start", "validate", []string{
			"provision a", "provision b", "validate a", "validate b",
		}, StateProvisioned},
		{"failed start stops all components", "start", []string{
			"provision a", "provision b", "validate a", "validate b", "start a", "start b", "stop b", "stop a",
		}, StateStopped},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls []string
			app := NewApp(&Context{Logger: slog.New(slog.DiscardHandler)},
				&fakeComponent{name: "a", calls: &calls}, &fakeComponent{name: "b", failAt: tt.failAt, calls: &calls})
			err := app.Start()
			if tt.failAt == "" {
				require.NoError(t, err)
				require.NoError(t, app.Drain(context.Background()))
				app.Stop(context.Background())
			} else {
				require.ErrorIs(t, err, errComponent)
				require.ErrorContains(t, err, tt.failAt+" b")
			}
			require.Equal(t, tt.want, calls)
			require.Equal(t, tt.state, app.State())
		})
	}
}

func TestRegistry(t *testing.T) {
	Register(Module{ID: "test.fruit.apple", New: func() any { return &fakeComponent{name: "apple"} }})
	require.Panics(t, func() { Register(Module{ID: "test.fruit.apple", New: func() any { return nil }}) })
	c, err := New[Component]("test.fruit.apple")
	require.NoError(t, err)
	require.Equal(t, "apple", c.Name())
	_, err = New[Component]("test.fruit.pear")
	var unknown *UnknownModuleError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, []string{"apple"}, unknown.Available)
	_, err = New[error]("test.fruit.apple")
	require.Error(t, err)
}
