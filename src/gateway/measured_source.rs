use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::LogPosition;
use crate::fleet::Topic;
use crate::gateway::Listing;
use crate::gateway::RecordSource;
use crate::gateway::SourceError;
use crate::gateway::TopicRead;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;

/// Access to the store that records the time and the outcome of each call.
#[derive(Debug)]
pub struct MeasuredSource<S> {
    inner: S,
    metrics: Rc<Metrics>,
}

impl<S> MeasuredSource<S> {
    /// Measures the calls of `inner`.
    pub fn new(inner: S, metrics: Rc<Metrics>) -> Self {
        Self { inner, metrics }
    }

    /// Records a call that began at `began`; returns the time that it took, in ms.
    fn record<T>(
        &self,
        call: &'static str,
        began: Instant,
        result: &Result<T, SourceError>,
    ) -> u64 {
        let took = began.elapsed();
        let outcome = match result {
            Ok(_) => "ok",
            Err(SourceError::Outdated(era)) => {
                LogLine::new(Event::ReplyDiscarded)
                    .text("call", call)
                    .number("era", *era)
                    .enqueue();
                "outdated"
            }
            Err(_) => "failed",
        };
        self.metrics
            .record_store_call(call, outcome, took.as_secs_f64() * 1_000.0);
        u64::try_from(took.as_millis()).unwrap_or(u64::MAX)
    }
}

impl<S: RecordSource> RecordSource for MeasuredSource<S> {
    async fn listing(&mut self, topic: Topic) -> Result<Listing, SourceError> {
        let began = Instant::now();
        let result = self.inner.listing(topic).await;
        let took_ms = self.record("listing", began, &result);
        let line = LogLine::new(Event::TopicListed)
            .text("topic", topic.label())
            .number("took_ms", took_ms);
        match &result {
            Ok(listing) => {
                let values = listing.records.iter().filter_map(|r| r.value.as_ref());
                line.text("outcome", "ok")
                    .number("records", listing.records.len())
                    .number("value_bytes", values.map(Vec::len).sum::<usize>())
                    .number("era", LogPosition::unpack(listing.end_offset).era)
                    .number("end_offset", LogPosition::unpack(listing.end_offset).offset)
                    .enqueue();
            }
            Err(error) => line
                .text("outcome", "failed")
                .text("error", error.to_string())
                .enqueue(),
        }
        result
    }

    async fn read(
        &mut self,
        topic: Topic,
        offset: u64,
        wait: Duration,
    ) -> Result<TopicRead, SourceError> {
        let began = Instant::now();
        let result = self.inner.read(topic, offset, wait).await;
        self.record("read", began, &result);
        result
    }

    async fn publish(&mut self, topic: Topic, key: &str, value: &[u8]) -> Result<(), SourceError> {
        let began = Instant::now();
        let result = self.inner.publish(topic, key, value).await;
        self.record("publish", began, &result);
        result
    }
}
