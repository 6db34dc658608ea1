use bytes::Bytes;

use crate::samples::sample_manifest;
use bergamotfork::weights::Digest;
use bergamotfork::weights::Fetching;
use bergamotfork::weights::HoldReason;
use bergamotfork::weights::InsertOutcome;
use bergamotfork::weights::LoadCheck;
use bergamotfork::weights::ManifestError;
use bergamotfork::weights::MemoryBudget;
use bergamotfork::weights::Verification;
use bergamotfork::weights::WeightsReplica;

/// Replica that has stored all chunks but `missing_chunk`, and its content.
fn fetching_replica(missing_chunk: Option<u32>) -> (WeightsReplica<Fetching>, Vec<u8>) {
    let (manifest, bytes) = sample_manifest(1000, 100);
    let announced = WeightsReplica::announced(manifest.digest());
    let mut replica = announced
        .start_fetching(manifest, &MemoryBudget::new(1000))
        .expect("the manifest is valid and the version fits");
    for (index, chunk) in (0..).zip(bytes.chunks(100)) {
        if Some(index) != missing_chunk {
            assert_eq!(
                replica.insert_chunk(index, Bytes::copy_from_slice(chunk)),
                InsertOutcome::Stored
            );
        }
    }
    (replica, bytes)
}

#[test]
fn verify_complete() {
    let (replica, bytes) = fetching_replica(None);
    let Verification::Verified(verified) = replica.verify() else {
        panic!("all chunks are correct");
    };
    assert_eq!(verified.chunks().collect::<Vec<_>>().concat(), bytes);
    let LoadCheck::Loaded(loaded) = verified.confirm_loaded(Digest::of_bytes(&bytes)) else {
        panic!("the engine loaded the complete content");
    };
    let serving = loaded.start_serving();
    assert!(serving.held_chunks().is_complete());
}

#[test]
fn verify_missing_chunk() {
    let (replica, _) = fetching_replica(Some(3));
    assert!(matches!(replica.verify(), Verification::Incomplete(_)));
}

#[test]
fn verify_content_digest_mismatch() {
    let (manifest, bytes) = sample_manifest(1000, 100);
    let mut manifest = (*manifest).clone();
    manifest.whole = Digest::of_bytes(b"another whole");
    let announced = WeightsReplica::announced(manifest.digest());
    let mut replica = announced
        .start_fetching(manifest.into(), &MemoryBudget::new(1000))
        .expect("the manifest is valid and the version fits");
    for (index, chunk) in (0..).zip(bytes.chunks(100)) {
        replica.insert_chunk(index, Bytes::copy_from_slice(chunk));
    }
    assert!(matches!(
        replica.verify(),
        Verification::Held(HoldReason::ContentMismatch { .. })
    ));
}

#[test]
fn confirm_loaded_digest_mismatch() {
    let (replica, _) = fetching_replica(None);
    let Verification::Verified(verified) = replica.verify() else {
        panic!("all chunks are correct");
    };
    assert!(matches!(
        verified.confirm_loaded(Digest::of_bytes(b"partial")),
        LoadCheck::Held(_, HoldReason::EngineMismatch { .. })
    ));
}

#[test]
fn start_fetching_wrong_manifest() {
    let (manifest, _) = sample_manifest(1000, 100);
    let announced = WeightsReplica::announced(Digest::of_bytes(b"another manifest"));
    let held = announced.start_fetching(manifest, &MemoryBudget::new(1000));
    assert!(matches!(
        held,
        Err(HoldReason::Manifest(ManifestError::WrongDigest { .. }))
    ));
}
