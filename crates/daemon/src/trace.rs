//! Traces: one span per hop of a call, exported to a collector as OTLP over
//! HTTP.
//!
//! The context is propagated as W3C Trace Context, as the value of a
//! `traceparent` header.

use opentelemetry::KeyValue;
use opentelemetry::trace::Span as _;
use opentelemetry::trace::SpanContext;
use opentelemetry::trace::SpanId;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::TraceFlags;
use opentelemetry::trace::TraceId;
use opentelemetry::trace::TraceState;
use opentelemetry::trace::Tracer as _;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::runtime;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::Config;
use crate::Error;

/// Starts spans; without a collector it only propagates contexts.
#[derive(Clone, Debug)]
pub(crate) struct Tracer {
    export: Option<Export>,
}

#[derive(Clone, Debug)]
struct Export {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

/// The span of one hop of a call; dropping it ends it.
#[derive(Debug)]
pub(crate) struct Span {
    span: Option<opentelemetry_sdk::trace::Span>,
    propagated: Option<SmolStr>,
}

impl Tracer {
    /// Creates a tracer that exports to the configured collector, if there is
    /// one.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub(crate) fn open(config: &Config) -> Result<Tracer, Error> {
        let Some(collector) = &config.collector else {
            return Ok(Tracer { export: None });
        };
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_endpoint(format!("{collector}/v1/traces"))
            .build()
            .map_err(|error| Error::Collector {
                collector: collector.clone(),
                detail: error.to_string(),
            })?;
        let resource = Resource::builder()
            .with_service_name("snipewinchd")
            .with_attribute(KeyValue::new("host.name", config.host.to_string()))
            .with_attribute(KeyValue::new(
                "cloud.availability_zone",
                config.zone.to_string(),
            ))
            .build();
        let processor = BatchSpanProcessor::builder(exporter, runtime::Tokio).build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_resource(resource)
            .build();
        let tracer = provider.tracer("snipewinch");
        Ok(Tracer {
            export: Some(Export { provider, tracer }),
        })
    }

    /// Starts the span of one hop. `parent` is the `traceparent` that was
    /// received; without a valid one a new trace begins.
    pub(crate) fn start(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> Span {
        let Some(export) = &self.export else {
            return Span {
                span: None,
                propagated: parent.map(SmolStr::new),
            };
        };
        let context = match parent.and_then(parse) {
            Some(parent) => opentelemetry::Context::new().with_remote_span_context(parent),
            None => opentelemetry::Context::new(),
        };
        let span = export
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&export.tracer, &context);
        Span {
            span: Some(span),
            propagated: None,
        }
    }

    /// Exports the spans that are still buffered.
    pub(crate) async fn shutdown(&self) {
        let Some(export) = self.export.clone() else {
            return;
        };
        // `shutdown` blocks until the export has finished.
        let _ = tokio::task::spawn_blocking(move || export.provider.shutdown()).await;
    }
}

impl Span {
    /// The `traceparent` for the next hop.
    pub(crate) fn traceparent(&self) -> Option<SmolStr> {
        match &self.span {
            Some(span) => Some(format(span.span_context())),
            None => self.propagated.clone(),
        }
    }

    /// Adds an attribute.
    pub(crate) fn set_attribute(
        &mut self,
        name: &'static str,
        value: impl Into<opentelemetry::Value>,
    ) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(name, value));
        }
    }

    /// Marks the hop as failed, with a description.
    pub(crate) fn set_error(&mut self, detail: &str) {
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(detail.to_owned()));
        }
    }
}

fn format(context: &SpanContext) -> SmolStr {
    let flags = context.trace_flags().to_u8();
    format_smolstr!(
        "00-{}-{}-{flags:02x}",
        context.trace_id(),
        context.span_id()
    )
}

/// Parses a `traceparent` of version 00; returns nothing for any other text.
fn parse(text: &str) -> Option<SpanContext> {
    let mut parts = text.trim().split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    if version != "00" || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
        return None;
    }
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?),
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}
