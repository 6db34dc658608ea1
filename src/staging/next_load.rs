use crate::fleet::Declaration;

/// Estimated time to download a complete version, in ms: its size divided by the
/// bandwidth of a host's link, with some reserve.
const DOWNLOAD_MS: i64 = 2_500;

/// Time without a new piece after which a download counts as stalled, in ms.
const STALL_MS: i64 = 900;

/// Time before the deadline of a version, `apply_ms` after its declaration, from which
/// entries send no requests to engines that have not loaded it, in ms. The version is
/// due at this time.
const APPLY_MARGIN_MS: i64 = 1_300;

/// Time before a version is due at which the last engine gets its load order, in ms.
const ORDER_MARGIN_MS: i64 = 300;

/// Pause before a download that stalled is tried again, in ms, while a newer version makes no
/// progress either.
const RETRY_PAUSE_MS: i64 = 300;

/// Pause before it is tried again while a newer version makes progress, in ms.
const BUSY_RETRY_PAUSE_MS: i64 = 900;

/// Pause before a download that is not tried again for now, in ms.
const NO_RETRY_MS: i64 = i64::MAX - STALL_MS;

/// Time by which a version has to be ready before a newer one to be loaded after it was due,
/// in ms. A load takes an engine out of service for about half of that.
const MIN_LEAD_MS: i64 = 1_000;

/// Share of the pieces from which on a download is finished although a newer version is
/// declared: the rest takes less time than the newer version has more.
pub(super) const MIN_SHARE_TO_FINISH: f64 = 0.5;

/// Minimum age of the newest declaration for an empty engine to start with it,
/// in ms: by then the entries have cached its pieces.
const EMPTY_ENGINE_MIN_AGE_MS: i64 = 1_000;

/// Progress of the download of one version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DownloadProgress {
    /// Version of the weights.
    pub version: u64,
    /// Monotonic time at which the download started, in ms.
    pub started_ms: i64,
    /// Monotonic time of the last new piece, or at which its fetches were resumed, in ms.
    pub last_progress_ms: i64,
    /// Monotonic time at which its fetches were started or last resumed, in ms.
    pub fetching_since_ms: i64,
    /// Share of the pieces that is held, in the staging area or in memory, from 0 to 1.
    pub held_share: f64,
    /// Whether every piece is held.
    pub is_complete: bool,
}

/// Input of [`next_load`].
#[derive(Debug, Clone, Copy)]
pub struct NextLoadInput<'a> {
    /// Current monotonic time, in ms.
    pub now_ms: i64,
    /// Version that the engine has loaded or was ordered to load; 0 for none.
    pub engine_version: u64,
    /// Declared versions of the model, in ascending order.
    pub declared: &'a [Declaration],
    /// Progress of the downloads of this model, one for each version.
    pub downloads: &'a [DownloadProgress],
    /// Time after its declaration within which a version must serve every request,
    /// in ms.
    pub apply_ms: i64,
    /// Load slot of this engine: its position among the engines of its service,
    /// from 0 to 1.
    pub load_slot: f64,
}

/// The version to load next, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextLoad {
    /// Version of the weights to load.
    pub version: u64,
    /// Monotonic time before which the load must not be ordered, in ms.
    pub not_before_ms: i64,
}

/// Chooses the version to load next; `None` when no newer version is declared.
///
/// Loading takes an engine out of service for a while. A version is therefore
/// skipped in favour of a newer one that can be downloaded before the first is due,
/// unless the download of the newer one has stalled. The load slots of the engines
/// spread the loads over the time from when all hosts have the pieces until the
/// version is due.
pub fn next_load(input: &NextLoadInput<'_>) -> Option<NextLoad> {
    let loaded_count = input
        .declared
        .partition_point(|d| d.version <= input.engine_version);
    let (first, newest) = match &input.declared[loaded_count..] {
        [] => return None,
        [only] => (only, only),
        [first, .., newest] => (first, newest),
    };
    let due_ms = first.learned_ms + input.apply_ms - APPLY_MARGIN_MS;
    let chosen = if first.version == newest.version {
        first
    } else {
        choose_version(input, first, newest, due_ms)
    };
    // Until the previous version is due, the engines that skipped it load this one.
    // An engine that loaded the previous version waits until then.
    let downloaded_ms = chosen.learned_ms + DOWNLOAD_MS;
    let first_ms = match input.declared[..loaded_count].last() {
        Some(earlier) => downloaded_ms.max(earlier.learned_ms + input.apply_ms - APPLY_MARGIN_MS),
        None => downloaded_ms,
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

/// Returns the version whose download is to be finished before that of a newer one starts:
/// it is half done, and makes progress or is tried again.
///
/// The engine need not load it. But if the origin fails before the newer version is there,
/// it is the only one that can be loaded in time. Where it has stalled, as the origin is
/// unavailable, it is tried again at intervals: once the origin is back, its last pieces
/// arrive sooner than all those of the newer version.
pub fn version_to_finish(
    downloads: &[DownloadProgress],
    engine_version: u64,
    now_ms: i64,
) -> Option<u64> {
    let is_tried = |download: &DownloadProgress| {
        let idle_ms = now_ms - download.last_progress_ms;
        idle_ms < STALL_MS || idle_ms >= STALL_MS + retry_pause_ms(downloads, download, now_ms)
    };
    let in_progress = downloads.iter().find(|download| {
        download.version > engine_version
            && !download.is_complete
            && download.held_share >= MIN_SHARE_TO_FINISH
            && is_tried(download)
    });
    in_progress.map(|download| download.version)
}

/// Pause before a stalled download is tried again, in ms; without end where a newer version
/// is about to be complete, and until one has been fetched for [`RETRY_PAUSE_MS`] since this
/// one was.
///
/// The pause alone would not do: it may have passed before the newer version is declared, or
/// while staged pieces are compared with its manifest.
fn retry_pause_ms(downloads: &[DownloadProgress], stalled: &DownloadProgress, now_ms: i64) -> i64 {
    let newer = || {
        downloads
            .iter()
            .filter(|download| download.version > stalled.version)
    };
    let Some(newer_since_ms) = newer().map(|download| download.fetching_since_ms).max() else {
        return NO_RETRY_MS;
    };
    if newer_since_ms < stalled.fetching_since_ms || now_ms - newer_since_ms < RETRY_PAUSE_MS {
        return NO_RETRY_MS;
    }
    let mut pause_ms = RETRY_PAUSE_MS;
    for download in newer() {
        if download.is_complete || download.held_share >= stalled.held_share {
            return NO_RETRY_MS;
        }
        if now_ms - download.last_progress_ms < RETRY_PAUSE_MS && download.held_share > 0.0 {
            pause_ms = BUSY_RETRY_PAUSE_MS;
        }
    }
    pause_ms
}

/// Time until the rest of a download has arrived, in ms.
fn rest_ms(download: &DownloadProgress) -> i64 {
    (DOWNLOAD_MS as f64 * (1.0 - download.held_share)) as i64
}

/// Chooses between the first version that the engine lacks and the newest one.
fn choose_version<'a>(
    input: &NextLoadInput<'_>,
    first: &'a Declaration,
    newest: &'a Declaration,
    due_ms: i64,
) -> &'a Declaration {
    let download_of = |version| {
        input
            .downloads
            .iter()
            .find(|download| download.version == version)
    };
    let is_stalled = |version| {
        download_of(version).is_some_and(|download| {
            !download.is_complete && input.now_ms >= download.last_progress_ms + STALL_MS
        })
    };
    if input.engine_version == 0 && !is_stalled(newest.version) {
        let is_cached = input.now_ms >= newest.learned_ms + EMPTY_ENGINE_MIN_AGE_MS;
        return if is_cached { newest } else { first };
    }
    let newest_ready_ms = match download_of(newest.version) {
        Some(download) if download.is_complete => input.now_ms,
        Some(download) => input.now_ms + rest_ms(download),
        None => input.now_ms + DOWNLOAD_MS,
    };
    // An engine that gets an overdue version serves until the newer one is there.
    let first_ready_ms =
        download_of(first.version).map(|download| input.now_ms + rest_ms(download));
    let is_first_sooner =
        first_ready_ms.is_some_and(|ready_ms| ready_ms + MIN_LEAD_MS <= newest_ready_ms);
    match (is_stalled(first.version), is_stalled(newest.version)) {
        (true, false) => return newest,
        (false, true) => return first,
        // Neither can be had from where it was asked for last. The one that was asked for
        // longer ago may be there now: other hosts may hold an earlier version that the
        // origin no longer gives, and the origin a later one.
        (true, true) => {
            let last_tried_ms = |version| download_of(version).map(|d| d.last_progress_ms);
            let is_first_next = last_tried_ms(first.version) < last_tried_ms(newest.version);
            return if is_first_next { first } else { newest };
        }
        (false, false) => {}
    }
    if newest_ready_ms <= due_ms || (input.now_ms >= due_ms && !is_first_sooner) {
        return newest;
    }
    first
}
