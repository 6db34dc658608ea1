use std::io;
use std::net::SocketAddr;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use actix_rt::time::sleep;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body::SizedStream;
use actix_web::web;
use bytes::Bytes;
use clap::Args;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::clients::IDEMPOTENCY_KEY_HEADER;
use crate::clients::REQUEST_ID_HEADER;
use crate::clients::ServiceAnswer;
use crate::links::ServeOptions;
use crate::links::serve;
use crate::standin::HttpServerHandle;

/// Marker in a request body that aborts the process if `may_crash` is set.
pub const CRASH_MARKER: &str = "[[crash]]";

/// Command-line options of the stand-in for a plain service.
#[derive(Debug, Clone, Args)]
pub struct ServiceOptions {
    /// Address to listen on.
    #[arg(long, value_name = "IP:PORT")]
    pub listen: SocketAddr,
    /// Answer a call with a known idempotency key by its first execution instead of a new one.
    #[arg(long)]
    pub keeps_keys: bool,
    /// Processing time of each call, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    pub delay_ms: u64,
    /// Abort the process on a body that contains `[[crash]]`.
    #[arg(long)]
    pub may_crash: bool,
}

/// Faults to inject into the service; each number counts the coming calls that it affects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Calls that run and whose connection breaks halfway through the reply.
    pub lose_reply: u32,
    /// Calls that run and never get a reply.
    pub silent_reply: u32,
    /// Calls that get a reply with the id of another request.
    pub crossed_reply: u32,
}

/// One execution of a call, as recorded in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Idempotency key of the call; empty if the call had none.
    pub key: String,
    /// Path of the call.
    pub path: String,
    /// Sequence number of the execution, from 1.
    pub execution: u64,
}

/// Record of all executions, and the injected faults.
#[derive(Debug, Default)]
struct Ledger {
    executions: Vec<Execution>,
    faults: ServiceFaults,
}

/// Fault of the reply to a call that was executed.
#[derive(Debug, Clone, Copy)]
enum ReplyFault {
    /// The connection breaks halfway through the reply.
    Lost,
    /// The call gets no reply.
    Silent,
    /// The reply carries the id of another request.
    Crossed,
}

impl Ledger {
    /// Records an execution and returns its number; with `keeps_keys`, a known key
    /// returns the number of its first execution.
    fn execute(&mut self, key: &str, path: &str, keeps_keys: bool) -> u64 {
        if keeps_keys && !key.is_empty() {
            let found = self.executions.iter().find(|earlier| earlier.key == key);
            if let Some(earlier) = found {
                return earlier.execution;
            }
        }
        let execution = self.executions.len() as u64 + 1;
        self.executions.push(Execution {
            key: key.to_owned(),
            path: path.to_owned(),
            execution,
        });
        execution
    }

    /// Uses up one injected fault, if any is left.
    fn take_next_fault(&mut self) -> Option<ReplyFault> {
        let faults = [
            (&mut self.faults.lose_reply, ReplyFault::Lost),
            (&mut self.faults.silent_reply, ReplyFault::Silent),
            (&mut self.faults.crossed_reply, ReplyFault::Crossed),
        ];
        let (remaining, fault) = faults.into_iter().find(|(remaining, _)| **remaining > 0)?;
        *remaining -= 1;
        Some(fault)
    }
}

/// State shared by the request handlers.
#[derive(Debug)]
struct ServiceState {
    options: ServiceOptions,
    ledger: Mutex<Ledger>,
}

impl ServiceState {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of the ledger panics")
    }
}

/// Starts the stand-in for a plain service.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn start(options: ServiceOptions) -> io::Result<HttpServerHandle> {
    let listen = options.listen;
    let state = web::Data::from(Arc::new(ServiceState {
        options,
        ledger: Mutex::default(),
    }));
    serve(listen, &ServeOptions::default(), move |app| {
        app.app_data(state.clone())
            .route("/v1/call/{path:.*}", web::post().to(call))
            .route("/ledger", web::get().to(show_ledger))
            .route("/fault", web::post().to(set_faults));
    })
}

async fn call(
    state: web::Data<ServiceState>,
    path: web::Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Ok(echo) = serde_json::from_slice::<Value>(&body) else {
        return HttpResponse::BadRequest().body("the body is not JSON");
    };
    if state.options.may_crash && String::from_utf8_lossy(&body).contains(CRASH_MARKER) {
        process::abort();
    }
    let key = header(&request, IDEMPOTENCY_KEY_HEADER);
    let (execution, fault) = {
        let mut ledger = state.ledger();
        let execution = ledger.execute(&key, &path, state.options.keeps_keys);
        (execution, ledger.take_next_fault())
    };
    sleep(Duration::from_millis(state.options.delay_ms)).await;
    let answer = ServiceAnswer {
        request_id: header(&request, REQUEST_ID_HEADER),
        execution,
        echo,
    };
    reply(answer, fault).await
}

async fn reply(mut answer: ServiceAnswer, fault: Option<ReplyFault>) -> HttpResponse {
    match fault {
        None => HttpResponse::Ok().json(answer),
        Some(ReplyFault::Lost) => truncated_reply(&answer),
        Some(ReplyFault::Silent) => std::future::pending().await,
        Some(ReplyFault::Crossed) => {
            answer.request_id.push_str("-other");
            HttpResponse::Ok().json(answer)
        }
    }
}

/// Reply whose connection breaks halfway through the body.
fn truncated_reply(answer: &ServiceAnswer) -> HttpResponse {
    let complete = serde_json::to_vec(answer).unwrap_or_default();
    let first_half = Bytes::copy_from_slice(&complete[..complete.len() / 2]);
    let reset = io::Error::new(io::ErrorKind::ConnectionReset, "reply lost");
    let chunks = stream::iter([Ok(first_half), Err(reset)]);
    HttpResponse::Ok()
        .content_type("application/json")
        .body(SizedStream::new(complete.len() as u64, chunks))
}

/// Value of a header; empty when it is missing or not text.
fn header(request: &HttpRequest, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

async fn show_ledger(state: web::Data<ServiceState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.ledger().executions)
}

async fn set_faults(
    state: web::Data<ServiceState>,
    faults: web::Json<ServiceFaults>,
) -> HttpResponse {
    state.ledger().faults = faults.into_inner();
    HttpResponse::Ok().json("ok")
}
