use std::cell::RefCell;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::gateway::GatewaySettings;
use crate::gateway::GatewayState;
use crate::observe::Event;
use crate::observe::LogLine;

/// Interval at which settings are looked at without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until settings change, by a signal or without one.
///
/// `changed` gives the settings when they differ from the last ones.
pub async fn changed_settings<T>(
    hang_up: &mut Signal,
    mut changed: impl FnMut() -> Option<T>,
) -> T {
    loop {
        if let Some(settings) = changed() {
            return settings;
        }
        tokio::select! {
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
    }
}

/// Takes settings that changed while the process runs.
///
/// Names and addresses stay as they were at the start: other processes know
/// this one by them.
pub fn adopt_settings(state: &RefCell<GatewayState>, new: &GatewaySettings) {
    let mut state = state.borrow_mut();
    let settings = &mut state.settings;
    settings.grace_ms = new.grace_ms;
    settings.directory_keep_s = new.directory_keep_s;
    settings.resend_ratio = new.resend_ratio;
    settings.resend_extra = new.resend_extra;
    settings.weights_apply_ms = new.weights_apply_ms;
    settings.max_clients = new.max_clients;
    let needs_restart = settings.front != new.front
        || settings.internal != new.internal
        || settings.failure_domain != new.failure_domain
        || settings.resend_window_ms != new.resend_window_ms;
    for (_, budget) in &mut state.budgets {
        budget.set_limits(new.resend_ratio, new.resend_extra);
    }
    LogLine::new(Event::SettingsReloaded)
        .number("grace_ms", new.grace_ms)
        .number("weights_apply_ms", new.weights_apply_ms)
        .flag("needs_restart", needs_restart)
        .write();
}
