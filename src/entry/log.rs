//! The process's log on standard error: one line for each message, prefixed with the name of its component.

use std::sync::Arc;

use spdlog::formatter::{pattern, JsonFormatter, PatternFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::border::settings as border;

use super::Error;
use crate::panic;

/// Installs a default logger with the format and level of `log`.
///
/// # Errors
///
/// The logger could not be built.
pub fn install(log: &border::Log) -> Result<(), Error> {
    let sink: Arc<dyn Sink> = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .build_arc()
        .map_err(Error::log)?;
    match log.format {
        border::Format::Json => sink.set_formatter(Box::new(JsonFormatter::new())),
        border::Format::Text => sink.set_formatter(Box::new(PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        )))),
    }
    let logger = Logger::builder()
        .sink(sink)
        .flush_level_filter(LevelFilter::All)
        .level_filter(to_level_filter(log.level))
        .build()
        .map_err(Error::log)?;
    spdlog::set_default_logger(Arc::new(logger));
    panic::record_places();
    Ok(())
}

/// Changes the level of the default logger and logs the change at the more verbose of both levels.
pub(crate) fn change_level(old: border::Level, new: border::Level) {
    let logger = spdlog::default_logger();
    logger.set_level_filter(to_level_filter(old.max(new)));
    spdlog::info!("log: level is now {new}");
    logger.set_level_filter(to_level_filter(new));
}

fn to_level_filter(level: border::Level) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        border::Level::Error => Level::Error,
        border::Level::Warn => Level::Warn,
        border::Level::Info => Level::Info,
        border::Level::Debug => Level::Debug,
        border::Level::Trace => Level::Trace,
    })
}
