// Package tracer sets up OpenTelemetry tracing.
package tracer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	name = "auburntray"
	// shutdownTimeout bounds the export of the remaining spans by the clean-up function.
	shutdownTimeout = 3 * time.Second
)

// ErrEndpoint marks a trace exporter that can't be created.
var ErrEndpoint = errors.New("invalid trace endpoint")

// New returns a tracer that exports traces to an endpoint by OTLP over HTTP, and its clean-up function,
// which exports the remaining spans within 3 s. The sample is the part of new traces that is exported, from
// 0 to 1; traces that a caller has started keep the caller's decision. An empty endpoint disables tracing.
// It fails with ErrEndpoint.
func New(c context.Context, endpoint, instance string, sample float64) (trace.Tracer, func(), error) {
	if endpoint == "" {
		return noop.NewTracerProvider().Tracer(name), func() {}, nil
	}

	e, err := otlptracehttp.New(c, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, nil, errors.Mark(err, ErrEndpoint)
	}

	p := sdk.NewTracerProvider(
		sdk.WithBatcher(e),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(sample))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", name), attribute.String("service.instance.id", instance))),
	)

	return p.Tracer(name), func() {
		x, stop := context.WithTimeout(context.Background(), shutdownTimeout)
		defer stop()

		_ = p.Shutdown(x)
	}, nil
}
