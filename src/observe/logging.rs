use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

use crate::conf::LogFormat;
use crate::observe::library_pace::LibraryPace;

/// Starts the log of the process on standard error.
///
/// Only the first call has an effect, so that several roles can run in one process.
pub fn init_logging(format: LogFormat, level: LevelFilter) {
    let appender = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let builder = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LibraryPace::default()).append(appender));
    if builder.try_apply().is_ok() {
        log::set_max_level(level);
    }
}
