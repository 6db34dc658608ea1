use std::net::SocketAddr;

use crate::calls::CrashId;
use crate::calls::RunCauses;
use crate::weights::Digest;

/// Longest time between the end of a run and a sign that its replica is down, in ms: several
/// failed connections or reports.
const DOWN_SIGN_WINDOW_MS: u64 = 2_500;

/// Longest time between the end of a run and the registration of the next incarnation of its
/// replica, in ms: a restart and the registration.
const RESTART_SIGN_WINDOW_MS: u64 = 15_000;

/// The same for a run whose replica was silent, or whose client left, in ms: the replica may
/// have gone on for a while.
const SILENT_RESTART_SIGN_WINDOW_MS: u64 = 5_000;

/// Largest number of broken runs that are kept.
const MAX_RUNS: usize = 512;

/// How the run of a request ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRunKind {
    /// Its connection ended.
    ConnectionEnded,
    /// Nothing more arrived in time.
    Silent,
}

/// Sign that an incarnation of a replica has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// A connection to its address was refused.
    ConnectionRefused,
    /// Its host reports that it does not answer.
    ReportedDown,
    /// A later incarnation is registered at its address.
    NextIncarnation,
    /// Another process knows of the crash.
    ToldByPeer,
}

impl CrashSign {
    /// Name of the sign in logs; part of the interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "refused",
            Self::ReportedDown => "reported_down",
            Self::NextIncarnation => "next_incarnation",
            Self::ToldByPeer => "told",
        }
    }

    /// Longest time after the end of a run for which the sign says that the crash ended it, in
    /// ms.
    fn window_ms(self, kind: BrokenRunKind) -> u64 {
        match (self, kind) {
            (Self::NextIncarnation, BrokenRunKind::ConnectionEnded) => RESTART_SIGN_WINDOW_MS,
            (Self::NextIncarnation, BrokenRunKind::Silent) => SILENT_RESTART_SIGN_WINDOW_MS,
            _ => DOWN_SIGN_WINDOW_MS,
        }
    }
}

/// A run of a request that ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// What may have caused the crash, if it was one.
    pub causes: RunCauses,
    /// The crash that ended it, if it was one.
    pub crash: CrashId,
    /// Address of the replica.
    pub address: SocketAddr,
    /// How it ended.
    pub kind: BrokenRunKind,
    /// Time at which it was sent, in ms.
    pub sent_ms: u64,
    /// Time at which it ended, in ms.
    pub at_ms: u64,
}

/// Runs that ended without an answer, kept until a sign shows that their replicas crashed.
///
/// An end alone is no crash: a link may have been reset or an answer lost.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    // Oldest first.
    runs: Vec<BrokenRun>,
}

impl BrokenRuns {
    /// Adds a run; the oldest is dropped when there are too many.
    pub fn add(&mut self, run: BrokenRun) {
        self.runs
            .retain(|known| run.at_ms.saturating_sub(known.at_ms) < RESTART_SIGN_WINDOW_MS);
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(run);
    }

    /// Removes and returns the runs that `is_ended` says the sign is about, and that ended
    /// shortly enough before it.
    pub fn take_crashed(
        &mut self,
        sign: CrashSign,
        now_ms: u64,
        is_ended: impl Fn(&BrokenRun) -> bool,
    ) -> Vec<BrokenRun> {
        let is_crashed = |run: &mut BrokenRun| {
            now_ms.saturating_sub(run.at_ms) < sign.window_ms(run.kind) && is_ended(run)
        };
        self.runs.extract_if(.., is_crashed).collect()
    }

    /// Whether there are runs that ended at this address.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.runs.iter().any(|run| run.address == address)
    }

    /// Whether a connection of the incarnation that `crash` ends has broken off at `since_ms` or
    /// later.
    pub fn has_broken_connection(&self, crash: &CrashId, since_ms: u64) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|run| {
            run.kind == BrokenRunKind::ConnectionEnded
                && run.at_ms >= since_ms
                && run.crash == *crash
        })
    }

    /// Removes the runs of a request that has since run to an end elsewhere.
    pub fn remove_request(&mut self, fingerprint: Digest) {
        self.runs.retain(|run| run.causes.request != fingerprint);
    }
}
