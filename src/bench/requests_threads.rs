use std::fs;
use std::sync::Arc;
use std::sync::Mutex;

/// Ids of the worker threads of the servers of one role.
pub(super) type ThreadIds = Arc<Mutex<Vec<String>>>;

/// Adds the calling thread to `threads`.
pub(super) fn record_thread(threads: &ThreadIds) {
    let mut threads = threads.lock().expect("no holder of the lock panics");
    threads.extend(current_thread_id());
}

/// Total CPU time in nanoseconds of threads of this process, given by id.
pub(super) fn cpu_ns(threads: &[String]) -> u64 {
    let of_thread = |thread: &String| {
        let text = fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    threads.iter().filter_map(of_thread).sum()
}

/// Id of the calling thread, as listed in `/proc/self/task`.
fn current_thread_id() -> Option<String> {
    let link = fs::read_link("/proc/thread-self").ok()?;
    Some(link.file_name()?.to_str()?.to_owned())
}
