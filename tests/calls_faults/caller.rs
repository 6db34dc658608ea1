//! A caller that follows the contract: it numbers the sends of a call and has one open at a time.

use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::history::Outcome;
use crate::history::SendRecord;
use crate::support::TOKEN;
use bergamotfork::calls::Permit;
use bergamotfork::clients::REQUEST_ID_HEADER;
use bergamotfork::links::HttpClient;

/// Time after which a caller gives up one send.
const SEND_TIMEOUT: Duration = Duration::from_secs(8);

/// Default deadline of a call.
const DEADLINE_MS: u64 = 6000;

/// Requests one permit from an entry.
pub async fn request_permit(entry: &str) -> Option<Permit> {
    let url = format!("{entry}/v1/permits?branch=seaside&service=bookdesk");
    let request = HttpClient::to_platform()
        .request(Method::GET, &url)
        .insert_header(("authorization", format!("Bearer {TOKEN}")));
    let body = HttpClient::send_and_read(request, "", 2000).await.ok()?;
    let answer: Value = serde_json::from_slice(&body).ok()?;
    serde_json::from_value(answer["permits"].get(0)?.clone()).ok()
}

/// Sends one call through `entry` with the default deadline and returns its outcome.
pub async fn send(
    entry: &str,
    path: &str,
    body: &Value,
    permit: Option<&Permit>,
    send_no: u32,
) -> SendRecord {
    send_with_deadline(entry, path, body, permit, send_no, DEADLINE_MS).await
}

/// Sends one call through `entry` with a deadline of `deadline_ms`.
pub async fn send_with_deadline(
    entry: &str,
    path: &str,
    body: &Value,
    permit: Option<&Permit>,
    send_no: u32,
    deadline_ms: u64,
) -> SendRecord {
    let key = permit.map_or_else(String::new, |permit| permit.nonce.to_string());
    let request_id = format!("{key}-{send_no}");
    let call = json!({
        "branch": "seaside", "service": "bookdesk", "path": path, "body": body,
        "permit": permit, "send": send_no, "deadline_ms": deadline_ms,
    });
    let url = format!("{entry}/v1/call");
    let exchange = async {
        let mut response = HttpClient::to_platform()
            .request_on_new_connection(Method::POST, &url)
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("content-type", "application/json"))
            .insert_header((REQUEST_ID_HEADER, request_id.as_str()))
            .send_body(call.to_string())
            .await
            .ok()?;
        let complete_body = response.body().await.ok()?;
        let echoed = response.headers().get(REQUEST_ID_HEADER)?;
        let echoed = echoed.to_str().ok()?.to_owned();
        let answer: Value = serde_json::from_slice(&complete_body).ok()?;
        Some((response.status().is_success(), echoed, answer))
    };
    let received = timeout(SEND_TIMEOUT, exchange).await.ok().flatten();
    let (echoed_id, outcome) = match received {
        None => (String::new(), Outcome::NoAnswer),
        Some((true, echoed, answer)) => (echoed, Outcome::Answer(answer)),
        Some((false, echoed, answer)) => (echoed, error_outcome(&answer)),
    };
    SendRecord {
        key,
        body: body.clone(),
        request_id,
        echoed_id,
        outcome,
    }
}

/// Outcome that an error answer of the entry states.
fn error_outcome(answer: &Value) -> Outcome {
    let reason = answer["reason"].as_str().unwrap_or_default().to_owned();
    match answer["outcome"].as_str() {
        Some("not_run") => Outcome::NotRun(reason),
        Some("unknown") => Outcome::Unknown(reason),
        _ => Outcome::Unknown(answer.to_string()),
    }
}

/// Sends a call through the entries in turn until its outcome is known, at most `sends` times.
pub async fn call_until_known(
    entries: &[String],
    first: usize,
    body: &Value,
    sends: u32,
) -> Vec<SendRecord> {
    let mut events = Vec::new();
    let mut issued = None;
    for step in 0..entries.len() {
        issued = request_permit(&entries[(first + step) % entries.len()]).await;
        if issued.is_some() {
            break;
        }
    }
    let Some(permit) = issued else {
        return events;
    };
    for send_no in 1..=sends {
        let entry = &entries[(first + send_no as usize) % entries.len()];
        let event = send(entry, "book", body, Some(&permit), send_no).await;
        let known = matches!(event.outcome, Outcome::Answer(_) | Outcome::NotRun(_));
        events.push(event);
        if known {
            break;
        }
    }
    events
}
