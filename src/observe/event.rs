use std::fmt::Display;

use log::Level;

/// Declares the events: number, name, level and meaning.
macro_rules! events {
    ($($number:literal $name:ident $level:ident $meaning:literal;)*) => {
        /// A numbered event; docs/EVENTS.md is its catalogue.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $meaning] $name,)*
        }

        impl Event {
            /// Every event, in ascending number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Stable number of the event.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Stable name of the event.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Level the event is logged at.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// What the event means, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }
        }
    };
}

// Blocks of numbers: 100 process, 200 configuration, 300 weights, 400 calls,
// 500 hosts, 600 links, 900 stand-ins.
events! {
    101 ProcessStarted Info "A process is listening.";
    102 ProcessStopping Info "A process received a stop signal and drains.";
    103 ProcessStopped Info "A process has drained and exits.";
    201 ConfigAdvanced Info "A later configuration offset is in force on this process.";
    202 LogUnavailable Warn "The platform's log did not answer.";
    203 RecordSkipped Warn "A record of the log is not one of ours and is skipped by every process.";
    204 CheckpointDiffers Error "A checkpoint contradicts the records or another checkpoint; it is not adopted.";
    205 RecordsTrimmed Warn "Records this process lacks are trimmed and no checkpoint in the log covers them.";
    206 LogWentBack Error "The log ends before records that were read from it.";
    207 ConfigDiverged Error "A peer holds another configuration at the same offset.";
    208 ProcessWoken Warn "A process was paused and confirms its configuration before it admits work.";
    209 CheckpointPublished Info "A checkpoint of the configuration was appended to the log.";
    210 EditDecided Info "An edit of the configuration was accepted or lost to another.";
    301 WeightsVerified Info "Every chunk of a version is present and the whole digest matches.";
    302 ChunkRejected Warn "A chunk had the wrong digest or length and was dropped.";
    303 WeightsServing Info "The engine serves a version.";
    304 WeightsHeld Warn "A version cannot proceed on this host.";
    401 CallRefused Info "A call was refused with a final answer.";
    402 CallRetried Info "An idempotent call was sent again.";
    501 HostJoined Info "A host or a new incarnation of it was seen.";
    502 HostLost Warn "A host stopped answering and gets no new work.";
    601 ConnectionSilent Warn "A connection went silent and was abandoned.";
}

/// Logs `event` with its `fields`.
pub fn emit(event: Event, fields: &[(&str, &dyn Display)]) {
    if !log::log_enabled!(event.level()) {
        return;
    }
    let mut text = format!("E{:03} {}", event.number(), event.name());
    for (key, value) in fields {
        text.push_str(&format!(" {key}={value}"));
    }
    log::log!(event.level(), event = event.number(), name = event.name(); "{text}");
}
