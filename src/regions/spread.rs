use rand::Rng;
use rand::seq::SliceRandom;

use crate::regions::HostLocation;

/// Orders `items` so that neighbours stand in different failure domains.
///
/// Items in region `near` come first; the order inside a domain is random, so
/// that callers spread over its hosts.
pub fn spread_over_domains<T>(
    mut items: Vec<T>,
    place: impl Fn(&T) -> HostLocation,
    near: Option<&str>,
    rng: &mut impl Rng,
) -> Vec<T> {
    items.shuffle(rng);
    let mut ranked: Vec<(bool, usize, HostLocation, T)> = Vec::with_capacity(items.len());
    for item in items {
        let place = place(&item);
        let is_far = near.is_some_and(|near| place.region != near);
        let before = ranked.iter().filter(|(_, _, other, _)| *other == place);
        let turn = before.count();
        ranked.push((is_far, turn, place, item));
    }
    // The sort is stable: inside one turn the domains keep their random order.
    ranked.sort_by_key(|(is_far, turn, _, _)| (*is_far, *turn));
    ranked.into_iter().map(|(_, _, _, item)| item).collect()
}
