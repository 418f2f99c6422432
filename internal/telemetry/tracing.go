package telemetry

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// TraceExporter selects where spans are exported.
type TraceExporter string

// Trace exporters. TraceOff costs nothing per request.
const (
	TraceOff    TraceExporter = "off"
	TraceStdout TraceExporter = "stdout"
	TraceOTLP   TraceExporter = "otlp"
)

const (
	traceparentHeader   = "traceparent"
	instrumentationName = "github.com/medlarshunt/medlarshunt"
)

// Tracing starts spans and propagates their context between processes.
type Tracing struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
	disabled bool
}

// NewTracing sets up the exporter. The endpoint is used by TraceOTLP only.
func NewTracing(ctx context.Context, exporter TraceExporter, endpoint, node string, out io.Writer) (*Tracing, error) {
	var spanExporter sdktrace.SpanExporter
	var err error
	switch exporter {
	case TraceOff, "":
		return &Tracing{tracer: noop.NewTracerProvider().Tracer(instrumentationName), shutdown: func(context.Context) error { return nil }, disabled: true}, nil
	case TraceStdout:
		spanExporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case TraceOTLP:
		spanExporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		return nil, eris.Errorf("trace exporter %q: use off, stdout or otlp", exporter)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "set up trace exporter %s", exporter)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spanExporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "medlarshunt"), attribute.String("service.instance.id", node))),
	)
	return &Tracing{tracer: provider.Tracer(instrumentationName), shutdown: provider.Shutdown}, nil
}

// Start starts a span for one hop of a request.
func (t *Tracing) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if t.disabled {
		return ctx, trace.SpanFromContext(context.Background())
	}
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Inject returns the W3C traceparent of the span in ctx, or "" when there is none.
func (t *Tracing) Inject(ctx context.Context) string {
	if t.disabled {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// Extract returns a context that continues the trace named by a W3C traceparent.
func (t *Tracing) Extract(ctx context.Context, traceparent string) context.Context {
	if t.disabled || traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// Shutdown exports the spans that are still buffered.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return eris.Wrap(t.shutdown(ctx), "shut down tracing")
}
