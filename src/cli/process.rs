use std::future::Future;
use std::io;

use super::CliError;
use super::wait_for_stop_signal;

/// Starts a role, waits for a stop signal, and stops it gracefully.
///
/// `start` resolves to the future that stops what it started.
///
/// # Errors
///
/// [`CliError::Failed`] when the role does not start.
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
