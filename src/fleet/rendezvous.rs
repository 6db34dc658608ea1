use crate::weights::mix64;

/// Rendezvous rank of `name` among `names` for `seed`; 0 is the first.
///
/// Processes that know the same names compute the same order without communication.
pub fn rendezvous_rank<'a>(name: &str, names: impl Iterator<Item = &'a str>, seed: u64) -> usize {
    let own_hash = rendezvous_hash(name, seed);
    names
        .filter(|other| rendezvous_hash(other, seed) > own_hash)
        .count()
}

/// Value of the name that weighted rendezvous hashing chooses for `seed`: over many
/// seeds, each name is chosen in proportion to its weight.
///
/// When a name is added or removed, only the choices of that name change.
pub fn rendezvous_choose_weighted<'a, T>(
    names: impl Iterator<Item = (&'a str, f64, T)>,
    seed: u64,
) -> Option<T> {
    names
        .map(|(name, weight, value)| {
            let (hash, _) = rendezvous_hash(name, seed);
            let uniform = (hash as f64 + 0.5) / (u64::MAX as f64 + 1.0);
            // The smallest of exponentially distributed values is that of a name
            // with a probability in proportion to its rate, here its weight.
            (-uniform.ln() / weight.max(f64::MIN_POSITIVE), name, value)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))
        .map(|(_, _, value)| value)
}

/// Values of the names, by rendezvous rank for `seed`.
pub fn rendezvous_order<'a, T>(names: impl Iterator<Item = (&'a str, T)>, seed: u64) -> Vec<T> {
    let mut named_values: Vec<(&str, T)> = names.collect();
    named_values.sort_by_key(|named| std::cmp::Reverse(rendezvous_hash(named.0, seed)));
    named_values.into_iter().map(|named| named.1).collect()
}

/// Hash of `seed` and `name`, with the name to break ties.
fn rendezvous_hash(name: &str, seed: u64) -> (u64, &str) {
    let hash = name
        .bytes()
        .fold(seed, |hash, byte| mix64(hash ^ u64::from(byte)));
    (hash, name)
}
