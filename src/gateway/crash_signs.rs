use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::calls::BrokenRun;
use crate::calls::BrokenRunKind;
use crate::calls::CloseSigns;
use crate::calls::CrashSign;
use crate::calls::PortSign;
use crate::calls::RunCauses;
use crate::calls::SuspectRecord;
use crate::fleet::ReplicaRecord;
use crate::fleet::ReplicaState;
use crate::fleet::rendezvous_rank;
use crate::gateway::GatewayState;
use crate::gateway::end_causes::CLIENT_LEFT;
use crate::gateway::end_causes::HOST_SILENT;
use crate::gateway::end_causes::REPLICA_CRASHED;
use crate::gateway::end_causes::REPLICA_ENDED;
use crate::gateway::exchange;
use crate::gateway::placement::ChosenReplica;
use crate::gateway::port_probe::probe_port;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::Digest;

/// Time within which connections that end do so at the same moment, in ms: that for which a port
/// is watched, and as much again for the process that sees their ends one after the other.
const SAME_MOMENT_MS: u64 = 40;

/// Largest number of records of which an entry that has started is told.
const MAX_TOLD_SUSPECTS: usize = 48;

/// Kind of a broken run that ended for this cause; `None` when the replica has answered or
/// the cause is in this process.
fn broken_run_kind(cause: &str) -> Option<BrokenRunKind> {
    match cause {
        "closed" | "broken_off" | "io" | "reset" | "no_events" | "inside_event"
        | REPLICA_CRASHED | REPLICA_ENDED => Some(BrokenRunKind::ConnectionEnded),
        "silent" | "timed_out" | "timeout" | HOST_SILENT | CLIENT_LEFT => {
            Some(BrokenRunKind::Silent)
        }
        _ => None,
    }
}

impl GatewayState {
    /// Records a run that ended for `cause` without an answer, in case its replica has
    /// crashed; returns whether that is to be checked by a connection.
    pub(super) fn record_broken_run(
        &mut self,
        causes: &RunCauses,
        chosen: &ChosenReplica,
        cause: &str,
    ) -> bool {
        let Some(kind) = broken_run_kind(cause) else {
            return false;
        };
        let replica = self.replicas.get(chosen.key);
        let is_same =
            replica.record.id == chosen.id && replica.record.born_unix_ms == chosen.born_unix_ms;
        // The connections of a replica that leaves end without a crash; some that leave only
        // remove their record.
        let is_leaving = replica.is_removed
            || replica.is_leaving()
            || replica.record.state == ReplicaState::Leaving;
        if is_same && is_leaving {
            return false;
        }
        let now_ms = self.now_ms();
        let is_down = is_same && replica.recent_load(now_ms).is_some_and(|load| !load.is_up);
        let crash = chosen.process_crash();
        let is_told = self.suspects.has_crash(&crash);
        // Only what may be suspected is kept, as a prompt may have thousands of parts.
        let causes = causes.suspects_of(
            &crash,
            |part| !self.completed_parts.rules_out(part, now_ms),
            |part| self.suspects.crash_count(part, now_ms),
        );
        self.broken_runs.add(BrokenRun {
            causes,
            crash,
            address: chosen.address,
            kind,
            sent_ms: chosen.sent_ms,
            at_ms: now_ms,
        });
        // The sign may have come before the end of the run was noticed.
        if is_down {
            self.record_down_sign(chosen.address, CrashSign::ReportedDown);
        } else if is_told {
            self.record_told_crashes();
        } else {
            self.record_next_incarnation(chosen.address);
        }
        cause != CLIENT_LEFT && self.broken_runs.contains(chosen.address)
    }

    /// Whether the end of its connection is that of the answer to the attempt `attempt_id` from
    /// the replica, whose `port` was tried since. Logs the sign that speaks against it.
    pub(super) fn is_end_of_answer(
        &self,
        attempt_id: &str,
        chosen: &ChosenReplica,
        port: PortSign,
    ) -> bool {
        let replica = self.replicas.get(chosen.key);
        let is_same =
            replica.record.id == chosen.id && replica.record.born_unix_ms == chosen.born_unix_ms;
        let has_announced = replica.is_leaving() || replica.record.state == ReplicaState::Leaving;
        let now_ms = self.now_ms();
        let crash = chosen.process_crash();
        let since_ms = now_ms.saturating_sub(SAME_MOMENT_MS);
        let later = self.later_incarnation(chosen);
        let is_crash_known = self.suspects.has_crash(&crash);
        let signs = CloseSigns {
            port,
            is_ended: later.is_some() || is_crash_known,
            is_reported_down: is_same
                && replica.recent_load(now_ms).is_some_and(|load| !load.is_up),
            has_broken_neighbours: self.broken_runs.has_broken_connection(&crash, since_ms),
            is_leaving: is_same && has_announced,
        };
        let Some(doubt) = signs.doubt() else {
            return true;
        };
        let mut line = LogLine::new(Event::EndDoubted)
            .text("id", attempt_id)
            .text("replica", &chosen.id)
            .text("sign", doubt.label())
            .flag("crash_known", is_crash_known)
            .number("sent_ms_ago", now_ms.saturating_sub(chosen.sent_ms));
        if let Some(later) = later {
            line = line
                .text("later_replica", &later.id)
                .text("later_service", &later.service);
        }
        line.enqueue();
        false
    }

    /// Records a sign that no incarnation runs at `address`.
    pub(super) fn record_down_sign(&mut self, address: SocketAddr, sign: CrashSign) {
        let now_ms = self.now_ms();
        let crashed = self
            .broken_runs
            .take_crashed(sign, now_ms, |run| run.address == address);
        self.suspect_crashed_runs(crashed, sign);
    }

    /// Records the crashes of all earlier incarnations at the address of a listed replica.
    pub(super) fn record_next_incarnation(&mut self, address: SocketAddr) {
        let now_ms = self.now_ms();
        let catalog = self.catalog.as_deref();
        let records: Vec<&ReplicaRecord> = self.replicas.in_use(catalog).collect();
        // The record of an earlier incarnation may be listed beside that of a later one.
        let is_replaced = |run: &BrokenRun| {
            let is_known = |id: &str| records.iter().any(|record| record.id == id);
            let is_later = |record: &&&ReplicaRecord| match record.born_unix_ms {
                Some(born_unix_ms) if run.crash.incarnation > 0 => {
                    born_unix_ms > run.crash.incarnation
                }
                _ => !is_known(&run.crash.endpoint),
            };
            let mut at_address = records.iter().filter(|record| record.address == address);
            run.address == address && at_address.any(|record| is_later(&record))
        };
        let sign = CrashSign::NextIncarnation;
        let crashed = self.broken_runs.take_crashed(sign, now_ms, is_replaced);
        self.suspect_crashed_runs(crashed, sign);
    }

    /// Records that another replica than `id` answered at `address`.
    pub(super) fn record_other_replica(&mut self, address: SocketAddr, id: &str) {
        let now_ms = self.now_ms();
        let sign = CrashSign::NextIncarnation;
        let is_replaced = |run: &BrokenRun| run.address == address && run.crash.endpoint == id;
        let crashed = self.broken_runs.take_crashed(sign, now_ms, is_replaced);
        self.suspect_crashed_runs(crashed, sign);
    }

    /// Records the crashes that other entries know of for the own broken runs.
    pub(super) fn record_told_crashes(&mut self) {
        let now_ms = self.now_ms();
        let suspects = &self.suspects;
        let sign = CrashSign::ToldByPeer;
        let crashed = self
            .broken_runs
            .take_crashed(sign, now_ms, |run| suspects.has_crash(&run.crash));
        self.suspect_crashed_runs(crashed, sign);
    }

    /// Records a run that came to an end, which shows that the request was only beside the
    /// cause of earlier crashes; a failure shows nothing of the parts of its prompt.
    pub(super) fn record_completed_run(&mut self, causes: &RunCauses, is_success: bool) {
        let now_ms = self.now_ms();
        self.broken_runs.remove_request(causes.request);
        for request in std::iter::once(causes.request).chain(causes.identity) {
            self.completed_runs.record(request, now_ms);
        }
        let cleared = if is_success {
            self.completed_parts.record_parts(causes, now_ms);
            self.suspects.clear_run(causes, now_ms)
        } else {
            self.suspects.clear_run_request(causes, now_ms)
        };
        for cause in cleared {
            self.tell_suspect(cause);
            LogLine::new(Event::SuspectCleared)
                .text("fingerprint", cause.short_hex())
                .enqueue();
        }
    }

    /// Requests and parts of its prompt for which a run is refused.
    pub(super) fn refused_causes(&self, causes: &RunCauses) -> Vec<Digest> {
        let now_ms = self.now_ms();
        self.suspects
            .refused_causes_of(causes, &self.completed_parts, now_ms)
    }

    /// Whether this entry may try a refused request or part now: of all entries only one does,
    /// one run at a time.
    fn may_try(&self, causes: &RunCauses, cause: Digest) -> bool {
        let now_ms = self.now_ms();
        let entries = self.peers.live_entries(now_ms);
        let names = entries.map(|entry| entry.name.as_str());
        let of_request = self.completed_runs.last_end_ms(cause);
        let last_end_ms = of_request.or(self.completed_parts.last_end_ms(cause));
        let is_due = self.suspects.is_trial_due(cause, last_end_ms, now_ms)
            || (self.suspects).is_untried_service(causes, Some(cause), now_ms);
        is_due
            && !self.suspect_trials.contains(&cause)
            && rendezvous_rank(&self.settings.name, names, cause.seed()) == 0
    }

    /// Adds the runs that ended by crashes to the suspects.
    fn suspect_crashed_runs(&mut self, crashed: Vec<BrokenRun>, sign: CrashSign) {
        let now_ms = self.now_ms();
        for run in crashed {
            let completed_parts = &self.completed_parts;
            let run_ms = run.at_ms.saturating_sub(run.sent_ms);
            let suspected =
                self.suspects
                    .add_crashed_run(&run.causes, &run.crash, run_ms, run.at_ms, |part| {
                        !completed_parts.rules_out(part, run.at_ms)
                    });
            for cause in &suspected {
                let is_part = run.causes.parts().contains(cause);
                LogLine::new(Event::CrashSuspected)
                    .text("replica", &run.crash.endpoint)
                    .text("fingerprint", cause.short_hex())
                    .flag("part", is_part)
                    .text("sign", sign.label())
                    .number("crashes", self.suspects.crash_count(*cause, now_ms))
                    .number("broken_ms_ago", now_ms.saturating_sub(run.at_ms))
                    .number("run_ms", run_ms)
                    .enqueue();
            }
            for cause in suspected {
                self.tell_suspect(cause);
            }
        }
    }

    /// Records of another entry, in which the parts that this one can rule out are cleared.
    pub(super) fn rule_out_parts(&self, records: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let now_ms = self.now_ms();
        let is_ruled_out = |record: &SuspectRecord| {
            let crash_ms = now_ms.saturating_sub(record.age_ms);
            let part = record.fingerprint;
            record.part_of.is_some() && self.completed_parts.rules_out(part, crash_ms)
        };
        let records = records.iter().map(|record| SuspectRecord {
            cleared: record.cleared || is_ruled_out(record),
            ..record.clone()
        });
        records.collect()
    }

    /// Has the other entries told that the suspicions of a request have changed.
    fn tell_suspect(&mut self, fingerprint: Digest) {
        let now_ms = self.now_ms();
        self.changed_suspects.add(fingerprint, now_ms);
        self.suspects_notice.notify_waiters();
    }

    /// Has the other entries told of all requests near the limit or beyond it.
    pub(super) fn tell_all_suspects(&mut self) {
        let now_ms = self.now_ms();
        for record in self.suspects.most_suspected(MAX_TOLD_SUSPECTS, now_ms) {
            self.tell_suspect(record.fingerprint);
        }
    }
}

/// The one run by which refused causes are tried, until it is dropped.
#[derive(Debug)]
pub struct SuspectTrial<'a> {
    state: &'a RefCell<GatewayState>,
    causes: Vec<Digest>,
}

impl<'a> SuspectTrial<'a> {
    /// Begins the trial of all causes for which a run is refused; `None` if one of them may not
    /// be tried here and now.
    pub fn begin(
        state: &'a RefCell<GatewayState>,
        run: &RunCauses,
        causes: Vec<Digest>,
    ) -> Option<Self> {
        let may_try = |cause: &Digest| state.borrow().may_try(run, *cause);
        if !causes.iter().all(may_try) {
            return None;
        }
        state.borrow_mut().suspect_trials.extend(&causes);
        Some(Self { state, causes })
    }

    /// Logs that the run is sent to `replica`.
    pub fn log_send(&self, replica: &str) {
        for cause in &self.causes {
            LogLine::new(Event::SuspectTried)
                .text("fingerprint", cause.short_hex())
                .text("replica", replica)
                .enqueue();
        }
    }
}

impl Drop for SuspectTrial<'_> {
    fn drop(&mut self) {
        let trials = &mut self.state.borrow_mut().suspect_trials;
        trials.retain(|tried| !self.causes.contains(tried));
    }
}

/// Checks the address of a replica whose connection broke, unless that is under way.
pub async fn check_replica_once(state: Rc<RefCell<GatewayState>>, address: SocketAddr) {
    {
        let checked_addresses = &mut state.borrow_mut().checked_addresses;
        match checked_addresses.binary_search(&address) {
            Ok(_) => return,
            Err(at) => checked_addresses.insert(at, address),
        }
    }
    check_replica(&state, address).await;
    let checked_addresses = &mut state.borrow_mut().checked_addresses;
    checked_addresses.retain(|checked| *checked != address);
}

/// Checks by a connection whether a process still listens at the address of a replica whose
/// connection broke.
pub async fn check_replica(state: &RefCell<GatewayState>, address: SocketAddr) {
    if probe_port(address, exchange::CONNECT_TIMEOUT).await == PortSign::Refused {
        let mut state = state.borrow_mut();
        state.record_down_sign(address, CrashSign::ConnectionRefused);
    }
}
