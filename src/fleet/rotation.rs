use crate::weights::mix;

/// Place of `name` among `names` in an order that differs for each `seed`.
///
/// All that know the same names agree on the order, without a word.
pub fn rotation_slot<'a>(name: &str, names: impl Iterator<Item = &'a str>, seed: u64) -> usize {
    let own = rank_of(name, seed);
    names.filter(|other| rank_of(other, seed) > own).count()
}

/// Value beside the name that comes first in the order for `seed`.
pub fn rotation_first<'a, T>(names: impl Iterator<Item = (&'a str, T)>, seed: u64) -> Option<T> {
    names
        .max_by_key(|entry| rank_of(entry.0, seed))
        .map(|entry| entry.1)
}

fn rank_of(name: &str, seed: u64) -> (u64, &str) {
    let hash = name
        .bytes()
        .fold(seed, |hash, byte| mix(hash ^ u64::from(byte)));
    (hash, name)
}
