use std::future::Future;
use std::io;

use super::CliError;
use super::wait_for_stop_signal;

/// Starts a process, waits for a stop signal, and stops it.
///
/// `start` resolves to a function that stops what was started.
///
/// # Errors
///
/// [`CliError::Failed`] when the start fails or signals cannot be handled.
pub fn run_process<S: Future<Output = ()>>(
    start: impl Future<Output = io::Result<impl FnOnce() -> S>>,
) -> Result<(), CliError> {
    let running = async {
        let stop = start.await?;
        wait_for_stop_signal().await?;
        stop().await;
        Ok(())
    };
    actix_rt::System::new()
        .block_on(running)
        .map_err(|error: io::Error| CliError::Failed(error.to_string()))
}
