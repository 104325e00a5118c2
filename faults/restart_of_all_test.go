package faults

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

const (
	restartRounds = 4
	// versionsPerRound are published in quick succession before each loss of power.
	versionsPerRound = 6
	// observedTime is how long the gateways are asked after a restart.
	observedTime = 3 * time.Second
)

// versionedDocument returns a version whose only route names it. Without servers, the route
// is answered with 503.
func versionedDocument(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"version","host":%q,"path_prefix":%q,"kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":2,"public":true}
],"services":[{"name":"desk","health_path":"/health","max_connections":200,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, version, platformtest.Host, versionPath(version))
}

// statusOf returns the status of a gateway's response for a path; 0 without a response.
func (s *soak) statusOf(gateway int, path string) int {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.gatewayAddresses[gateway]+path, nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = platformtest.Host, true
	r.Header.Set("X-Request-Id", fmt.Sprintf("ask-%d-%d", gateway, time.Now().UnixNano()))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// publishAnywhere publishes a version until a control replica acknowledges it.
func (s *soak) publishAnywhere(version int) {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, control := range s.platformAddresses {
			if platformtest.PublishDocument(s.t.Context(), control, versionedDocument(version)) {
				return
			}
		}
	}
	s.t.Fatalf("version %d is not acknowledged", version)
}

// TestRestartOfAllReleasesNoOlderConfiguration guards against gateways that apply an older
// configuration after all processes lost power at once: a majority of the control replicas
// holds the newest one, but none has applied it before the group has a leader again.
func TestRestartOfAllReleasesNoOlderConfiguration(t *testing.T) {
	t.Parallel()
	s := startSoak(t, 1)
	processes := append(append([]*process{}, s.controls...), s.gateways...)
	version := 0
	for range restartRounds {
		for range versionsPerRound {
			version++
			s.publishAnywhere(version)
		}
		var kills sync.WaitGroup
		for _, p := range processes {
			kills.Go(p.kill)
		}
		kills.Wait()
		for _, p := range processes {
			p.start()
		}
		for end := time.Now().Add(observedTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for gateway := range s.gateways {
				require.NotEqual(t, http.StatusNotFound, s.statusOf(gateway, versionPath(version)), "gateway %d handles a request by a version before %d", gateway, version)
			}
		}
		for gateway := range s.gateways {
			require.Eventually(t, func() bool { return s.statusOf(gateway, versionPath(version+1)) == http.StatusNotFound }, recoveryTimeout, 50*time.Millisecond, "gateway %d has a configuration", gateway)
		}
	}
}
