use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::calls::KeptCause;
use crate::calls::KeptCauses;
use crate::calls::SuspectRecord;
use crate::fleet::Topic;
use crate::fleet::rendezvous_rank;
use crate::gateway::GatewayState;
use crate::gateway::RecordSource;
use crate::gateway::TopicSink;
use crate::gateway::suspect_notices::merge_suspects;
use crate::gateway::topic_records::log_rejected_record;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::unix_ms;
use crate::weights::Digest;

/// Beginning of the key of a refused cause among the records of the entries.
const KEY_PREFIX: &str = "refused/";

/// Name under which what the store has kept is merged and logged.
const STORE_NAME: &str = "store";

/// Interval at which an entry compares the refused causes with their records.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time by which the last crash of a cause is later than in its record, in ms, from which the
/// record is out of date: a trial has failed.
const OUTDATED_MS: u64 = 5_000;

/// Keeps the refused causes in the platform's store, so that entries know them that start
/// after all others have ended.
pub async fn keep_refused_causes(state: Rc<RefCell<GatewayState>>, mut source: impl RecordSource) {
    let mut kept_causes = KeptCauses::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let (due, now_ms) = {
            let state = state.borrow();
            let now_ms = state.now_ms();
            let differing = state.differing_causes();
            (kept_causes.next_due(&differing, now_ms), now_ms)
        };
        let Some(cause) = due else {
            continue;
        };
        let kept = KeptCause {
            written_unix_ms: unix_ms(),
            records: state.borrow().suspects.cause_records(cause, now_ms),
        };
        let value = rmp_serde::to_vec(&kept).expect("a record holds only plain data");
        let written = source
            .publish(Topic::Members, &record_key(cause), &value)
            .await;
        LogLine::new(Event::RefusalKept)
            .text("fingerprint", cause.short_hex())
            .flag("cleared", kept.is_cleared())
            .number("crashes", kept.records.len())
            .flag("written", written.is_ok())
            .enqueue();
        if let Err(error) = written {
            log::debug!("cannot keep a refused cause: {error}");
            let now_ms = state.borrow().now_ms();
            kept_causes.record_failure(cause, now_ms);
        }
    }
}

/// Key of the record of a cause.
fn record_key(cause: Digest) -> String {
    format!("{KEY_PREFIX}{cause}")
}

impl GatewayState {
    /// Applies a record of an entry, if it is one of a refused cause.
    pub(super) fn apply_kept_cause(&mut self, key: &str, value: &[u8], offset: u64) {
        if !key.starts_with(KEY_PREFIX) {
            return;
        }
        match rmp_serde::from_slice::<KeptCause>(value) {
            Ok(kept) => {
                let records = kept.records_at(unix_ms());
                merge_suspects(self, STORE_NAME, &records);
            }
            Err(error) => log_rejected_record(Topic::Members, key, offset, &error),
        }
    }

    /// Causes whose refusal, or the end of it, is not what their records say, each with the
    /// rank of this entry for it.
    fn differing_causes(&self) -> Vec<(Digest, usize)> {
        let now_ms = self.now_ms();
        let table = self.topic_table(Topic::Members);
        let kept_of = |cause: Digest| {
            let value = table.get(&record_key(cause))?.value.as_deref()?;
            rmp_serde::from_slice::<KeptCause>(value).ok()
        };
        let refused = self.suspects.refused_causes(now_ms).into_iter();
        let refused = refused.filter(|cause| {
            let records = self.suspects.cause_records(*cause, now_ms);
            let age_ms = youngest_ms(&records);
            let kept = kept_of(*cause).filter(|kept| !kept.is_cleared());
            kept.is_none_or(|kept| age_ms + OUTDATED_MS < youngest_ms(&kept.records_at(unix_ms())))
        });
        let kept_records = table.records_since(0);
        let kept_keys = kept_records.filter_map(|record| record.key.strip_prefix(KEY_PREFIX));
        let cleared = kept_keys.filter_map(|hex| hex.parse().ok());
        let cleared = cleared.filter(|cause| {
            let records = self.suspects.request_records(*cause, now_ms);
            !records.is_empty()
                && records.iter().all(|record| record.cleared)
                && kept_of(*cause).is_some_and(|kept| !kept.is_cleared())
        });
        let entries = self.peers.live_entries(now_ms);
        let names: Vec<&str> = entries.map(|entry| entry.name.as_str()).collect();
        let rank_of = |cause: Digest| {
            rendezvous_rank(&self.settings.name, names.iter().copied(), cause.seed())
        };
        let differing = refused.chain(cleared);
        differing.map(|cause| (cause, rank_of(cause))).collect()
    }
}

/// Age of the last crash of some, in ms.
fn youngest_ms(records: &[SuspectRecord]) -> u64 {
    let ages_ms = records.iter().map(|record| record.age_ms);
    ages_ms.min().unwrap_or(u64::MAX)
}
