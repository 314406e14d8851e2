// Package tracer sets up traces.
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
	name        = "auburntray"
	stopTimeout = 3 * time.Second
)

// ErrEndpoint means that the endpoint for traces can't be used.
var ErrEndpoint = errors.New("the trace endpoint can't be used")

// New returns a tracer that sends a part of the traces, from 0 to 1, to an
// endpoint by OTLP over HTTP, and its clean-up function, which sends what is
// left. Without an endpoint it traces nothing. It fails with ErrEndpoint.
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
		x, stop := context.WithTimeout(context.Background(), stopTimeout)
		defer stop()

		_ = p.Shutdown(x)
	}, nil
}
