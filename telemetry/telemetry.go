// Package telemetry sets up the logging, metrics and tracing of a process.
package telemetry

import (
	"context"
	"flag"
	"io"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Values of the trace-exporter flag.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Settings configures the log level and the span exporter.
type Settings struct {
	LogLevel      string
	TraceExporter string
	TraceEndpoint string
	TraceRatio    float64
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.LogLevel, "log-level", "info", "minimum log level: debug, info, warn or error")
	fs.StringVar(&s.TraceExporter, "trace-exporter", ExporterNone, "span exporter: none, stdout or otlp")
	fs.StringVar(&s.TraceEndpoint, "trace-endpoint", "", "URL of the OTLP/HTTP collector")
	fs.Float64Var(&s.TraceRatio, "trace-ratio", 1, "fraction of new traces to sample, 0 to 1")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	var level slog.Level
	if level.UnmarshalText([]byte(s.LogLevel)) != nil {
		c.Add("log-level", "%q: expected one of debug, info, warn, error", s.LogLevel)
	}
	switch s.TraceExporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		c.Required("trace-endpoint", s.TraceEndpoint)
	default:
		c.Add("trace-exporter", "%q: expected one of none, stdout, otlp", s.TraceExporter)
	}
	if s.TraceRatio < 0 || s.TraceRatio > 1 {
		c.Add("trace-ratio", "%v is not a fraction from 0 to 1", s.TraceRatio)
	}
}

// Telemetry holds the telemetry of a process.
type Telemetry struct {
	Context        *kernel.Context
	tracerProvider *sdktrace.TracerProvider
}

// New creates a logger on w, a metrics registry and a tracer. It also sets the
// global OpenTelemetry propagator and tracer provider.
func New(ctx context.Context, service, instance string, s Settings, w io.Writer) (*Telemetry, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	logger := slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})).
		With(slog.String("service", service), slog.String("instance", instance))
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	tracerProvider, err := newTracerProvider(ctx, service, instance, s, w)
	if err != nil {
		return nil, err
	}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetTracerProvider(tracerProvider)
	return &Telemetry{
		Context: &kernel.Context{
			Logger:   logger,
			Registry: registry,
			Tracer:   tracerProvider.Tracer("galenaarch/" + service),
		},
		tracerProvider: tracerProvider,
	}, nil
}

func newTracerProvider(ctx context.Context, service, instance string, s Settings, w io.Writer) (*sdktrace.TracerProvider, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", instance),
		)),
	}
	switch s.TraceExporter {
	case ExporterStdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
		if err != nil {
			return nil, eris.Wrap(err, "create stdout span exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	case ExporterOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceEndpoint))
		if err != nil {
			return nil, eris.Wrap(err, "create OTLP span exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	default:
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	return sdktrace.NewTracerProvider(options...), nil
}

// Close exports the remaining spans and shuts the tracer provider down.
func (t *Telemetry) Close(ctx context.Context) error { return t.tracerProvider.Shutdown(ctx) }
