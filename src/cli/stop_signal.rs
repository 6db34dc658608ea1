use std::io;

use actix_rt::signal::unix::SignalKind;
use actix_rt::signal::unix::signal;
use futures_util::future::select;
use futures_util::pin_mut;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The I/O error when the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let terminated = terminate.recv();
    let interrupted = interrupt.recv();
    pin_mut!(terminated, interrupted);
    select(terminated, interrupted).await;
    Ok(())
}
