package refusal

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const documentationPath = "../../docs/parts/streams.md"

// documentedRow matches a row of the table of codes in the documentation.
var documentedRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| `([a-z_]+)` \\| (\\S+) \\| \\S")

func TestDocumentationMatchesCodes(t *testing.T) {
	text, err := os.ReadFile(documentationPath)
	require.NoError(t, err)
	documented := make(map[Code]string)
	for _, m := range documentedRow.FindAllStringSubmatch(string(text), -1) {
		require.NotContains(t, documented, Code(m[1]))
		documented[Code(m[1])] = fmt.Sprintf("%s %s %s", m[2], m[3], m[4])
	}
	for code, spec := range codeSpecs {
		retry := "-"
		if spec.retryAfter > 0 {
			retry = spec.retryAfter.String()
		}
		require.Equal(t, fmt.Sprintf("%d %s %s", spec.status, spec.execution, retry), documented[code], string(code))
	}
	require.Len(t, documented, len(codeSpecs))
}

func TestEveryCodeHasSpec(t *testing.T) {
	source, err := os.ReadFile("refusal.go")
	require.NoError(t, err)
	declared := regexp.MustCompile(`(?m)^\tCode\w+ +Code = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	require.NotEmpty(t, declared)
	for _, m := range declared {
		require.Contains(t, codeSpecs, Code(m[1]))
	}
	require.Len(t, Codes(), len(declared))
}

// TestWriteResponse guards against telling client libraries to retry automatically
// a request that could then be executed twice.
func TestWriteResponse(t *testing.T) {
	for code, spec := range codeSpecs {
		t.Run(string(code), func(t *testing.T) {
			w := httptest.NewRecorder()
			New(code, "step", "message %d", 1).WithPeer("server-1").Write(w, "r-1")
			require.Equal(t, spec.status, w.Code)
			require.GreaterOrEqual(t, spec.status, 400)
			require.Equal(t, string(spec.execution), w.Header().Get("X-Galena-Ran"))
			autoRetry := spec.retryAfter > 0 && (spec.execution == NotExecuted || code == CodeInProgress)
			require.Equal(t, fmt.Sprint(autoRetry), w.Header().Get("X-Should-Retry"))
			require.Equal(t, spec.retryAfter > 0, w.Header().Get("Retry-After") != "")
			var body Body
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			require.Equal(t, code, body.Error.Code)
			require.Equal(t, "message 1", body.Error.Message)
			require.Equal(t, "r-1", body.Error.RequestID)
			require.NotEmpty(t, body.Error.Type)
			require.Equal(t, spec.retryAfter.Milliseconds(), body.Error.RetryAfterMS)
		})
	}
}

func TestExecutionAndRetryAfterOverrides(t *testing.T) {
	e := New(CodeDeadlineExceeded, "step", "late").WithExecution(NotExecuted)
	e.RetryAfter = 1500 * time.Millisecond
	w := httptest.NewRecorder()
	e.Write(w, "r-1")
	require.Equal(t, "not_run", w.Header().Get("X-Galena-Ran"))
	require.Equal(t, "2", w.Header().Get("Retry-After"))
	require.Equal(t, "1500", w.Header().Get("Retry-After-Ms"))
}
