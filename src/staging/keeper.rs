use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::fleet::rotation_slot;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::staging::EnginePort;
use crate::staging::OriginPort;
use crate::staging::StagingState;
use crate::staging::transfer::Gathered;
use crate::staging::transfer::Transfer;

/// Pause between looks at what the engine holds.
const LOOK_INTERVAL: Duration = Duration::from_millis(60);

/// Time over which the engines of a service take turns to load, in ms: engines
/// that load serve nobody.
const ROTATION_MS: u64 = 2_000;

/// Share of the time for new weights by which the last engine gets its order.
const ORDER_BY: f64 = 0.6;

/// Time between the word that an engine is about to load and its order: entries
/// stop sending in it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(150);

/// Time in which an order shows in the engine's report.
const ORDER_SEEN: Duration = Duration::from_millis(600);

/// Brings the engine to the wanted version of each model, again and again.
pub async fn keep_weights(
    state: Rc<RefCell<StagingState>>,
    engine: impl EnginePort,
    origin: impl OriginPort,
    metrics: Rc<Metrics>,
) {
    loop {
        let models = state.borrow().models();
        for model in models {
            let version = state.borrow().wanted(&model).0;
            let transfer = Transfer {
                state: &state,
                engine: &engine,
                origin: &origin,
                metrics: &metrics,
                model: &model,
                version,
            };
            keep_model(&transfer).await;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

async fn keep_model<E: EnginePort, O: OriginPort>(transfer: &Transfer<'_, E, O>) {
    let state = transfer.state;
    let (is_held, is_busy, is_asked) = {
        let state = state.borrow();
        let Some(report) = &state.report else {
            return;
        };
        (
            report.version(transfer.model) == transfer.version,
            report.is_busy,
            state.is_asked_for(transfer.model, transfer.version),
        )
    };
    let have_all = state
        .borrow_mut()
        .stage(transfer.model)
        .is_whole(transfer.version);
    if is_held {
        state.borrow_mut().is_ordering = false;
        if have_all || !is_asked {
            return;
        }
    }
    if !have_all && transfer.run().await == Gathered::Superseded {
        return;
    }
    if is_held || is_busy {
        return;
    }
    order(transfer).await;
}

/// Waits for this engine's turn and orders it to load.
async fn order<E: EnginePort, O: OriginPort>(transfer: &Transfer<'_, E, O>) {
    let state = transfer.state;
    let wait_ms = state.borrow().turn_ms(transfer.model, transfer.version);
    if wait_ms > 0 {
        tokio::time::sleep(Duration::from_millis(wait_ms.min(200))).await;
        return;
    }
    state.borrow_mut().is_ordering = true;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    if !transfer.recheck().await || state.borrow().wanted(transfer.model).0 != transfer.version {
        return;
    }
    let mut engine = transfer.engine.clone();
    let line = match engine.load(transfer.model, transfer.version).await {
        Ok(()) => LogLine::new(Event::OrderGiven),
        Err(error) => LogLine::new(Event::OrderFailed).text("error", error.to_string()),
    };
    line.text("model", transfer.model)
        .number("version", transfer.version)
        .write();
    let seen = tokio::time::Instant::now() + ORDER_SEEN;
    while tokio::time::Instant::now() < seen {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let state = state.borrow();
        let is_seen = state.report.as_ref().is_none_or(|report| {
            report.is_busy || report.version(transfer.model) == transfer.version
        });
        if is_seen {
            return;
        }
    }
}

impl StagingState {
    /// Whether another host still lacks pieces of the version.
    fn is_asked_for(&self, model: &str, version: u64) -> bool {
        self.holders.iter().any(|holder| {
            holder.model == model && holder.version == version && !holder.have.is_complete()
        })
    }

    /// Time until this engine's turn to load `version`; 0 when it is now.
    ///
    /// An engine that serves nothing loads at once. The others take turns, and
    /// the last turn comes early enough for what runs to end in time.
    fn turn_ms(&self, model: &str, version: u64) -> u64 {
        let serves = self
            .report
            .as_ref()
            .is_some_and(|report| report.version(model) > 0);
        if !serves {
            return 0;
        }
        let own = self.settings.replica.to_string();
        let names: Vec<String> = self.replicas.iter().map(|r| r.address.to_string()).collect();
        let slot = rotation_slot(&own, names.iter().map(String::as_str), version) as u64;
        let count = names.len().max(1) as u64;
        let (_, learned_ms) = self.wanted(model);
        let last_ms = (self.settings.weights_apply_ms as f64 * ORDER_BY) as u64;
        let first_ms = last_ms.saturating_sub(ROTATION_MS);
        let turn_ms = learned_ms + first_ms + ROTATION_MS * slot.min(count) / count;
        turn_ms.saturating_sub(self.now_ms())
    }
}
