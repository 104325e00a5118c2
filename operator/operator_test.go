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

// fakeControl applies commands directly to a state, without a consensus log.
type fakeControl struct {
	controlv1.Control
	state       *state.State
	unavailable bool
}

var errControlUnavailable = errors.New("control is unavailable")

func (f *fakeControl) ApplyConfig(_ context.Context, request *controlv1.ApplyConfigRequest) (*controlv1.ApplyConfigResponse, error) {
	if f.unavailable {
		return nil, errControlUnavailable
	}
	return f.state.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: request}}).GetApplyConfig(), nil
}

func (f *fakeControl) GetConfig(_ context.Context, request *controlv1.GetConfigRequest) (*controlv1.GetConfigResponse, error) {
	if f.unavailable {
		return nil, errControlUnavailable
	}
	return f.state.Config(request.Environment, request.KnownRevision), nil
}

func (f *fakeControl) GetStatus(_ context.Context, request *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	return f.state.Status(request.Environment), nil
}

func (f *fakeControl) GetHistory(_ context.Context, request *controlv1.GetHistoryRequest) (*controlv1.GetHistoryResponse, error) {
	return &controlv1.GetHistoryResponse{Entries: f.state.History(request.Environment, int(request.Limit))}, nil
}

func (f *fakeControl) RequestDrain(_ context.Context, request *controlv1.RequestDrainRequest) (*controlv1.RequestDrainResponse, error) {
	return f.state.Apply(&controlv1.Command{Body: &controlv1.Command_RequestDrain{RequestDrain: request}}).GetRequestDrain(), nil
}

// commandRunner runs command lines against a fakeControl.
type commandRunner struct {
	t       *testing.T
	control *fakeControl
	out     bytes.Buffer
}

func (r *commandRunner) run(wantCode int, commandLine string) string {
	r.t.Helper()
	r.out.Reset()
	tool := &CLI{
		In: strings.NewReader("secret-key\n"), Out: &r.out, ErrOut: &r.out,
		Connect: func() (controlv1.Control, error) { return r.control, nil },
	}
	require.Equal(r.t, wantCode, tool.Run(context.Background(), strings.Fields(commandLine)), r.out.String())
	return r.out.String()
}

func newCommandRunner(t *testing.T) (*commandRunner, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "trial.yaml")
	require.NoError(t, os.WriteFile(file, examples.HaddonPryce, 0o600))
	return &commandRunner{t: t, control: &fakeControl{state: state.New()}}, file
}

func (r *commandRunner) edit(file, old, replacement string) {
	r.t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(r.t, err)
	require.Contains(r.t, string(text), old)
	require.NoError(r.t, os.WriteFile(file, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
}

func TestApplyRequiresExpectedRevision(t *testing.T) {
	r, file := newCommandRunner(t)
	require.Contains(t, r.run(ExitOK, "validate "+file), "sound")
	require.Contains(t, r.run(ExitOK, "diff "+file), `add deployment "quotes"`)
	r.run(ExitUsage, "apply "+file)
	r.run(ExitOK, "apply -expect-revision 0 "+file)
	require.Contains(t, r.run(ExitOK, "apply -expect-revision 0 "+file), "revision 1", "a retry gets the first response")

	r.edit(file, "servers: 12", "servers: 13")
	require.Contains(t, r.run(ExitConflict, "apply -expect-revision 0 "+file), "changed since: deployment/quotes")
	require.Contains(t, r.run(ExitOK, "diff "+file), `change deployment "quotes"`)
	r.run(ExitOK, "apply -expect-revision 1 "+file)
	require.Contains(t, r.run(ExitOK, "history -environment haddon-trial"), "REVISION")
}

func TestProductionAcceptsOnlyPromotions(t *testing.T) {
	r, file := newCommandRunner(t)
	r.run(ExitOK, "apply -expect-revision 0 "+file)
	production := filepath.Join(t.TempDir(), "production.yaml")
	text := strings.Replace(string(examples.HaddonPryce), "environment: haddon-trial\nstage: trial", "environment: haddon\nstage: production\npromotes_from: haddon-trial", 1)
	require.NoError(t, os.WriteFile(production, []byte(text), 0o600))
	require.Contains(t, r.run(ExitRefused, "apply -expect-revision 0 "+production), "only promotions")
	require.Contains(t, r.run(ExitRefused, "promote -from haddon-trial -environment haddon -expect-revision 0"), "checks not passed")
	r.run(ExitOK, "promote -from haddon-trial -environment haddon -expect-revision 0 -force")
	r.run(ExitConflict, "promote -from haddon-trial -environment haddon -expect-revision 7 -force")
	var status statusReport
	require.NoError(t, json.Unmarshal([]byte(r.run(ExitOK, "status -environment haddon -output json")), &status))
	require.EqualValues(t, 1, status.AcceptedRevision)
}

func TestStartAndEndDrain(t *testing.T) {
	r, file := newCommandRunner(t)
	r.run(ExitOK, "apply -expect-revision 0 "+file)
	r.run(ExitUsage, "drain -environment haddon-trial")
	r.run(ExitUsage, "drain -environment haddon-trial -server a -instance b")
	r.run(ExitUsage, "drain -environment haddon-trial -server a -max-lost 2")
	require.Contains(t, r.run(ExitOK, "drain -environment haddon-trial -failure-domain midlands-1"), "active: true")
	require.Contains(t, r.run(ExitOK, "drain -environment haddon-trial -failure-domain midlands-1 -end"), "active: false")
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name, commandLine, wantOutput string
		code                          int
		unavailable                   bool
	}{
		{"no command", "", "", ExitUsage, false},
		{"unknown command", "check FILE", `unknown command "check"`, ExitUsage, false},
		{"unknown flag", "status -no-such-flag", "no-such-flag", ExitUsage, false},
		{"missing environment", "status", "-environment is required", ExitUsage, false},
		{"unknown output format", "status -environment x -output xml", "xml", ExitUsage, false},
		{"missing file", "validate /no/such/file", "galenactl: read document: open /no/such/file: no such file", ExitUsage, false},
		{"control unavailable", "diff FILE", "control is unavailable", ExitUnavailable, true},
		{"invalid document", "validate BAD", "$.deployments[0].stores[0]", ExitRefused, false},
		{"empty document", "validate EMPTY", "the document is empty", ExitRefused, false},
		{"text instead of a number", "validate WORD", ":11: $.deployments[0].servers: expected a whole number, found text", ExitRefused, false},
		{"unknown routing policy", "validate POLICY", "$.deployments[0].policy: \"cheapest\": expected one of", ExitRefused, false},
		{"unknown report adapter", "validate ADAPTER", "adapter: \"xml\": expected one of", ExitRefused, false},
		{"hash of a key", "hash-key", "85dbe15d75ef93", ExitOK, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, file := newCommandRunner(t)
			r.control.unavailable = tt.unavailable
			if strings.Contains(tt.commandLine, "BAD") {
				r.edit(file, "stores: [store-a, store-b]", "stores: [store-z]")
			}
			for placeholder, edit := range map[string][2]string{
				"WORD": {"servers: 12", "servers: twelve"}, "POLICY": {"policy: cost", "policy: cheapest"},
				"ADAPTER": {"adapter: json_status", "adapter: xml"},
			} {
				if strings.Contains(tt.commandLine, placeholder) {
					r.edit(file, edit[0], edit[1])
				}
			}
			if strings.Contains(tt.commandLine, "EMPTY") {
				require.NoError(t, os.WriteFile(file, nil, 0o600))
			}
			commandLine := strings.NewReplacer("FILE", file, "BAD", file, "WORD", file, "POLICY", file, "ADAPTER", file, "EMPTY", file).Replace(tt.commandLine)
			require.Contains(t, r.run(tt.code, commandLine), tt.wantOutput)
		})
	}
}
