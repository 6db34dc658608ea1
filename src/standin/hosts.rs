use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::web;
use clap::Args;
use serde::Deserialize;
use serde::Serialize;

use crate::clients::HostList;
use crate::hosts::HostRecord;
use crate::links::ServeOptions;
use crate::links::serve;
use crate::standin::HttpServerHandle;

/// Command-line options of the stand-in for the platform's list of hosts.
#[derive(Debug, Clone, Args)]
pub struct HostsOptions {
    /// Address to listen on.
    #[arg(long, value_name = "IP:PORT")]
    pub listen: SocketAddr,
    /// Delay until a change appears in the list, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub lag_ms: u64,
}

/// Faults to inject into the host list; body of `POST /fault`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// Answers every read with status 503.
    pub down: bool,
    /// Answers every read with an empty list.
    pub empty: bool,
    /// Answers every read with only the first half of the list.
    pub halved: bool,
}

/// Versions of the host list and the injected faults.
#[derive(Debug, Default)]
struct HostRegistry {
    /// Versions of the list in order, each with the time of its change.
    history: Vec<(Instant, HostList)>,
    faults: HostsFaults,
}

impl HostRegistry {
    /// Appends a new version of the list that `edit` makes from the latest one.
    fn push_change(&mut self, edit: impl FnOnce(&mut Vec<HostRecord>)) {
        let mut list = self
            .history
            .last()
            .map_or_else(HostList::default, |(_, list)| list.clone());
        edit(&mut list.hosts);
        list.version += 1;
        self.history.push((Instant::now(), list));
    }

    /// Latest version older than `lag`, with the injected faults applied; drops older versions.
    fn visible_list(&mut self, lag: Duration) -> HostList {
        let visible_count = self
            .history
            .partition_point(|(changed_at, _)| changed_at.elapsed() >= lag);
        if visible_count > 1 {
            self.history.drain(..visible_count - 1);
        }
        let mut list = match self.history.first() {
            Some((changed_at, list)) if changed_at.elapsed() >= lag => list.clone(),
            _ => HostList::default(),
        };
        if self.faults.empty {
            list.hosts.clear();
        }
        if self.faults.halved {
            list.hosts.truncate(list.hosts.len() / 2);
        }
        list
    }
}

/// State shared by the request handlers.
#[derive(Debug)]
struct HostsState {
    lag: Duration,
    registry: Mutex<HostRegistry>,
}

impl HostsState {
    fn registry(&self) -> MutexGuard<'_, HostRegistry> {
        self.registry
            .lock()
            .expect("no holder of the registry panics")
    }
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    /// Version that the client holds; it is answered with status 304.
    since: u64,
}

/// Starts the stand-in for the host list.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn start(options: HostsOptions) -> io::Result<HttpServerHandle> {
    let state = web::Data::from(Arc::new(HostsState {
        lag: Duration::from_millis(options.lag_ms),
        registry: Mutex::default(),
    }));
    serve(options.listen, &ServeOptions::default(), move |app| {
        app.app_data(state.clone())
            .route("/v1/hosts", web::get().to(list_hosts))
            .route("/v1/hosts/{name}", web::put().to(put_host))
            .route("/v1/hosts/{name}", web::delete().to(delete_host))
            .route("/fault", web::post().to(set_faults));
    })
}

async fn list_hosts(state: web::Data<HostsState>, query: web::Query<ListQuery>) -> HttpResponse {
    let mut registry = state.registry();
    if registry.faults.down {
        return HttpResponse::ServiceUnavailable().body("the list of hosts is down");
    }
    let has_faults = registry.faults != HostsFaults::default();
    let list = registry.visible_list(state.lag);
    if list.version == query.since && !has_faults {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok().json(list)
}

async fn put_host(state: web::Data<HostsState>, record: web::Json<HostRecord>) -> HttpResponse {
    let record = record.into_inner();
    state.registry().push_change(|hosts| {
        match hosts.binary_search_by(|host| host.name.cmp(&record.name)) {
            Ok(index) => hosts[index] = record,
            Err(index) => hosts.insert(index, record),
        }
    });
    HttpResponse::Ok().json("ok")
}

async fn delete_host(state: web::Data<HostsState>, name: web::Path<String>) -> HttpResponse {
    state
        .registry()
        .push_change(|hosts| hosts.retain(|host| host.name != *name));
    HttpResponse::Ok().json("ok")
}

async fn set_faults(state: web::Data<HostsState>, faults: web::Json<HostsFaults>) -> HttpResponse {
    state.registry().faults = faults.into_inner();
    HttpResponse::Ok().json("ok")
}
