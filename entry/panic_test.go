package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/refusal"
)

// A request whose handling panics before its response must get one, which does not say whether
// it ran. A response that has begun must not look complete.
func TestPanicBeforeResponseIsAnswered(t *testing.T) {
	e := startEntry(t)
	for name, begun := range map[string]bool{"before the response": false, "in the response": true} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(e.withAuthentication("test", func(w http.ResponseWriter, _ *http.Request, _ requestInfo) *refusal.Error {
				if begun {
					_, _ = w.Write([]byte("begun"))
					_ = http.NewResponseController(w).Flush()
				}
				panic("injected")
			}))
			defer server.Close()
			r, err := http.NewRequest(http.MethodPost, server.URL, nil)
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			if begun {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			require.NoError(t, err)
			var body refusal.Body
			require.NoError(t, json.Unmarshal(content, &body))
			require.Equal(t, refusal.CodeOutcomeUnknown, body.Error.Code)
			require.Equal(t, refusal.OutcomeUnknown, body.Error.Execution)
			require.True(t, response.Close)
		})
	}
}
