//! The log on standard output: one JSON object a line.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// Makes the default logger write JSON lines.
pub(crate) fn install() -> Result<(), spdlog::Error> {
    let sink: Arc<dyn Sink> = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .build_arc()?;
    sink.set_formatter(Box::new(JsonFormatter::new()));
    let logger = Logger::builder()
        .sink(sink)
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
