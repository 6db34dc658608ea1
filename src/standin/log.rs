use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_web::HttpResponse;
use actix_web::web;
use clap::Args;
use serde::Deserialize;
use serde::Serialize;

use crate::clients::LogReadResponse;
use crate::clients::RawLogRecord;
use crate::links::ServeOptions;
use crate::links::serve;
use crate::standin::HttpServerHandle;

/// Interval at which a waiting read checks for new records, in milliseconds.
const POLL_MS: u64 = 10;

/// Command-line options of the stand-in for the platform's log.
#[derive(Debug, Clone, Args)]
pub struct LogOptions {
    /// Address to listen on.
    #[arg(long, value_name = "IP:PORT")]
    pub listen: SocketAddr,
    /// Time after which a record is trimmed, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 86_400_000)]
    pub retention_ms: u64,
}

/// Faults to inject into the log; body of `POST /fault`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answers every call with status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming appends that are stored but answered with status 504.
    pub lose_replies: u32,
}

/// Calls the log has served since its start.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LogStats {
    /// Number of records appended.
    pub appends: u64,
    /// Number of reads received while the log was up.
    pub reads: u64,
}

/// One append-only stream of records.
#[derive(Debug, Default)]
struct Stream {
    name: String,
    /// Offset of the first record that is still kept.
    earliest: u64,
    /// Records with the time they were appended.
    records: VecDeque<(Instant, Vec<u8>)>,
}

impl Stream {
    /// Offset of the record that is appended next.
    fn next_offset(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    /// Removes records that are older than `retention`.
    fn trim(&mut self, retention: Duration) {
        while let Some((appended_at, _)) = self.records.front() {
            if appended_at.elapsed() < retention {
                break;
            }
            self.records.pop_front();
            self.earliest += 1;
        }
    }

    /// At most `max` records, starting at `from` or at the earliest kept record.
    fn read(&self, from: u64, max: usize) -> LogReadResponse {
        let first_offset = from.max(self.earliest);
        let skip_count = usize::try_from(first_offset - self.earliest).unwrap_or(usize::MAX);
        let records = self
            .records
            .iter()
            .skip(skip_count)
            .take(max)
            .zip(first_offset..)
            .map(|((_, body), offset)| RawLogRecord::new(offset, body))
            .collect();
        LogReadResponse {
            earliest: self.earliest,
            next: self.next_offset(),
            records,
        }
    }
}

/// All streams, the injected faults and the counters.
#[derive(Debug, Default)]
struct LogStore {
    /// Sorted by name.
    streams: Vec<Stream>,
    faults: LogFaults,
    stats: LogStats,
}

impl LogStore {
    /// Returns the stream called `name`; creates it if it does not exist.
    fn stream(&mut self, name: &str) -> &mut Stream {
        let found = self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            let stream = Stream {
                name: name.to_owned(),
                ..Stream::default()
            };
            self.streams.insert(index, stream);
            index
        });
        &mut self.streams[index]
    }
}

/// State shared by the request handlers.
#[derive(Debug)]
struct LogState {
    retention: Duration,
    store: Mutex<LogStore>,
}

impl LogState {
    fn store(&self) -> MutexGuard<'_, LogStore> {
        self.store.lock().expect("no holder of the store panics")
    }

    /// Waits for the injected delay and returns whether the log is down.
    async fn delay_and_check_down(&self) -> bool {
        let faults = self.store().faults.clone();
        sleep(Duration::from_millis(faults.delay_ms)).await;
        faults.down
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

/// Starts the stand-in for the log.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn start(options: LogOptions) -> io::Result<HttpServerHandle> {
    let state = web::Data::from(Arc::new(LogState {
        retention: Duration::from_millis(options.retention_ms),
        store: Mutex::default(),
    }));
    serve(options.listen, &ServeOptions::default(), move |app| {
        app.app_data(state.clone())
            .app_data(web::PayloadConfig::new(8 << 20))
            .route(
                "/v1/streams/{stream}/records",
                web::post().to(append_record),
            )
            .route("/v1/streams/{stream}/records", web::get().to(read_records))
            .route("/fault", web::post().to(set_faults))
            .route("/stats", web::get().to(show_stats));
    })
}

fn unavailable_response() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the log is down")
}

async fn append_record(
    state: web::Data<LogState>,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    if state.delay_and_check_down().await {
        return unavailable_response();
    }
    let mut store = state.store();
    let stream = store.stream(&name);
    let offset = stream.next_offset();
    stream.records.push_back((Instant::now(), body.to_vec()));
    store.stats.appends += 1;
    if store.faults.lose_replies > 0 {
        store.faults.lose_replies -= 1;
        return HttpResponse::GatewayTimeout().body("the reply was lost");
    }
    HttpResponse::Ok().json(serde_json::json!({ "offset": offset }))
}

async fn read_records(
    state: web::Data<LogState>,
    name: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    if state.delay_and_check_down().await {
        return unavailable_response();
    }
    state.store().stats.reads += 1;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut store = state.store();
            if store.faults.down {
                return unavailable_response();
            }
            let stream = store.stream(&name);
            stream.trim(state.retention);
            let deadline_passed = Instant::now() >= deadline;
            if stream.next_offset() > query.from || query.from < stream.earliest || deadline_passed
            {
                return HttpResponse::Ok().json(stream.read(query.from, query.max));
            }
        }
        sleep(Duration::from_millis(POLL_MS)).await;
    }
}

async fn set_faults(state: web::Data<LogState>, faults: web::Json<LogFaults>) -> HttpResponse {
    state.store().faults = faults.into_inner();
    HttpResponse::Ok().json("ok")
}

async fn show_stats(state: web::Data<LogState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.store().stats)
}
