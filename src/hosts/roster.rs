use crate::clients::HostList;
use crate::hosts::Heartbeat;
use crate::hosts::Host;
use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::hosts::HostStatus;
use crate::hosts::ListedState;
use crate::hosts::NameTag;
use crate::hosts::Report;

/// Time for which the removals of a list that lost at least half of its hosts are
/// deferred, in ms, because such a list may be a fault of the platform.
pub const REMOVAL_DELAY_MS: u64 = 30_000;

/// Time after which a host that is not listed and sends nothing is removed, in ms.
pub const HOST_EXPIRY_MS: u64 = 30_000;

/// Result of merging a list of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// Additions and removals were applied.
    Applied,
    /// Only the additions were applied, because the list lost too many hosts at once.
    RemovalsDeferred,
}

/// Result of merging a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The host was unknown or had not reported before.
    New,
    /// A later incarnation replaced the current one of the same name.
    Replaced,
    /// The report came from the current incarnation.
    Known,
    /// The report came from an incarnation that was replaced, and was dropped.
    Outdated,
}

/// Result of merging a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The state of the sender matches its last full report.
    Known,
    /// The sender, its incarnation or its state is unknown; a full report is needed.
    NeedsReport,
    /// The heartbeat came from an incarnation that was replaced, and was dropped.
    Outdated,
}

/// Place of a host in the roster; the generation grows when the host is removed, so that
/// keys of that host find no other one.
#[derive(Debug, Default)]
struct Slot {
    generation: u32,
    host: Option<Host>,
}

/// Known hosts, merged from the platform's lagging list and from received messages.
///
/// Messages take precedence over the list: a host that sends messages is usable
/// even if it is not listed, and a silent host is not usable even if it is listed.
#[derive(Debug, Default)]
pub struct Roster {
    slots: Vec<Slot>,
    /// Keys of all hosts, ascending by name.
    by_name: Vec<HostKey>,
    /// Keys of all hosts, ascending by the tag of the name.
    by_tag: Vec<(NameTag, HostKey)>,
    list_version: u64,
    /// Time of the first list in a row whose removals were deferred, in ms.
    removals_deferred_since_ms: Option<u64>,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the last list whose removals were applied.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the host of `key`, unless it was removed.
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

    /// Index of `name` in `by_name`, or the index at which to insert it.
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name.binary_search_by(|key| {
            let host = self
                .host(*key)
                .expect("`by_name` holds no key of a removed host");
            host.name.as_str().cmp(name)
        })
    }

    /// Returns the key of the host called `name`.
    pub fn key(&self, name: &str) -> Option<HostKey> {
        self.position(name).ok().map(|index| self.by_name[index])
    }

    /// Returns the key of the host whose name has the given tag.
    pub fn key_of_tag(&self, tag: NameTag) -> Option<HostKey> {
        let index = self.by_tag.binary_search_by_key(&tag, |(tag, _)| *tag);
        index.ok().map(|index| self.by_tag[index].1)
    }

    /// Iterates over all hosts, ascending by name.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.by_name
            .iter()
            .filter_map(|key| self.host(*key).map(|host| (*key, host)))
    }

    /// Counts the hosts of `role` that the platform lists.
    pub fn listed_count(&self, role: HostRole) -> usize {
        self.hosts()
            .filter(|(_, host)| host.role == role && host.is_listed)
            .count()
    }

    /// Iterates over the hosts of `role` that may get new work.
    pub fn usable(&self, role: HostRole, now_ms: u64) -> impl Iterator<Item = (HostKey, &Host)> {
        self.hosts()
            .filter(move |(_, host)| host.role == role && host.status(now_ms) == HostStatus::Usable)
    }

    /// Iterates over the hosts of `role` that are usable or have not reported yet.
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

    /// Merges the platform's list of hosts.
    pub fn merge_list(&mut self, list: &HostList, now_ms: u64) -> ListOutcome {
        let mut names: Vec<&str> = list.hosts.iter().map(|host| host.name.as_str()).collect();
        names.sort_unstable();
        let is_in_list = |host: &Host| names.binary_search(&host.name.as_str()).is_ok();
        let listed_before = self.hosts().filter(|(_, host)| host.is_listed).count();
        let still_listed = self
            .hosts()
            .filter(|(_, host)| host.is_listed && is_in_list(host))
            .count();
        let removals_deferred = self.defers_removals(listed_before, still_listed, now_ms);
        for record in &list.hosts {
            match self.key(&record.name).and_then(|key| self.host_mut(key)) {
                Some(host) => {
                    host.is_listed = true;
                    host.is_listed_leaving = record.state == ListedState::Leaving;
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
                && !is_in_list(host)
            {
                host.is_listed = false;
                host.unlisted_since_ms = now_ms;
            }
        }
        self.remove_expired(now_ms);
        ListOutcome::Applied
    }

    /// Decides whether the removals of a list are deferred, and keeps the time since when they are.
    fn defers_removals(&mut self, listed_before: usize, still_listed: usize, now_ms: u64) -> bool {
        let has_lost_half = still_listed * 2 <= listed_before && listed_before > 1;
        if !has_lost_half {
            self.removals_deferred_since_ms = None;
            return false;
        }
        let since_ms = *self.removals_deferred_since_ms.get_or_insert(now_ms);
        // An empty list counts as an outage of the list, so the known hosts are kept.
        if still_listed > 0 && now_ms.saturating_sub(since_ms) >= REMOVAL_DELAY_MS {
            self.removals_deferred_since_ms = None;
            return false;
        }
        true
    }

    /// Merges a full report of a host.
    pub fn merge_report(&mut self, report: &Report, now_ms: u64) -> ReportOutcome {
        let Some(host) = self.key(&report.name).and_then(|key| self.host_mut(key)) else {
            self.insert(Host::from_report(report, now_ms));
            return ReportOutcome::New;
        };
        if report.incarnation < host.incarnation {
            return ReportOutcome::Outdated;
        }
        let outcome = match host.incarnation {
            0 => ReportOutcome::New,
            known if known < report.incarnation => ReportOutcome::Replaced,
            _ => ReportOutcome::Known,
        };
        let mut updated = Host::from_report(report, now_ms);
        updated.is_listed = host.is_listed;
        updated.unlisted_since_ms = host.unlisted_since_ms;
        updated.is_listed_leaving = host.is_listed_leaving && outcome != ReportOutcome::Replaced;
        if outcome == ReportOutcome::Known {
            updated.has_reported_leaving |= host.has_reported_leaving;
            updated.heartbeat_sent_ms = host.heartbeat_sent_ms;
        }
        *host = updated;
        outcome
    }

    /// Merges a heartbeat of a host.
    pub fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) -> HeartbeatOutcome {
        let Some(host) = self
            .key_of_tag(heartbeat.name)
            .and_then(|key| self.host_mut(key))
        else {
            return HeartbeatOutcome::NeedsReport;
        };
        if heartbeat.incarnation < host.incarnation {
            return HeartbeatOutcome::Outdated;
        }
        if heartbeat.incarnation > host.incarnation {
            return HeartbeatOutcome::NeedsReport;
        }
        host.last_received_ms = Some(now_ms);
        host.heartbeat_sent_ms = heartbeat.sent_ms;
        host.has_reported_leaving |= heartbeat.leaving;
        host.config_offset = Some(heartbeat.config_offset);
        host.load = heartbeat.load;
        host.permit_epoch = heartbeat.permit_epoch;
        if host.state_tag == Some(heartbeat.state) {
            HeartbeatOutcome::Known
        } else {
            HeartbeatOutcome::NeedsReport
        }
    }

    /// Records that a call to the host of `key` failed because its process is unreachable.
    pub fn record_failure(&mut self, key: HostKey, now_ms: u64) {
        if let Some(host) = self.host_mut(key) {
            host.last_failed_ms = Some(now_ms);
        }
    }

    /// Records that the host of `key` refused work because it is leaving.
    pub fn record_leaving(&mut self, key: HostKey) {
        if let Some(host) = self.host_mut(key) {
            host.has_reported_leaving = true;
        }
    }

    /// Removes hosts that are not listed and sent nothing for [`HOST_EXPIRY_MS`].
    pub fn remove_expired(&mut self, now_ms: u64) {
        let expired: Vec<HostKey> = self
            .hosts()
            .filter(|(_, host)| {
                let silent_since_ms = host
                    .last_received_ms
                    .unwrap_or(0)
                    .max(host.unlisted_since_ms);
                !host.is_listed && now_ms.saturating_sub(silent_since_ms) > HOST_EXPIRY_MS
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.by_name.retain(|kept| *kept != key);
            self.by_tag.retain(|(_, kept)| *kept != key);
            let slot = &mut self.slots[key.index as usize];
            slot.host = None;
            slot.generation += 1;
        }
    }

    /// Adds a host, unless one of that name is known.
    fn insert(&mut self, host: Host) {
        let name_index = match self.position(&host.name) {
            Ok(_) => return,
            Err(index) => index,
        };
        let free = self.slots.iter().position(|slot| slot.host.is_none());
        let index = free.unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        let tag = NameTag::of_name(&host.name);
        let slot = &mut self.slots[index];
        slot.host = Some(host);
        let key = HostKey {
            index: u32::try_from(index).expect("fewer than 2^32 hosts"),
            generation: slot.generation,
        };
        self.by_name.insert(name_index, key);
        let tag_index = self.by_tag.partition_point(|(known, _)| *known < tag);
        self.by_tag.insert(tag_index, (tag, key));
    }
}
