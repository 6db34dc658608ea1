//! Tests invalid input to a running entry: each case is answered with its error code, and
//! the entry answers the next request.

#[path = "../support/mod.rs"]
mod support;

mod raw_http;

use std::net::SocketAddr;
use std::time::Duration;

use self::raw_http::RawAnswer;
use self::raw_http::send_request;
use self::raw_http::send_slowly;
use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

/// Limit of request bodies that the entry is configured with.
const MAX_BODY_BYTES: usize = 2048;
/// Time within which a client has to send its request.
const SLOW_CLIENT_TIMEOUT_MS: u64 = 1000;

/// Starts an entry with one branch, a model that the branch may use and one that it may
/// not.
async fn start_entry() -> (Cluster, SocketAddr) {
    let mut cluster = Cluster::new().await;
    let settings = format!(
        "max_body_bytes = {MAX_BODY_BYTES}\nslow_client_timeout_ms = {SLOW_CLIENT_TIMEOUT_MS}\n"
    );
    let url = cluster.start_entry("entry-1", "or-north", &settings).await;
    let model = format!(
        "version = v1\nmanifest = {}\nreplicas = 1\n",
        Digest::of_bytes(b"no weights")
    );
    cluster.append_edit("model chat", 0, &model).await;
    cluster.append_edit("model secret", 0, &model).await;
    let service = "idempotent = lookup\ntimeout_ms = 1000\n";
    cluster.append_edit("service bookdesk", 0, service).await;
    let branch = format!(
        "token_digest = {}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
         models = chat\nservices = bookdesk\n",
        Digest::of_bytes(TOKEN.as_bytes())
    );
    cluster.append_edit("branch seaside", 0, &branch).await;
    let address = url.strip_prefix("http://").expect("a URL of an entry");
    let address: SocketAddr = address.parse().expect("an entry has an address");
    until("the entry knows the branch", 20, async || {
        let path = "/v1/addresses?branch=seaside";
        (get(address, path, TOKEN).status == 200).then_some(())
    })
    .await;
    (cluster, address)
}

fn get(address: SocketAddr, path: &str, token: &str) -> RawAnswer {
    let head = format!("GET {path} HTTP/1.1\r\nauthorization: Bearer {token}\r\n");
    send_request(address, &head, "")
}

fn post(address: SocketAddr, path: &str, token: &str, body: &str) -> RawAnswer {
    let head = format!(
        "POST {path} HTTP/1.1\r\nauthorization: Bearer {token}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    send_request(address, &head, body)
}

fn generate_body(branch: &str, model: &str) -> String {
    format!(r#"{{"branch":"{branch}","model":"{model}","prompt":"hut?","max_tokens":2}}"#)
}

/// Path of a section that does not exist and that the team may write.
const SECTION: &str = "/v1/config/sections/model%20new";

fn edit_body(body: &str) -> String {
    format!(r#"{{"edit_id":"e {body}","base_revision":0,"body":"{body}"}}"#)
}

fn call_body(branch: &str, service: &str) -> String {
    format!(r#"{{"branch":"{branch}","service":"{service}","path":"lookup","body":{{}}}}"#)
}

/// Checks that the entry still answers.
fn assert_healthy(address: SocketAddr, after: &str) {
    let answer = send_request(address, "GET /health/live HTTP/1.1\r\n", "");
    assert_eq!(answer.status, 200, "not healthy after {after}");
}

#[actix_rt::test]
async fn input_rejected() {
    let (_cluster, address) = start_entry().await;
    let valid = generate_body("seaside", "chat");
    let large = format!("\"{}\"", "x".repeat(MAX_BODY_BYTES));
    let incomplete = format!(r#"{{"branch":"{}"}}"#, "x".repeat(MAX_BODY_BYTES - 20));
    let cases = [
        ("GET", "/v1/nothing", TOKEN, "", 404, "unknown_path"),
        ("GET", "/", TOKEN, "", 404, "unknown_path"),
        ("GET", "/v1/generate", TOKEN, "", 405, "wrong_method"),
        ("GET", "/v1/call", TOKEN, "", 405, "wrong_method"),
        ("POST", "/v1/addresses", TOKEN, "{}", 405, "wrong_method"),
        ("GET", "/v1/addresses", TOKEN, "", 400, "bad_request"),
        (
            "GET",
            "/v1/addresses?branch=x",
            TOKEN,
            "",
            404,
            "unknown_branch",
        ),
        (
            "GET",
            "/v1/addresses?branch=seaside",
            "",
            "",
            401,
            "missing_token",
        ),
        (
            "GET",
            "/v1/addresses?branch=seaside",
            "no",
            "",
            401,
            "wrong_token",
        ),
        ("GET", "/v1/status", "", "", 401, "missing_token"),
        ("GET", "/v1/status", "no", "", 401, "wrong_token"),
        ("POST", "/v1/generate", "", &valid, 401, "missing_token"),
        ("POST", "/v1/generate", "no", &valid, 401, "wrong_token"),
        ("POST", "/v1/generate", TOKEN, "", 400, "bad_json"),
        ("POST", "/v1/generate", TOKEN, "{", 400, "bad_json"),
        ("POST", "/v1/generate", TOKEN, "[1]", 400, "bad_json"),
        (
            "POST",
            "/v1/generate",
            TOKEN,
            "{\"branch\":7}",
            400,
            "bad_json",
        ),
        ("POST", "/v1/generate", TOKEN, "\u{1}", 400, "bad_json"),
        ("POST", "/v1/generate", TOKEN, &large, 413, "body_too_large"),
        ("POST", "/v1/generate", TOKEN, &incomplete, 400, "bad_json"),
        (
            "POST",
            "/v1/generate",
            TOKEN,
            &generate_body("x", "chat"),
            404,
            "unknown_branch",
        ),
        (
            "POST",
            "/v1/generate",
            TOKEN,
            &generate_body("seaside", "x"),
            404,
            "unknown_model",
        ),
        (
            "POST",
            "/v1/generate",
            TOKEN,
            &generate_body("seaside", "secret"),
            403,
            "forbidden",
        ),
        ("POST", "/v1/generate", TOKEN, &valid, 503, "no_replica"),
        (
            "POST",
            "/v1/call",
            "",
            &call_body("seaside", "bookdesk"),
            401,
            "missing_token",
        ),
        (
            "POST",
            "/v1/call",
            TOKEN,
            &call_body("seaside", "x"),
            404,
            "unknown_service",
        ),
        (
            "POST",
            "/v1/call",
            TOKEN,
            &call_body("x", "bookdesk"),
            404,
            "unknown_branch",
        ),
        (
            "POST",
            "/v1/call",
            TOKEN,
            &call_body("seaside", "bookdesk"),
            503,
            "no_replica",
        ),
        ("POST", "/v1/call", TOKEN, "null", 400, "bad_json"),
        ("POST", "/v1/call", TOKEN, &large, 413, "body_too_large"),
        ("GET", "/v1/config", "", "", 401, "missing_token"),
        ("GET", "/v1/config", "no", "", 401, "wrong_token"),
        ("POST", "/v1/config", TOKEN, "{}", 405, "wrong_method"),
        ("POST", SECTION, TOKEN, "{}", 405, "wrong_method"),
        ("PUT", "/v1/config/wait", TOKEN, "{}", 405, "wrong_method"),
        ("GET", "/v1/config/wait", TOKEN, "", 400, "bad_request"),
        (
            "PUT",
            SECTION,
            "",
            &edit_body("version = v2"),
            401,
            "missing_token",
        ),
        (
            "PUT",
            SECTION,
            "no",
            &edit_body("version = v2"),
            401,
            "wrong_token",
        ),
        ("PUT", SECTION, TOKEN, "{", 400, "bad_json"),
        ("PUT", SECTION, TOKEN, &large, 413, "body_too_large"),
        (
            "PUT",
            SECTION,
            TOKEN,
            &edit_body("version = v2"),
            422,
            "invalid_edit",
        ),
        (
            "PUT",
            "/v1/config/sections/secret%20x",
            TOKEN,
            &edit_body(""),
            403,
            "forbidden",
        ),
        (
            "PUT",
            "/v1/config/sections/model%20chat",
            TOKEN,
            &edit_body("replicas = 1"),
            409,
            "conflict",
        ),
    ];
    for (method, path, token, body, status, code) in cases {
        let authorization = match token {
            "" => String::new(),
            token => format!("authorization: Bearer {token}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\n{authorization}\
             content-type: application/json\r\ncontent-length: {}\r\n",
            body.len()
        );
        let answer = send_request(address, &head, body);
        let case = format!("{method} {path} {body:.80}: {answer:?}");
        assert_eq!(answer.status, status, "{case}");
        assert_eq!(answer.json()["code"], code, "{case}");
        assert!(answer.json()["message"].is_string(), "{case}");
        let is_retryable = answer.json()["retry_after_ms"].is_u64();
        assert_eq!(
            is_retryable,
            answer.header("retry-after").is_some(),
            "{case}"
        );
        assert_eq!(is_retryable, code == "no_replica", "{case}");
        if path == "/v1/call" && is_retryable {
            assert_eq!(answer.json()["outcome"], "not_run", "{case}");
            assert_eq!(answer.json()["reason"], "no_endpoint", "{case}");
        }
        assert_healthy(address, &case);
    }
}

#[actix_rt::test]
async fn input_malformed_http() {
    let (_cluster, address) = start_entry().await;
    let long = "x".repeat(256 * 1024);
    let cases = [
        "\0\0\0\r\n".to_owned(),
        "POST /v1/generate HTTP/1.1\r\ncontent-length: -1\r\n".to_owned(),
        "POST /v1/generate HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n".to_owned(),
        format!("GET /{long} HTTP/1.1\r\n"),
        format!("GET / HTTP/1.1\r\nx: {long}\r\n"),
    ];
    for head in cases {
        let answer = send_request(address, &head, "");
        // A head that cannot be parsed is refused by the HTTP server, without an error code.
        let refused = (400..500).contains(&answer.status) || answer.status == 0;
        assert!(refused, "{head:.60}: {answer:?}");
        assert_healthy(address, &head[..head.len().min(60)]);
    }
}

#[actix_rt::test]
async fn input_oversized_chunked() {
    let (_cluster, address) = start_entry().await;
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
         content-type: application/json\r\ntransfer-encoding: chunked\r\n"
    );
    let chunk = "x".repeat(MAX_BODY_BYTES + 1);
    let body = format!("{:x}\r\n{chunk}\r\n0\r\n\r\n", chunk.len());
    let answer = send_request(address, &head, &body);
    assert_eq!(
        (answer.status, answer.json()["code"].as_str()),
        (413, Some("body_too_large"))
    );
    assert_healthy(address, "an oversized chunked body");
}

#[actix_rt::test]
async fn input_slow_body() {
    let (_cluster, address) = start_entry().await;
    let body = generate_body("seaside", "chat");
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    let pause = Duration::from_millis(SLOW_CLIENT_TIMEOUT_MS / 8);
    let answer = send_slowly(
        address,
        &format!("{head}host: entry\r\nconnection: close\r\n\r\n"),
        &body,
        pause,
    );
    assert_eq!(answer.status, 408, "{answer:?}");
    assert_eq!(answer.json()["code"], "request_timeout");
    assert_healthy(address, "a slow body");
}

#[actix_rt::test]
async fn input_slow_head() {
    let (_cluster, address) = start_entry().await;
    let head = "GET /health/live HTTP/1.1\r\nx-slow: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    let pause = Duration::from_millis(SLOW_CLIENT_TIMEOUT_MS / 8);
    let answer = send_slowly(address, "", head, pause);
    // An incomplete head is refused by the HTTP server, without an error code.
    assert_eq!(answer.status, 408, "{answer:?}");
    assert_healthy(address, "a slow head");
}

#[actix_rt::test]
async fn input_without_shared_key() {
    let (_cluster, address) = start_entry().await;
    for path in ["/x/report", "/x/config"] {
        let answer = post(address, path, TOKEN, "{}");
        assert_eq!(answer.status, 401, "{path}: {answer:?}");
        assert_healthy(address, path);
    }
}

/// Values that no caller means are answered, and the entry serves the next request.
#[actix_rt::test]
async fn input_odd_values_answered() {
    let (_cluster, address) = start_entry().await;
    let nested = "[".repeat(900) + &"]".repeat(900);
    let numbers = [
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775808",
        "-1",
        "1e400",
        "1e30",
        "0.5",
        "null",
        &nested,
    ];
    let call =
        |field: &str| call_body("seaside", "bookdesk").replace("{}", &format!("{{}},{field}"));
    let permit = |number: &str| {
        format!(
            r#""permit":{{"endpoint":"e","address":"127.0.0.1:9","incarnation":{number},
               "epoch":{number},"nonce":"{}","branch":"seaside","service":"bookdesk",
               "seal":"{}"}}"#,
            "0".repeat(32),
            Digest::of_bytes(b"no seal")
        )
    };
    for number in numbers {
        let generate = |field: &str| {
            let valid = generate_body("seaside", "chat");
            valid.replacen('{', &format!("{{\"{field}\":{number},"), 1)
        };
        let requests = [
            ("POST", "/v1/generate", generate("deadline_ms")),
            ("POST", "/v1/generate", generate("resume_from")),
            ("POST", "/v1/generate", generate("seed")),
            ("POST", "/v1/generate", generate("priority")),
            ("POST", "/v1/generate", generate("other")),
            (
                "POST",
                "/v1/call",
                call(&format!("\"deadline_ms\":{number}")),
            ),
            ("POST", "/v1/call", call(&format!("\"send\":{number}"))),
            ("POST", "/v1/call", call(&permit(number))),
            (
                "POST",
                "/v1/call",
                call_body("seaside", "bookdesk").replace("{}", number),
            ),
            (
                "PUT",
                SECTION,
                format!(r#"{{"edit_id":"e","base_revision":{number},"body":"replicas = 1"}}"#),
            ),
            ("PUT", SECTION, edit_body(&format!("replicas = {number}"))),
        ];
        for (method, path, body) in requests {
            let head = format!(
                "{method} {path} HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
                 content-type: application/json\r\ncontent-length: {}\r\n",
                body.len()
            );
            let answer = send_request(address, &head, &body);
            let case = format!("{path} {body:.160}: {answer:?}");
            assert!(answer.json()["code"].is_string(), "{case}");
            assert_healthy(address, &case);
        }
        let path = format!("/v1/config/wait?revision={number}&wait_ms=0");
        let answer = get(address, &path, TOKEN);
        assert!(matches!(answer.status, 200 | 400), "{path}: {answer:?}");
    }
    let valid = post(
        address,
        "/v1/generate",
        TOKEN,
        &generate_body("seaside", "chat"),
    );
    assert_eq!(valid.json()["code"], "no_replica");
}
