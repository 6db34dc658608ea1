//! Choice among engines by load reports that are older than the time between two requests.
//!
//! Load pattern: dozens of entries see the same reports. If each chose the engine with the
//! least load, they would all choose the same one until its next report. Each instead sends
//! to an engine with a chance that is in proportion to what it lacks to the common level
//! that the engines reach with the requests that are expected meanwhile.

/// Index of an engine, chosen by its `levels` of load and by `unit_random`, from 0 to 1, if
/// all entries together send `expected` requests before the next reports; None without
/// engines. With nothing expected it is the one with the lowest level.
pub fn choose_by_level(levels: &[f64], expected: f64, unit_random: f64) -> Option<usize> {
    let lowest = (0..levels.len()).min_by(|a, b| levels[*a].total_cmp(&levels[*b]))?;
    let common = common_level(levels, expected);
    let room = |level: f64| (common - level).max(0.0);
    let total: f64 = levels.iter().map(|level| room(*level)).sum();
    let mut left = unit_random * total;
    for (at, level) in levels.iter().enumerate() {
        left -= room(*level);
        if left < 0.0 {
            return Some(at);
        }
    }
    Some(lowest)
}

/// Level up to which `expected` requests fill the engines, the lowest first.
fn common_level(levels: &[f64], expected: f64) -> f64 {
    let mut ascending = levels.to_vec();
    ascending.sort_unstable_by(f64::total_cmp);
    let mut filled = 0.0;
    for (count, level) in ascending.iter().enumerate() {
        let common = (filled + expected) / count.max(1) as f64;
        if count > 0 && common <= *level {
            return common;
        }
        filled += level;
    }
    (filled + expected) / levels.len().max(1) as f64
}
