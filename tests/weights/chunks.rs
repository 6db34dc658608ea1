use arbtest::arbtest;
use bytes::Bytes;

use crate::samples::sample_manifest;
use bergamotfork::weights::ChunkBitmap;
use bergamotfork::weights::ChunkStore;
use bergamotfork::weights::Digest;
use bergamotfork::weights::HoldReason;
use bergamotfork::weights::InsertOutcome;
use bergamotfork::weights::Manifest;
use bergamotfork::weights::ManifestError;
use bergamotfork::weights::MemoryBudget;
use bergamotfork::weights::RejectReason;

#[test]
fn digest_any_field_changed() {
    let (manifest, _) = sample_manifest(1000, 100);
    let mut changed = vec![Manifest::clone(&manifest); 7];
    changed[0].model = "chat2".to_owned();
    changed[1].version = "v2".to_owned();
    changed[2].base = Some(Digest::of_bytes(b"base"));
    changed[3].size_bytes = 999;
    changed[4].chunk_bytes = 101;
    changed[5].chunks.swap(0, 1);
    changed[6].whole = Digest::of_bytes(b"whole");
    for other in &changed {
        assert_ne!(other.digest(), manifest.digest(), "{other:?}");
    }
}

#[test]
fn validate_wrong_chunk_count() {
    let (manifest, _) = sample_manifest(1000, 100);
    let mut manifest = Manifest::clone(&manifest);
    assert_eq!(manifest.validate(), Ok(()));
    manifest.chunks.pop();
    assert_eq!(
        manifest.validate(),
        Err(ManifestError::ChunkCount {
            expected: 10,
            found: 9
        })
    );
}

#[test]
fn manifest_json_and_messagepack_round_trip() {
    let (manifest, _) = sample_manifest(1000, 100);
    let json = serde_json::to_vec(&*manifest).expect("a manifest encodes");
    let from_json: Manifest = serde_json::from_slice(&json).expect("JSON decodes");
    let rmp = rmp_serde::to_vec_named(&*manifest).expect("a manifest encodes");
    let from_rmp: Manifest = rmp_serde::from_slice(&rmp).expect("MessagePack decodes");
    assert_eq!(from_json.digest(), manifest.digest());
    assert_eq!(from_rmp.digest(), manifest.digest());
}

#[test]
fn chunk_bitmap_round_trip_any_map() {
    arbtest(|u| {
        let len: u32 = u.int_in_range(0..=300)?;
        let mut map = ChunkBitmap::empty(len);
        for _ in 0..u.int_in_range(0..=len * 2)? {
            map.insert(u.int_in_range(0..=len)?);
        }
        assert_eq!(ChunkBitmap::decode(&map.encode()), Some(map.clone()));
        let held = (0..len).filter(|index| map.contains(*index)).count();
        assert_eq!(held, map.held_count() as usize);
        Ok(())
    });
}

/// Guards against a message of five bytes that makes its receiver list billions of chunks,
/// for which it stood still.
#[test]
fn chunk_bitmap_decode_too_many_chunks() {
    let decode_full = |count: u32| ChunkBitmap::decode(&[&count.to_le_bytes()[..], &[1]].concat());
    assert!(decode_full(65_536).is_some());
    for count in [65_537, u32::MAX] {
        assert!(ChunkBitmap::decode(&count.to_le_bytes()).is_none());
        assert!(decode_full(count).is_none());
    }
}

#[test]
fn chunk_bitmap_decode_any_bytes() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Some(map) = ChunkBitmap::decode(&bytes[..bytes.len().min(64)]) {
            assert!(map.held_count() <= map.chunk_count());
        }
        Ok(())
    });
}

#[test]
fn insert_correct_and_corrupt_chunks() {
    let (manifest, bytes) = sample_manifest(1030, 100);
    let budget = MemoryBudget::new(2000);
    arbtest(|u| {
        let mut store =
            ChunkStore::new(manifest.clone(), &budget).expect("the version fits into the budget");
        for _ in 0..u.int_in_range(0..=30)? {
            let index: u32 = u.int_in_range(0..=11)?;
            let start = (index as usize * 100).min(bytes.len());
            let mut chunk = bytes[start..(start + 100).min(bytes.len())].to_vec();
            let corrupt = u.arbitrary()? && !chunk.is_empty();
            if corrupt {
                let at = u.choose_index(chunk.len())?;
                chunk[at] ^= 1;
            }
            let known = store.held_chunks().contains(index);
            let expected = match (index, known, corrupt) {
                (11, ..) => InsertOutcome::Rejected(RejectReason::UnknownIndex),
                (_, true, _) => InsertOutcome::Duplicate,
                (_, _, true) => InsertOutcome::Rejected(RejectReason::WrongDigest),
                _ => InsertOutcome::Stored,
            };
            assert_eq!(store.insert(index, Bytes::from(chunk)), expected);
        }
        for index in 0..11 {
            let held = store.chunk(index).map(|chunk| Digest::of_bytes(&chunk));
            let correct = store
                .held_chunks()
                .contains(index)
                .then(|| manifest.chunks[index as usize]);
            assert_eq!(held, correct);
        }
        Ok(())
    });
}

#[test]
fn insert_truncated_chunk() {
    let (manifest, bytes) = sample_manifest(1000, 100);
    let mut store = ChunkStore::new(manifest, &MemoryBudget::new(1000))
        .expect("the version fits into the budget");
    let truncated = Bytes::copy_from_slice(&bytes[..50]);
    assert_eq!(
        store.insert(0, truncated),
        InsertOutcome::Rejected(RejectReason::WrongLength)
    );
}

#[test]
fn chunk_store_new_over_budget() {
    let (manifest, _) = sample_manifest(1000, 100);
    let budget = MemoryBudget::new(1500);
    let first = ChunkStore::new(manifest.clone(), &budget).expect("the first fits");
    let held = ChunkStore::new(manifest.clone(), &budget).expect_err("the second does not fit");
    assert_eq!(
        held,
        HoldReason::OverBudget {
            size_bytes: 1000,
            used_bytes: 1000,
            limit_bytes: 1500
        }
    );
    drop(first);
    assert!(ChunkStore::new(manifest, &budget).is_ok());
}
