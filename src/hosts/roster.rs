use crate::clients::HostList;
use crate::hosts::Heartbeat;
use crate::hosts::Host;
use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::hosts::HostState;
use crate::hosts::HostStatus;
use crate::hosts::NameTag;
use crate::hosts::Report;

/// Time a list that lost more than half of its hosts must stand before it is believed.
pub const REMOVAL_DELAY_MS: u64 = 30_000;

/// Time after which a host neither listed nor heard is forgotten.
pub const HOST_EXPIRY_MS: u64 = 30_000;

/// What became of a list from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// The list was merged.
    Applied,
    /// Its additions were merged; its removals wait, because too many went at once.
    RemovalsDeferred,
}

/// What a report told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// A host that was not known or not heard before.
    New,
    /// A later incarnation at a known name.
    Replaced,
    /// The incarnation that was known.
    Known,
    /// An incarnation that has been replaced; the report was dropped.
    Outdated,
}

/// What a beat told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The sender is as its last full report said.
    Known,
    /// The sender is not known as it is now; a full report is needed.
    NeedsReport,
    /// An incarnation that has been replaced; the beat was dropped.
    Outdated,
}

#[derive(Debug, Default)]
struct Slot {
    generation: u32,
    host: Option<Host>,
}

/// The merged live list: the platform's lagging list and direct evidence.
///
/// Direct evidence goes before the list: a host that was heard is usable though
/// the list lacks it, and a silent one is not though the list shows it.
#[derive(Debug, Default)]
pub struct Roster {
    slots: Vec<Slot>,
    by_name: Vec<HostKey>,
    by_tag: Vec<(NameTag, HostKey)>,
    list_version: u64,
    removals_deferred_since_ms: Option<u64>,
}

impl Roster {
    /// An empty roster.
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the list last merged.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// The host of `key`, unless it was forgotten.
    pub fn host(&self, key: HostKey) -> Option<&Host> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.host.as_ref()
    }

    fn host_mut(&mut self, key: HostKey) -> Option<&mut Host> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.host.as_mut()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name.binary_search_by(|key| {
            let host = self.host(*key).expect("the index holds no stale key");
            host.name.as_str().cmp(name)
        })
    }

    /// Key of the host called `name`.
    pub fn key(&self, name: &str) -> Option<HostKey> {
        self.position(name).ok().map(|at| self.by_name[at])
    }

    /// Key of the host whose name has the given tag.
    pub fn key_of_tag(&self, tag: NameTag) -> Option<HostKey> {
        let at = self.by_tag.binary_search_by_key(&tag, |(tag, _)| *tag);
        at.ok().map(|at| self.by_tag[at].1)
    }

    /// Every host, by name.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.by_name
            .iter()
            .filter_map(|key| self.host(*key).map(|host| (*key, host)))
    }

    /// Number of hosts of `role` that the platform lists.
    pub fn listed_count(&self, role: HostRole) -> usize {
        self.hosts()
            .filter(|(_, host)| host.role == role && host.is_listed)
            .count()
    }

    /// Hosts of `role` that may get new work.
    pub fn usable(&self, role: HostRole, now_ms: u64) -> impl Iterator<Item = (HostKey, &Host)> {
        self.hosts()
            .filter(move |(_, host)| host.role == role && host.status(now_ms) == HostStatus::Usable)
    }

    /// Hosts of `role` worth asking: usable ones and those not heard yet.
    pub fn contactable(
        &self,
        role: HostRole,
        now_ms: u64,
    ) -> impl Iterator<Item = (HostKey, &Host)> {
        self.hosts().filter(move |(_, host)| {
            let status = host.status(now_ms);
            host.role == role && matches!(status, HostStatus::Usable | HostStatus::NeverReported)
        })
    }

    /// Merges a list of the platform.
    pub fn merge_list(&mut self, list: &HostList, now_ms: u64) -> ListOutcome {
        let mut names: Vec<&str> = list.hosts.iter().map(|host| host.name.as_str()).collect();
        names.sort_unstable();
        let is_named = |host: &Host| names.binary_search(&host.name.as_str()).is_ok();
        let listed_before = self.hosts().filter(|(_, host)| host.is_listed).count();
        let still_listed = self
            .hosts()
            .filter(|(_, host)| host.is_listed && is_named(host))
            .count();
        let removals_deferred = self.defers_removals(listed_before, still_listed, now_ms);
        for record in &list.hosts {
            match self.key(&record.name).and_then(|key| self.host_mut(key)) {
                Some(host) => {
                    host.is_listed = true;
                    host.is_listed_leaving = record.state == HostState::Leaving;
                    if host.last_received_ms.is_none() {
                        host.address = record.address;
                    }
                }
                None => self.insert(Host::from_record(record)),
            }
        }
        if removals_deferred {
            return ListOutcome::RemovalsDeferred;
        }
        self.list_version = list.version;
        for slot in &mut self.slots {
            if let Some(host) = &mut slot.host
                && host.is_listed
                && !is_named(host)
            {
                host.is_listed = false;
                host.unlisted_since_ms = now_ms;
            }
        }
        self.remove_expired(now_ms);
        ListOutcome::Applied
    }

    /// Whether removals of a list are held back.
    fn defers_removals(&mut self, listed_before: usize, still_listed: usize, now_ms: u64) -> bool {
        let halved = still_listed * 2 <= listed_before && listed_before > 1;
        if !halved {
            self.removals_deferred_since_ms = None;
            return false;
        }
        let since_ms = *self.removals_deferred_since_ms.get_or_insert(now_ms);
        // An empty list is an outage of the list: the last known hosts stay.
        if still_listed > 0 && now_ms.saturating_sub(since_ms) >= REMOVAL_DELAY_MS {
            self.removals_deferred_since_ms = None;
            return false;
        }
        true
    }

    /// Merges what a host says of itself.
    pub fn merge_report(&mut self, report: &Report, now_ms: u64) -> ReportOutcome {
        let Some(host) = self.key(&report.name).and_then(|key| self.host_mut(key)) else {
            self.insert(Host::from_report(report, now_ms));
            return ReportOutcome::New;
        };
        if report.incarnation < host.incarnation {
            return ReportOutcome::Outdated;
        }
        let heard = match host.incarnation {
            0 => ReportOutcome::New,
            known if known < report.incarnation => ReportOutcome::Replaced,
            _ => ReportOutcome::Known,
        };
        let mut told = Host::from_report(report, now_ms);
        told.is_listed = host.is_listed;
        told.unlisted_since_ms = host.unlisted_since_ms;
        told.is_listed_leaving = host.is_listed_leaving && heard != ReportOutcome::Replaced;
        if heard == ReportOutcome::Known {
            told.has_reported_leaving |= host.has_reported_leaving;
            told.heartbeat_sent_ms = host.heartbeat_sent_ms;
        }
        *host = told;
        heard
    }

    /// Merges a sign of life.
    pub fn merge_heartbeat(&mut self, beat: &Heartbeat, now_ms: u64) -> HeartbeatOutcome {
        let Some(host) = self
            .key_of_tag(beat.name)
            .and_then(|key| self.host_mut(key))
        else {
            return HeartbeatOutcome::NeedsReport;
        };
        if beat.incarnation < host.incarnation {
            return HeartbeatOutcome::Outdated;
        }
        if beat.incarnation > host.incarnation {
            return HeartbeatOutcome::NeedsReport;
        }
        host.last_received_ms = Some(now_ms);
        host.heartbeat_sent_ms = beat.sent_ms;
        host.has_reported_leaving |= beat.leaving;
        host.config_offset = Some(beat.config_offset);
        host.load = beat.load;
        host.permit_epoch = beat.permit_epoch;
        if host.state_tag == Some(beat.state) {
            HeartbeatOutcome::Known
        } else {
            HeartbeatOutcome::NeedsReport
        }
    }

    /// Notes that a call to `key` failed in a way that shows its process is gone.
    pub fn record_failure(&mut self, key: HostKey, now_ms: u64) {
        if let Some(host) = self.host_mut(key) {
            host.last_failed_ms = Some(now_ms);
        }
    }

    /// Notes that the host of `key` refused work because it is leaving.
    pub fn record_leaving(&mut self, key: HostKey) {
        if let Some(host) = self.host_mut(key) {
            host.has_reported_leaving = true;
        }
    }

    /// Drops hosts that are neither listed nor heard for long.
    pub fn remove_expired(&mut self, now_ms: u64) {
        let gone: Vec<HostKey> = self
            .hosts()
            .filter(|(_, host)| {
                let unheard_since_ms = host
                    .last_received_ms
                    .unwrap_or(0)
                    .max(host.unlisted_since_ms);
                !host.is_listed && now_ms.saturating_sub(unheard_since_ms) > HOST_EXPIRY_MS
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.by_name.retain(|kept| *kept != key);
            self.by_tag.retain(|(_, kept)| *kept != key);
            let slot = &mut self.slots[key.index as usize];
            slot.host = None;
            slot.generation += 1;
        }
    }

    fn insert(&mut self, host: Host) {
        let at = match self.position(&host.name) {
            Ok(_) => return,
            Err(at) => at,
        };
        let free = self.slots.iter().position(|slot| slot.host.is_none());
        let index = free.unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        let tag = NameTag::of(&host.name);
        let slot = &mut self.slots[index];
        slot.host = Some(host);
        let key = HostKey {
            index: u32::try_from(index).expect("fewer than 2^32 hosts"),
            generation: slot.generation,
        };
        self.by_name.insert(at, key);
        let at = self.by_tag.partition_point(|(known, _)| *known < tag);
        self.by_tag.insert(at, (tag, key));
    }
}
