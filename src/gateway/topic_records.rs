use std::net::SocketAddr;
use std::rc::Rc;

use crate::fleet::Catalog;
use crate::fleet::DeclarationRecord;
use crate::fleet::LogPosition;
use crate::fleet::ReplicaRecord;
use crate::fleet::ReplicaState;
use crate::fleet::Topic;
use crate::fleet::TopicRecord;
use crate::fleet::TopicTable;
use crate::gateway::GatewayState;
use crate::gateway::OperatorRecord;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::decode_replica;
use crate::gateway::writer_version;
use crate::observe::Event;
use crate::observe::LogLine;

/// Time after the store answers again during which a replica stays in use although
/// its record expired, in ms. The replica registers again within about two seconds,
/// but one that has left must be out of use within the same time.
const EXPIRY_TOLERANCE_MS: u64 = 1_600;

/// Heartbeat intervals of silence after which the platform removes the record of a replica.
const MAX_MISSED_HEARTBEATS: u64 = 3;

impl TopicSink for GatewayState {
    fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.clone()
    }

    fn topic_table(&self, topic: Topic) -> &TopicTable {
        &self.topic_tables[topic as usize]
    }

    fn topic_table_mut(&mut self, topic: Topic) -> &mut TopicTable {
        &mut self.topic_tables[topic as usize]
    }

    fn handle_change(&mut self, topic: Topic, key: &str, decoder: &impl RecordDecoder) {
        let Some(record) = self.topic_table(topic).get(key) else {
            return;
        };
        let value = record.value.clone();
        let offset = record.offset;
        if topic == Topic::Operator
            && let Some(failure_domain) = decoder.evacuated_domain(key)
        {
            // A key that a listing no longer has comes here as well, without a value.
            let is_evacuated = value.as_ref().is_some_and(|value| !value.is_empty());
            self.apply_evacuation(failure_domain, is_evacuated, offset);
            return;
        }
        match (topic, value) {
            (Topic::Operator, Some(value)) => {
                self.apply_operator_record(key, &value, offset, decoder);
                self.update_notice.notify_one();
            }
            (Topic::Replicas, Some(value)) => {
                self.apply_replica_record(key, &value, offset, decoder)
            }
            (Topic::Replicas, None) if self.is_expiry_tolerated() => {
                self.expired_replicas.push(key.to_owned());
            }
            (Topic::Replicas, None) => self.remove_replica(key),
            (Topic::Members, Some(value)) => self.apply_kept_cause(key, &value, offset),
            (Topic::Operator | Topic::Members, None) => {}
        }
    }

    fn handle_rewind(&mut self, topic: Topic) {
        // Replicas that registered after the copy was made register again.
        if topic == Topic::Replicas {
            self.store_unavailable_ms = Some(self.now_ms());
        }
    }

    fn handle_records(
        &mut self,
        topic: Topic,
        records: Vec<TopicRecord>,
        next_offset: u64,
        decoder: &impl RecordDecoder,
    ) {
        let mut changed = Vec::new();
        let catalog = self.catalog();
        for record in records {
            let key = record.key.clone();
            let is_newer = self.topic_tables[topic as usize].apply_record(record, |record| {
                writer_version(catalog.as_deref(), topic, record, decoder)
            });
            if is_newer && !changed.contains(&key) {
                changed.push(key);
            }
        }
        self.topic_tables[topic as usize].advance_end_offset(next_offset);
        for key in changed {
            self.handle_change(topic, &key, decoder);
        }
    }
}

impl GatewayState {
    /// Removes the replicas whose records expired while the store was unavailable
    /// and that have not registered again since, and those that have fallen silent while
    /// another writer has written under their ids.
    pub fn remove_expired_replicas(&mut self) {
        let has_none = self.expired_replicas.is_empty() && self.overwritten_replicas.is_empty();
        if has_none || self.is_expiry_tolerated() {
            return;
        }
        let silent_ms = (self.settings.replica_heartbeat_ms).saturating_mul(MAX_MISSED_HEARTBEATS);
        let since_ms = self.now_ms().checked_sub(silent_ms);
        for id in since_ms.map_or_else(Vec::new, |ms| self.overwritten_replicas.take_until(ms)) {
            self.remove_replica(&id);
        }
        for id in std::mem::take(&mut self.expired_replicas) {
            let is_listed = self
                .topic_table(Topic::Replicas)
                .get(&id)
                .is_some_and(|record| record.value.is_some());
            if !is_listed {
                self.remove_replica(&id);
            }
        }
    }

    /// Whether an expired record may be due to an outage of the store, so that its
    /// replica stays in use. Also records the time while the store is unavailable.
    ///
    /// The store counts as unavailable when it answers neither this process nor
    /// another entry that reads on its behalf.
    fn is_expiry_tolerated(&mut self) -> bool {
        let now_ms = self.now_ms();
        if self.is_topic_unavailable(Topic::Replicas) && !self.has_other_reader() {
            self.store_unavailable_ms = Some(now_ms);
        }
        self.store_unavailable_ms
            .is_some_and(|store_unavailable_ms| now_ms < store_unavailable_ms + EXPIRY_TOLERANCE_MS)
    }

    /// Applies a configuration or a declaration of weights.
    fn apply_operator_record(
        &mut self,
        key: &str,
        value: &[u8],
        offset: u64,
        decoder: &impl RecordDecoder,
    ) {
        match decoder.operator_record(key, value) {
            Ok(OperatorRecord::Catalog(catalog)) => {
                LogLine::new(Event::CatalogAdopted)
                    .number("version", catalog.version)
                    .number("offset", LogPosition::unpack(offset).offset)
                    .enqueue();
                self.adopt_catalog(*catalog, decoder);
            }
            Ok(OperatorRecord::Weights { model, version }) => {
                self.apply_declaration(model, version, offset)
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => log_rejected_record(Topic::Operator, key, offset, &error),
        }
    }

    /// Puts a configuration into force, and looks at the records of the replicas by it. Those that
    /// come into use may be the next incarnations at their addresses.
    fn adopt_catalog(&mut self, catalog: Catalog, decoder: &impl RecordDecoder) {
        let former = self.catalog.replace(Rc::new(catalog));
        self.catalog_adopted_ms = self.now_ms();
        self.restate_replica_versions(decoder);
        let in_use = self.replicas.in_use(self.catalog.as_deref());
        let new_addresses: Vec<SocketAddr> = in_use
            .filter(|record| !record.is_in_use(former.as_deref()))
            .map(|record| record.address)
            .collect();
        for address in new_addresses {
            self.record_next_incarnation(address);
        }
    }

    /// Adds a declared version of weights, and wakes the read-ahead if it is new.
    fn apply_declaration(&mut self, model: String, version: u64, offset: u64) {
        let record = DeclarationRecord {
            model,
            version,
            offset,
            is_after_listing: self.topic_table(Topic::Operator).has_listing(),
        };
        let now_ms = self.now_ms() as i64;
        let apply_ms = self.settings.weights_apply_ms as i64;
        if self.weights.add_record(record, now_ms, apply_ms) {
            self.weights_notice.notify_one();
        }
    }

    /// Adds or updates a replica. What another writer has written under its id changes nothing:
    /// a record that can't be decoded, or of a service that no configuration names.
    fn apply_replica_record(
        &mut self,
        key: &str,
        value: &[u8],
        offset: u64,
        decoder: &impl RecordDecoder,
    ) {
        let catalog = self.catalog.as_deref();
        let known = self.replicas.record(key);
        match decode_replica(known, catalog, key, value, decoder) {
            Ok(record) => {
                self.overwritten_replicas.remove(key);
                self.register_replica(record, offset);
            }
            Err(error) => {
                log_rejected_record(Topic::Replicas, key, offset, &error);
                if self.replicas.record(key).is_some() {
                    let now_ms = self.now_ms();
                    self.overwritten_replicas.add(key, now_ms);
                }
            }
        }
    }

    /// Adds or updates a replica by its own record.
    fn register_replica(&mut self, record: ReplicaRecord, offset: u64) {
        let now_ms = self.now_ms();
        let is_leaving = record.state == ReplicaState::Leaving;
        let was_leaving = self.replicas.listed().any(|(_, known)| {
            known.record.id == record.id && known.record.state == ReplicaState::Leaving
        });
        // What the first listing shows was in use before this process began, unless
        // the record is the first of its replica or says otherwise.
        let is_in_use = !self.topic_table(Topic::Replicas).has_listing()
            && record.heartbeat_no > 1
            && record.cold_remaining_ms == 0;
        let (key, is_new_incarnation) = self.replicas.register(record, now_ms);
        if is_in_use && is_new_incarnation {
            self.replicas.record_earlier_use(key);
        }
        if is_new_incarnation || (is_leaving && !was_leaving) {
            let record = &self.replicas.get(key).record;
            let event = if is_leaving {
                Event::ReplicaLeaving
            } else {
                Event::ReplicaSeen
            };
            LogLine::new(event)
                .text("replica", &record.id)
                .text("service", &record.service)
                .text("address", record.address.to_string())
                .flag("in_use", record.is_in_use(self.catalog.as_deref()))
                .number("offset", LogPosition::unpack(offset).offset)
                .enqueue();
        }
        if is_new_incarnation {
            let address = self.replicas.get(key).record.address;
            self.record_next_incarnation(address);
        }
    }

    /// Marks a replica as removed, and logs it if it was listed.
    fn remove_replica(&mut self, id: &str) {
        self.overwritten_replicas.remove(id);
        if self.replicas.remove(id) {
            LogLine::new(Event::ReplicaGone)
                .text("replica", id)
                .enqueue();
        }
    }
}

/// Logs a record that could not be decoded.
pub fn log_rejected_record(topic: Topic, key: &str, offset: u64, error: &dyn std::error::Error) {
    LogLine::new(Event::RecordRejected)
        .text("topic", topic.label())
        .text("key", key)
        .number("offset", LogPosition::unpack(offset).offset)
        .text("error", error.to_string())
        .enqueue();
}
