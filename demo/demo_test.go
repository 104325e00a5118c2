package demo

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	_ "github.com/galenaarch/galenaarch/adapters/jsonstatus"
	_ "github.com/galenaarch/galenaarch/adapters/prometheustext"
	"github.com/galenaarch/galenaarch/telemetry"
)

func TestEndToEnd(t *testing.T) {
	tel, err := telemetry.New(context.Background(), "demo", "test", telemetry.Settings{LogLevel: "error"}, io.Discard)
	require.NoError(t, err)
	cluster, err := Start(tel)
	require.NoError(t, err)
	defer cluster.Stop()
	report, err := cluster.Verify()
	require.NoError(t, err)
	require.Equal(t, 2*promptCount, report.Prompts)
	require.Positive(t, report.ImportedBytes)
}
