use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::staging::EnginePort;
use crate::staging::NextLoad;
use crate::staging::StagingState;
use crate::staging::weights_download::WeightsDownload;
use crate::weights::OriginPort;

/// Pause between looks at what the engine holds.
const LOOK_INTERVAL: Duration = Duration::from_millis(60);

/// Time between the word that an engine is about to load and its order: entries
/// stop sending in it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(150);

/// Time before its turn at which an engine's pieces are staged and checked, in ms:
/// two calls to the engine a piece. A check is good for some seconds.
const STAGE_LEAD_MS: i64 = 700;

/// Time in which an order shows in the engine's report.
const ORDER_SEEN: Duration = Duration::from_millis(600);

/// Brings the engine to the wanted version of each model, again and again.
pub async fn manage_weights(
    state: Rc<RefCell<StagingState>>,
    engine: impl EnginePort,
    origin: impl OriginPort,
    metrics: Rc<Metrics>,
) {
    loop {
        let models = state.borrow().models();
        for model in models {
            if state.borrow().engine_report.is_none() {
                continue;
            }
            state.borrow_mut().clear_finished_order(&model);
            let transfer = |version| WeightsDownload {
                state: &state,
                engine: &engine,
                origin: &origin,
                metrics: &metrics,
                model: &model,
                version,
            };
            let version_to_fetch = state.borrow().version_to_fetch(&model);
            if let Some(version) = version_to_fetch {
                transfer(version).fetch_version().await;
            }
            let goal = state.borrow().next_load(&model);
            if let Some(goal) = goal {
                order(&transfer(goal.version), goal).await;
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Orders the engine to load, if its turn has come and it is not busy.
///
/// The pieces are staged and checked before, while the engine still serves.
async fn order<E: EnginePort, O: OriginPort>(transfer: &WeightsDownload<'_, E, O>, goal: NextLoad) {
    let state = transfer.state;
    if !is_due(&state.borrow(), transfer.model, goal, STAGE_LEAD_MS)
        || !transfer.stage_pieces().await
    {
        return;
    }
    let left_ms = goal.not_before_ms - state.borrow().now_ms() as i64;
    tokio::time::sleep(Duration::from_millis(u64::try_from(left_ms).unwrap_or(0))).await;
    let now_wanted = state.borrow().next_load(transfer.model);
    if now_wanted.is_none_or(|wanted| wanted.version != goal.version)
        || !is_due(&state.borrow(), transfer.model, goal, 0)
    {
        return;
    }
    state.borrow_mut().is_load_announced = true;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    let mut engine = transfer.engine.clone();
    let line = match engine.order_load(transfer.model, transfer.version).await {
        Ok(()) => {
            let pending_order = (transfer.model.to_owned(), transfer.version);
            let mut state = state.borrow_mut();
            state.pending_order = Some(pending_order);
            state
                .staged_model(transfer.model)
                .free_buffers(transfer.version);
            LogLine::new(Event::OrderGiven)
        }
        Err(error) => LogLine::new(Event::OrderFailed).text("error", error.to_string()),
    };
    line.text("model", transfer.model)
        .number("version", transfer.version)
        .write();
    let seen = tokio::time::Instant::now() + ORDER_SEEN;
    while tokio::time::Instant::now() < seen {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let state = state.borrow();
        let is_seen = state.engine_report.as_ref().is_none_or(|report| {
            report.is_busy || report.version(transfer.model) == transfer.version
        });
        if is_seen {
            break;
        }
    }
    state.borrow_mut().is_load_announced = false;
}

/// Whether an order for `goal` may be given in `ahead_ms`.
fn is_due(state: &StagingState, model: &str, goal: NextLoad, ahead_ms: i64) -> bool {
    let is_turn = state.now_ms() as i64 + ahead_ms >= goal.not_before_ms;
    let is_free = state
        .engine_report
        .as_ref()
        .is_some_and(|report| !report.is_busy);
    is_turn && is_free && state.is_complete(model, goal.version)
}

impl StagingState {
    /// Forgets an order that the engine has carried out, or no longer knows.
    fn clear_finished_order(&mut self, model: &str) {
        let is_busy = self
            .engine_report
            .as_ref()
            .is_some_and(|report| report.is_busy);
        if !is_busy && self.pending_order.as_ref().is_some_and(|o| o.0 == model) {
            self.pending_order = None;
        }
    }
}
