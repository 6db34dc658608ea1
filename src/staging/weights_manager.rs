use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::staging::CheckedPieces;
use crate::staging::EnginePort;
use crate::staging::EngineReport;
use crate::staging::LoadOrder;
use crate::staging::NextLoad;
use crate::staging::OrderOutcome;
use crate::staging::StagingState;
use crate::staging::state::log_settled_orders;
use crate::staging::weights_download::WeightsDownload;
use crate::weights::OriginPort;

/// Interval at which the state of the engine is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Time between the announcement of a load in the load reports and the load order:
/// meanwhile the entries stop sending requests to the engine.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(150);

/// Time before the load slot at which the pieces are staged and verified, in ms. It
/// covers two calls to the engine for each piece. The result of a verification remains
/// valid for some seconds.
const STAGE_LEAD_MS: i64 = 700;

/// Interval at which the pieces are checked while one of another version may still be
/// written over them.
const OPEN_WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of times that the pieces are checked again when their check is outdated.
const MAX_CHECKS: u32 = 3;

/// Longest time until a load order shows in the report of the engine.
const ORDER_REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Downloads the wanted version of each model and orders the engine to load it, until
/// the process ends.
pub async fn manage_weights(
    state: Rc<RefCell<StagingState>>,
    engine: impl EnginePort,
    origin: impl OriginPort,
    metrics: Rc<Metrics>,
) {
    loop {
        let models = state.borrow().models();
        for model in models {
            let has_report = state.borrow().engine_report.is_some();
            if !has_report && !state.borrow().is_engine_starting() {
                continue;
            }
            let download = |version| WeightsDownload {
                state: &state,
                engine: &engine,
                origin: &origin,
                metrics: &metrics,
                model: &model,
                version,
            };
            if !has_report {
                // The pieces are kept in memory until the engine has started.
                let version_to_fetch = state.borrow().version_to_fetch(&model);
                if let Some(version) = version_to_fetch {
                    download(version).fetch_version().await;
                }
                continue;
            }
            state.borrow_mut().clear_finished_order(&model);
            let wanted = state.borrow().next_load(&model).map(|next| next.version);
            if let Some(version) = wanted
                && state.borrow().orders.may_have_earlier(&model)
                && state.borrow_mut().start_examination(&model)
            {
                download(version).examine_staging_area().await;
            }
            let version_to_fetch = state.borrow().version_to_fetch(&model);
            if let Some(version) = version_to_fetch {
                download(version).fetch_version().await;
            }
            let next = state.borrow().next_load(&model);
            if let Some(next) = next {
                order_when_due(&download(next.version), next).await;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Orders the engine to load a version if its load slot is due and it is not busy.
///
/// Before that the pieces are staged and verified, while the engine still serves.
async fn order_when_due<E: EnginePort, O: OriginPort>(
    download: &WeightsDownload<'_, E, O>,
    next: NextLoad,
) {
    let state = download.state;
    if !is_due(&state.borrow(), download.model, next, STAGE_LEAD_MS) {
        return;
    }
    let Some(checked) = download.stage_pieces().await else {
        return;
    };
    if state
        .borrow()
        .has_open_write_of_other(download.model, next.version)
    {
        tokio::time::sleep(OPEN_WRITE_CHECK_INTERVAL).await;
        return;
    }
    let left_ms = next.not_before_ms - state.borrow().now_ms() as i64;
    tokio::time::sleep(Duration::from_millis(u64::try_from(left_ms).unwrap_or(0))).await;
    let current = state.borrow().next_load(download.model);
    if current.is_none_or(|current| current.version != next.version)
        || !is_due(&state.borrow(), download.model, next, 0)
    {
        return;
    }
    state.borrow_mut().is_load_announced = true;
    tokio::time::sleep(ANNOUNCE_DELAY).await;
    if let Some(checked) = renew_check(download, checked).await {
        send_order(download, checked).await;
        wait_for_report(download).await;
    }
    state.borrow_mut().is_load_announced = false;
}

/// Waits until the engine reports the order, for a bounded time.
async fn wait_for_report<E: EnginePort, O: OriginPort>(download: &WeightsDownload<'_, E, O>) {
    let deadline = Instant::now() + ORDER_REPORT_TIMEOUT;
    while Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        let state = download.state.borrow();
        let is_reported = state.engine_report.as_ref().is_none_or(|report| {
            report.is_busy || report.version(download.model) == download.version
        });
        if is_reported {
            break;
        }
    }
}

/// Reads the state of the engine and repeats the check of the pieces where it is outdated;
/// `None` when they are not valid any more.
async fn renew_check<E: EnginePort, O: OriginPort>(
    download: &WeightsDownload<'_, E, O>,
    mut checked: CheckedPieces,
) -> Option<CheckedPieces> {
    for _ in 0..MAX_CHECKS {
        if is_check_valid(download, |report, now_ms| {
            checked.is_current(report, now_ms)
        })
        .await
        {
            return Some(checked);
        }
        checked = download.stage_pieces().await?;
    }
    // The pieces can't be read any faster.
    is_check_valid(download, |report, now_ms| {
        checked.has_just_ended(report, now_ms)
    })
    .await
    .then_some(checked)
}

/// Returns whether a check holds by what the engine reports now.
async fn is_check_valid<E: EnginePort, O: OriginPort>(
    download: &WeightsDownload<'_, E, O>,
    holds: impl Fn(&EngineReport, i64) -> bool,
) -> bool {
    let report = download.engine.clone().report().await.ok();
    let mut state = download.state.borrow_mut();
    state.record_engine_report(report);
    let now_ms = state.now_ms() as i64;
    let report = state.engine_report.as_ref();
    report.is_some_and(|report| !report.is_busy && holds(report, now_ms))
}

/// Orders the engine to load the staged version and records the outcome.
async fn send_order<E: EnginePort, O: OriginPort>(
    download: &WeightsDownload<'_, E, O>,
    checked: CheckedPieces,
) {
    let (order, sent_ms) = {
        let state = download.state.borrow();
        let report = state.engine_report.as_ref();
        let order = LoadOrder {
            model: download.model.to_owned(),
            version: download.version,
            expected_orders: checked.orders,
            expected_version: report.and_then(|report| report.only_version(download.model)),
            incarnation: state.incarnation(checked.born_unix_ms),
        };
        (order, state.now_ms() as i64)
    };
    let outcome = download.engine.clone().order_load(&order).await;
    let metrics = download.metrics;
    metrics.add(CounterKind::LoadOrders, 1, "outcome", outcome.name());
    let line = match &outcome {
        OrderOutcome::Accepted => LogLine::new(Event::OrderGiven),
        OrderOutcome::Refused(error) | OrderOutcome::Unanswered(error) => {
            LogLine::new(Event::OrderFailed)
                .text("error", error.to_string())
                .flag("answered", matches!(outcome, OrderOutcome::Refused(_)))
        }
    };
    line.text("model", &order.model)
        .number("version", order.version)
        .number("orders", order.expected_orders)
        .number("checked_ms_ago", sent_ms - checked.started_ms)
        .enqueue();
    let mut state = download.state.borrow_mut();
    match outcome {
        OrderOutcome::Accepted => {
            let now_ms = state.now_ms() as i64;
            log_settled_orders(&state.orders.record_accepted(&order), now_ms);
            state.pending_order = Some((order.model, order.version));
            state
                .staged_model(download.model)
                .free_buffers(download.version);
        }
        OrderOutcome::Refused(_) => {}
        OrderOutcome::Unanswered(_) => {
            state.orders.record_unanswered(order, sent_ms);
        }
    }
}

/// Returns whether the load of `next` may be ordered `lead_ms` from now.
fn is_due(state: &StagingState, model: &str, next: NextLoad, lead_ms: i64) -> bool {
    let is_slot_due = state.now_ms() as i64 + lead_ms >= next.not_before_ms;
    let is_idle = state
        .engine_report
        .as_ref()
        .is_some_and(|report| !report.is_busy);
    is_slot_due && is_idle && state.is_complete(model, next.version)
}

impl StagingState {
    /// Clears the pending order for `model` once the engine is no longer busy: it has
    /// carried the order out, or lost it.
    fn clear_finished_order(&mut self, model: &str) {
        let is_busy = self
            .engine_report
            .as_ref()
            .is_some_and(|report| report.is_busy);
        if !is_busy
            && self
                .pending_order
                .as_ref()
                .is_some_and(|order| order.0 == model)
        {
            self.pending_order = None;
        }
    }
}
