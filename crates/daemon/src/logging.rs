//! Creates the root logger.

use ospreywing_settings::LogFormat;
use slog::{o, Drain, Logger};

/// Maximum number of lines that wait to be written; `slog` drops and counts any more.
const QUEUE_CAPACITY: usize = 1024;

/// Creates the root logger, which writes to standard error.
pub fn logger(format: LogFormat, name: &str) -> Logger {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stderr()).fuse()),
    };
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .build()
        .fuse();
    Logger::root(drain, o!("daemon" => name.to_owned()))
}
