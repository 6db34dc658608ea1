use crate::weights::mix64;

/// Place of `name` among `names` in an order that differs for each `seed`.
///
/// All that know the same names agree on the order, without a word.
pub fn rotation_slot<'a>(name: &str, names: impl Iterator<Item = &'a str>, seed: u64) -> usize {
    let own = rank_of(name, seed);
    names.filter(|other| rank_of(other, seed) > own).count()
}

/// Value beside the name that comes first for `seed`, each with a chance in
/// proportion to its weight.
///
/// A name that leaves or comes moves no choice but its own.
pub fn rotation_first_weighted<'a, T>(
    names: impl Iterator<Item = (&'a str, f64, T)>,
    seed: u64,
) -> Option<T> {
    names
        .map(|(name, weight, value)| {
            let (hash, _) = rank_of(name, seed);
            let chance = (hash as f64 + 0.5) / (u64::MAX as f64 + 1.0);
            // Of exponential times with these rates, the shortest wins in
            // proportion to its rate.
            (-chance.ln() / weight.max(f64::MIN_POSITIVE), name, value)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))
        .map(|(_, _, value)| value)
}

/// Values beside the names, in the order for `seed`.
pub fn rotation_order<'a, T>(names: impl Iterator<Item = (&'a str, T)>, seed: u64) -> Vec<T> {
    let mut entries: Vec<(&str, T)> = names.collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(rank_of(entry.0, seed)));
    entries.into_iter().map(|entry| entry.1).collect()
}

fn rank_of(name: &str, seed: u64) -> (u64, &str) {
    let hash = name
        .bytes()
        .fold(seed, |hash, byte| mix64(hash ^ u64::from(byte)));
    (hash, name)
}
