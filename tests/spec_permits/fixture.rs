use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::Nonce;
use bergamotfork::calls::Permit;
use bergamotfork::calls::PermitKey;
use bergamotfork::calls::PermitLimits;
use bergamotfork::calls::PermitTable;
use bergamotfork::calls::PermitTarget;
use bergamotfork::calls::StoredAnswer;

/// Length of an epoch of the permit table, in milliseconds.
pub const EPOCH_MS: u64 = 1;
/// Incarnation of the endpoint that the permit names.
pub const FIRST_INCARNATION: u64 = 1;
/// Nonce of the only permit.
pub const NONCE: u128 = 7;

/// The only permit, as the first entry issued it.
pub fn permit() -> Permit {
    let target = PermitTarget {
        endpoint: "a".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: FIRST_INCARNATION,
        epoch: 1,
    };
    Permit::with_nonce(&PermitKey::derive("key"), target, "b", "s", NONCE.into())
}

/// Permit table that remembers the current epoch only.
pub fn table(incarnation: u64, now_ms: u64) -> PermitTable {
    let limits = PermitLimits {
        epoch_ms: EPOCH_MS,
        retained_epochs: 1,
        max_epoch_permits: 4,
        max_epoch_bytes: 64,
        max_answer_bytes: 64,
    };
    PermitTable::new(incarnation, limits, now_ms)
}

pub fn answer() -> CallOutcome {
    CallOutcome::Answer(StoredAnswer {
        status: 200,
        body: Vec::new(),
    })
}

pub fn nonce() -> Nonce {
    NONCE.into()
}
