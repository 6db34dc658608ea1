use crate::fleet::Declaration;

/// Time that gathering a whole version takes, in ms: its size over the link of
/// a host, with some reserve.
const GATHER_MS: i64 = 2_500;

/// Time without a new piece after which gathering is taken for stuck, in ms.
const STUCK_MS: i64 = 900;

/// Time before the bound on new weights at which entries stop sending to
/// engines that lack them, in ms.
const APPLY_MARGIN_MS: i64 = 1_300;

/// Time before that at which the last engine gets its order, in ms.
const ORDER_MARGIN_MS: i64 = 300;

/// Age of a declaration at which an empty engine starts with it, in ms: its
/// pieces lie on the entries by then.
const SETTLED_MS: i64 = 1_000;

/// Where gathering a version stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DownloadProgress {
    /// Version.
    pub version: u64,
    /// Steady time at which it began.
    pub started_ms: i64,
    /// Steady time of the last new piece.
    pub last_progress_ms: i64,
    /// Whether every piece is staged.
    pub is_complete: bool,
}

/// All that the next version to load depends on.
#[derive(Debug, Clone, Copy)]
pub struct NextLoadInput<'a> {
    /// Steady time.
    pub now_ms: i64,
    /// Version that the engine holds, or was ordered to load; 0 for none.
    pub engine_version: u64,
    /// Declarations, by rising version.
    pub declared: &'a [Declaration],
    /// What was gathered of each version.
    pub downloads: &'a [DownloadProgress],
    /// Time within which new weights must answer every request.
    pub apply_ms: i64,
    /// Place of this engine among those of its service, from 0 to 1.
    pub load_slot: f64,
}

/// What to load next, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextLoad {
    /// Version.
    pub version: u64,
    /// Steady time before which it is not to be loaded.
    pub not_before_ms: i64,
}

/// Chooses the version to load next; None when nothing newer is declared.
///
/// Loading takes an engine out of service for a while. So a version is passed
/// over for a newer one that can be gathered before the first is due, unless
/// the newer one can't be had. Engines that serve take turns from the time at
/// which all have the pieces until the version is due.
pub fn next_load(input: &NextLoadInput<'_>) -> Option<NextLoad> {
    let open = input
        .declared
        .partition_point(|d| d.version <= input.engine_version);
    let (first, newest) = match &input.declared[open..] {
        [] => return None,
        [only] => (only, only),
        [first, .., newest] => (first, newest),
    };
    let due_ms = first.learned_ms + input.apply_ms - APPLY_MARGIN_MS;
    let chosen = if first.version == newest.version {
        first
    } else {
        choose(input, first, newest, due_ms)
    };
    // Engines that passed an earlier version over load until that one is due.
    let gathered_ms = chosen.learned_ms + GATHER_MS;
    let first_ms = match input.declared[..open].last() {
        Some(earlier) => gathered_ms.max(earlier.learned_ms + input.apply_ms - APPLY_MARGIN_MS),
        None => gathered_ms,
    };
    let last_ms = due_ms - ORDER_MARGIN_MS;
    let not_before_ms = if input.engine_version == 0 || last_ms <= first_ms {
        input.now_ms
    } else {
        first_ms + ((last_ms - first_ms) as f64 * input.load_slot) as i64
    };
    Some(NextLoad {
        version: chosen.version,
        not_before_ms,
    })
}

fn choose<'a>(
    input: &NextLoadInput<'_>,
    first: &'a Declaration,
    newest: &'a Declaration,
    due_ms: i64,
) -> &'a Declaration {
    let of = |version| input.downloads.iter().find(|g| g.version == version);
    let is_stuck = |version| {
        of(version).is_some_and(|g| !g.is_complete && input.now_ms >= g.last_progress_ms + STUCK_MS)
    };
    if input.engine_version == 0 {
        let is_settled = input.now_ms >= newest.learned_ms + SETTLED_MS;
        return if is_settled && !is_stuck(newest.version) {
            newest
        } else {
            first
        };
    }
    let ready_ms = match of(newest.version) {
        Some(g) if g.is_complete => input.now_ms,
        Some(g) => (g.started_ms + GATHER_MS).max(input.now_ms),
        None => input.now_ms + GATHER_MS,
    };
    if is_stuck(newest.version) {
        return first;
    }
    if is_stuck(first.version) || ready_ms <= due_ms || input.now_ms >= due_ms {
        return newest;
    }
    first
}
