use std::rc::Rc;

use crate::fleet::Catalog;
use crate::fleet::LogPosition;
use crate::fleet::Topic;
use crate::fleet::TopicRecord;
use crate::fleet::TopicTable;
use crate::gateway::RecordDecoder;
use crate::gateway::replica_writers::writer_version;
use crate::observe::Event;
use crate::observe::LogLine;

/// State of a process that is kept up to date from the records of the topics.
pub trait TopicSink {
    /// Configuration in force; None until one is known.
    fn catalog(&self) -> Option<Rc<Catalog>>;
    /// Newest records of a topic.
    fn topic_table(&self, topic: Topic) -> &TopicTable;
    /// Newest records of a topic, to be updated.
    fn topic_table_mut(&mut self, topic: Topic) -> &mut TopicTable;
    /// Updates the state after the newest record of `key` changed in its table.
    fn handle_change(&mut self, topic: Topic, key: &str, decoder: &impl RecordDecoder);
    /// Updates the state before a listing is applied for which the store came back from an
    /// older copy.
    fn handle_rewind(&mut self, topic: Topic);
    /// Applies a listing: the newest record of each key of a topic.
    fn handle_listing(
        &mut self,
        topic: Topic,
        records: Vec<TopicRecord>,
        end_offset: u64,
        decoder: &impl RecordDecoder,
    ) {
        let table = self.topic_table(topic);
        let had_listing = table.has_listing();
        let before = LogPosition::unpack(table.end_offset());
        let end = LogPosition::unpack(end_offset);
        let is_rewound = had_listing && end.era > before.era;
        if is_rewound {
            self.handle_rewind(topic);
        }
        let catalog = self.catalog();
        let changes = self.topic_table_mut(topic).apply_listing(
            records,
            end_offset,
            topic == Topic::Operator,
            |record| writer_version(catalog.as_deref(), topic, record, decoder),
        );
        if is_rewound {
            LogLine::new(Event::TopicRewound)
                .text("topic", topic.label())
                .number("era_before", before.era)
                .number("end_before", before.offset)
                .number("era", end.era)
                .number("end_offset", end.offset)
                .number("changed", changes.changed.len())
                .number("kept", changes.kept)
                .enqueue();
        }
        for key in changes.changed {
            self.handle_change(topic, &key, decoder);
        }
        self.topic_table_mut(topic).mark_listed();
    }

    /// Has the records of the replicas state their versions by the configuration that has come
    /// into force.
    fn restate_replica_versions(&mut self, decoder: &impl RecordDecoder) {
        let (catalog, topic) = (self.catalog(), Topic::Replicas);
        self.topic_table_mut(topic)
            .restate_versions(|record| writer_version(catalog.as_deref(), topic, record, decoder));
    }

    /// Applies records that follow those already applied; `next_offset` is the offset
    /// after the last.
    fn handle_records(
        &mut self,
        topic: Topic,
        records: Vec<TopicRecord>,
        next_offset: u64,
        decoder: &impl RecordDecoder,
    );
}
