use std::cell::RefCell;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::gateway::GatewaySettings;
use crate::gateway::GatewayState;
use crate::observe::Event;
use crate::observe::LogLine;

/// Interval at which settings are polled for a change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until the settings change, and returns them.
///
/// `changed` reads the settings and returns them if they differ from the last ones.
/// It is called on each `hang_up` signal, and at an interval without one.
pub async fn wait_for_changed_settings<T>(
    hang_up: &mut Signal,
    mut changed: impl FnMut() -> Option<T>,
) -> T {
    loop {
        if let Some(settings) = changed() {
            return settings;
        }
        tokio::select! {
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Applies the settings that may change while the process runs.
///
/// Names and addresses stay as they were at the start, because other processes
/// identify this one by them; a change of those needs a restart.
pub fn apply_settings(state: &RefCell<GatewayState>, new: &GatewaySettings) {
    let mut state = state.borrow_mut();
    let settings = &mut state.settings;
    settings.grace_ms = new.grace_ms;
    settings.directory_ttl_s = new.directory_ttl_s;
    settings.retry_ratio = new.retry_ratio;
    settings.extra_retries = new.extra_retries;
    settings.replica_heartbeat_ms = new.replica_heartbeat_ms;
    settings.weights_apply_ms = new.weights_apply_ms;
    settings.config_apply_ms = new.config_apply_ms;
    settings.cold_overage = new.cold_overage;
    settings.cold_slack = new.cold_slack;
    settings.max_client_connections = new.max_client_connections;
    let loads = settings.listener_loads();
    // Requests that may be served in some regions only follow the newest assignment.
    settings.regions.clone_from(&new.regions);
    let needs_restart = settings.front != new.front
        || settings.internal != new.internal
        || settings.failure_domain != new.failure_domain
        || settings.retry_window_ms != new.retry_window_ms;
    state.answer_memory.budget().set_listeners(&loads);
    state
        .retry_budgets
        .set_limits(new.retry_ratio, new.extra_retries);
    LogLine::new(Event::SettingsReloaded)
        .number("grace_ms", new.grace_ms)
        .number("weights_apply_ms", new.weights_apply_ms)
        .flag("needs_restart", needs_restart)
        .enqueue();
}
