use crate::fleet::Topic;
use crate::observe::Event;
use crate::observe::LogLine;

/// Whether the store answers this process.
#[derive(Debug, Default)]
pub struct StoreStatus {
    /// For each topic, whether the last read failed.
    unavailable_topics: [bool; 3],
}

impl StoreStatus {
    /// Whether the store answered the last read of each topic.
    pub fn is_available(&self) -> bool {
        !self.unavailable_topics.contains(&true)
    }

    /// Whether the last read of `topic` failed.
    pub fn is_topic_unavailable(&self, topic: Topic) -> bool {
        self.unavailable_topics[topic as usize]
    }

    /// Records whether the store answered a read of `topic`, and logs a change.
    pub fn record_result(&mut self, topic: Topic, error: Option<&dyn std::error::Error>) {
        let is_unavailable = &mut self.unavailable_topics[topic as usize];
        match error {
            Some(error) if !*is_unavailable => {
                *is_unavailable = true;
                LogLine::new(Event::DependencyLost)
                    .text("dependency", "store")
                    .text("topic", topic.label())
                    .text("error", error.to_string())
                    .enqueue();
            }
            None if *is_unavailable => {
                *is_unavailable = false;
                LogLine::new(Event::DependencyRegained)
                    .text("dependency", "store")
                    .text("topic", topic.label())
                    .enqueue();
            }
            _ => {}
        }
    }
}
