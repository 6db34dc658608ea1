use rand::Rng;
use rand::seq::SliceRandom;

use crate::regions::HostLocation;

/// Orders `items` so that every failure domain occurs once before any occurs twice.
///
/// Items in `preferred_region` come first. The order is random otherwise, so that
/// clients spread over the hosts of a domain.
pub fn spread_over_domains<T>(
    mut items: Vec<T>,
    location: impl Fn(&T) -> HostLocation,
    preferred_region: Option<&str>,
    rng: &mut impl Rng,
) -> Vec<T> {
    items.shuffle(rng);
    let mut ranked: Vec<(bool, usize, HostLocation, T)> = Vec::with_capacity(items.len());
    for item in items {
        let location = location(&item);
        let is_elsewhere = preferred_region.is_some_and(|preferred| location.region != preferred);
        let earlier = ranked.iter().filter(|(_, _, other, _)| *other == location);
        let position = earlier.count();
        ranked.push((is_elsewhere, position, location, item));
    }
    // The sort is stable: items with the same position keep their random order.
    ranked.sort_by_key(|(is_elsewhere, position, _, _)| (*is_elsewhere, *position));
    ranked.into_iter().map(|(_, _, _, item)| item).collect()
}
