package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/examples"
)

// fakeControl applies commands to a state without a log.
type fakeControl struct {
	controlv1.Control
	state *state.State
	down  bool
}

var errDown = errors.New("control is down")

func (f *fakeControl) ApplyConfig(_ context.Context, r *controlv1.ApplyConfigRequest) (*controlv1.ApplyConfigResponse, error) {
	if f.down {
		return nil, errDown
	}
	return f.state.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: r}}).GetApplyConfig(), nil
}

func (f *fakeControl) GetConfig(_ context.Context, r *controlv1.GetConfigRequest) (*controlv1.GetConfigResponse, error) {
	if f.down {
		return nil, errDown
	}
	return f.state.Config(r.Environment, r.KnownRevision), nil
}

func (f *fakeControl) GetStatus(_ context.Context, r *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	return f.state.Status(r.Environment), nil
}

func (f *fakeControl) GetHistory(_ context.Context, r *controlv1.GetHistoryRequest) (*controlv1.GetHistoryResponse, error) {
	return &controlv1.GetHistoryResponse{Entries: f.state.History(r.Environment, int(r.Limit))}, nil
}

func (f *fakeControl) RequestDrain(_ context.Context, r *controlv1.RequestDrainRequest) (*controlv1.RequestDrainResponse, error) {
	return f.state.Apply(&controlv1.Command{Body: &controlv1.Command_RequestDrain{RequestDrain: r}}).GetRequestDrain(), nil
}

// shell runs command lines against one control.
type shell struct {
	t       *testing.T
	control *fakeControl
	out     bytes.Buffer
}

func (s *shell) run(code int, line string) string {
	s.t.Helper()
	s.out.Reset()
	tool := &Tool{
		In: strings.NewReader("secret-key\n"), Out: &s.out, ErrOut: &s.out,
		Connect: func() (controlv1.Control, error) { return s.control, nil },
	}
	require.Equal(s.t, code, tool.Run(context.Background(), strings.Fields(line)), s.out.String())
	return s.out.String()
}

func newShell(t *testing.T) (*shell, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "trial.yaml")
	require.NoError(t, os.WriteFile(file, examples.HaddonPryce, 0o600))
	return &shell{t: t, control: &fakeControl{state: state.New()}}, file
}

func (s *shell) edit(file, from, to string) {
	s.t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(s.t, err)
	require.Contains(s.t, string(text), from)
	require.NoError(s.t, os.WriteFile(file, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
}

func TestChangesAreMadeOnAnExpectedRevision(t *testing.T) {
	s, file := newShell(t)
	require.Contains(t, s.run(ExitOK, "validate "+file), "sound")
	require.Contains(t, s.run(ExitOK, "diff "+file), `add deployment "quotes"`)
	s.run(ExitUsage, "apply "+file)
	s.run(ExitOK, "apply -expect-revision 0 "+file)
	require.Contains(t, s.run(ExitOK, "apply -expect-revision 0 "+file), "revision 1", "sent again: the first answer")

	s.edit(file, "servers: 12", "servers: 13")
	require.Contains(t, s.run(ExitConflict, "apply -expect-revision 0 "+file), "changed since: deployment/quotes")
	require.Contains(t, s.run(ExitOK, "diff "+file), `change deployment "quotes"`)
	s.run(ExitOK, "apply -expect-revision 1 "+file)
	require.Contains(t, s.run(ExitOK, "history -environment haddon-trial"), "REVISION")
}

func TestProductionTakesOnlyPromotions(t *testing.T) {
	s, file := newShell(t)
	s.run(ExitOK, "apply -expect-revision 0 "+file)
	production := filepath.Join(t.TempDir(), "production.yaml")
	text := strings.Replace(string(examples.HaddonPryce), "environment: haddon-trial\nstage: trial", "environment: haddon\nstage: production\npromotes_from: haddon-trial", 1)
	require.NoError(t, os.WriteFile(production, []byte(text), 0o600))
	require.Contains(t, s.run(ExitRefused, "apply -expect-revision 0 "+production), "only promotions")
	require.Contains(t, s.run(ExitRefused, "promote -from haddon-trial -environment haddon -expect-revision 0"), "checks not passed")
	s.run(ExitOK, "promote -from haddon-trial -environment haddon -expect-revision 0 -force")
	s.run(ExitConflict, "promote -from haddon-trial -environment haddon -expect-revision 7 -force")
	var status statusReport
	require.NoError(t, json.Unmarshal([]byte(s.run(ExitOK, "status -environment haddon -output json")), &status))
	require.EqualValues(t, 1, status.AcceptedRevision)
}

func TestDrainIsRequestedAndEnded(t *testing.T) {
	s, file := newShell(t)
	s.run(ExitOK, "apply -expect-revision 0 "+file)
	s.run(ExitUsage, "drain -environment haddon-trial")
	s.run(ExitUsage, "drain -environment haddon-trial -server a -instance b")
	s.run(ExitUsage, "drain -environment haddon-trial -server a -max-lost 2")
	require.Contains(t, s.run(ExitOK, "drain -environment haddon-trial -failure-domain midlands-1"), "active: true")
	require.Contains(t, s.run(ExitOK, "drain -environment haddon-trial -failure-domain midlands-1 -end"), "active: false")
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name, line, says string
		code             int
		down             bool
	}{
		{"no command", "", "", ExitUsage, false},
		{"unknown command", "check FILE", `unknown command "check"`, ExitUsage, false},
		{"unknown flag", "status -no-such-flag", "no-such-flag", ExitUsage, false},
		{"environment missing", "status", "-environment is required", ExitUsage, false},
		{"form of output", "status -environment x -output xml", "xml", ExitUsage, false},
		{"file missing", "validate /no/such/file", "galenactl: read document: open /no/such/file: no such file", ExitUsage, false},
		{"control down", "diff FILE", "control is down", ExitUnavailable, true},
		{"faulty document", "validate BAD", "$.deployments[0].stores[0]", ExitRefused, false},
		{"empty document", "validate EMPTY", "the document is empty", ExitRefused, false},
		{"text for a number", "validate WORD", ":11: $.deployments[0].servers: expected a whole number, found text", ExitRefused, false},
		{"policy that no module has", "validate POLICY", "$.deployments[0].policy: \"cheapest\": expected one of", ExitRefused, false},
		{"adapter that no module has", "validate ADAPTER", "adapter: \"xml\": expected one of", ExitRefused, false},
		{"hash of a key", "hash-key", "85dbe15d75ef93", ExitOK, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, file := newShell(t)
			s.control.down = tt.down
			if strings.Contains(tt.line, "BAD") {
				s.edit(file, "stores: [store-a, store-b]", "stores: [store-z]")
			}
			for word, edit := range map[string][2]string{
				"WORD": {"servers: 12", "servers: twelve"}, "POLICY": {"policy: cost", "policy: cheapest"},
				"ADAPTER": {"adapter: json_status", "adapter: xml"},
			} {
				if strings.Contains(tt.line, word) {
					s.edit(file, edit[0], edit[1])
				}
			}
			if strings.Contains(tt.line, "EMPTY") {
				require.NoError(t, os.WriteFile(file, nil, 0o600))
			}
			line := strings.NewReplacer("FILE", file, "BAD", file, "WORD", file, "POLICY", file, "ADAPTER", file, "EMPTY", file).Replace(tt.line)
			require.Contains(t, s.run(tt.code, line), tt.says)
		})
	}
}
