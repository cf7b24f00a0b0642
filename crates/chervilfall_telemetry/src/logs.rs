//! Sets up logging with the level, format and destination from the settings. The message of each
//! line begins with the fixed prefix of the component that logs it.

use anyhow::Context;
use chervilfall_settings::{LogFormat, LogLevel, LogSettings};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::append::Append;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::Encode;
use log4rs::Config;

/// Format of a plain text line: time, level, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
/// Name of the only appender.
const APPENDER: &str = "lines";
/// Targets of libraries that log only warnings and errors.
pub(crate) const QUIET_TARGETS: [&str; 4] = ["rocket", "hyper", "_", "tungstenite"];

/// Sets up logging for this process, to a file or to standard error.
///
/// # Errors
///
/// Returns an error if the file can't be opened or logging is already set up.
pub fn open_logs(settings: &LogSettings) -> anyhow::Result<()> {
    let appender = Appender::builder().build(APPENDER, appender(settings)?);
    let mut config = Config::builder().appender(appender);
    for name in QUIET_TARGETS {
        config = config.logger(Logger::builder().build(name, LevelFilter::Warn));
    }
    let root = Root::builder()
        .appender(APPENDER)
        .build(level(settings.level));
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}

fn appender(settings: &LogSettings) -> anyhow::Result<Box<dyn Append>> {
    let encoder = encoder(settings.format);
    if let Some(path) = &settings.file {
        let appender = FileAppender::builder()
            .encoder(encoder)
            .build(path)
            .with_context(|| format!("can't open log file {}", path.display()))?;
        return Ok(Box::new(appender));
    }
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    Ok(Box::new(appender))
}

fn encoder(format: LogFormat) -> Box<dyn Encode> {
    match format {
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    }
}

const fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
