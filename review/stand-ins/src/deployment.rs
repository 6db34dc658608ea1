//! What the operator of a small deployment writes, and what its clients send.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Host of all routes.
pub const HOST: &str = "hulo84.example";

/// Key of the only tenant.
pub const API_KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// A route of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Route<'a> {
    pub name: &'a str,
    pub path_prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub service: &'a str,
    pub resume: bool,
}

/// A configuration with these routes, all to services without a model.
pub fn configuration(version: u64, routes: &[Route<'_>]) -> String {
    let lines = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"type\":\"{}\",\
             \"timeout_ms\":{},\"target_latency_ms\":300,\"priority\":1,\"service\":\"{}\",\
             \"max_attempts\":2,\"anonymous\":false,\"session_affinity\":false,\
             \"stream_resume\":{},\"target_gap_ms\":400}}",
            route.name,
            route.path_prefix,
            route.kind,
            route.timeout_ms,
            route.service,
            route.resume
        )
    });
    let lines: Vec<String> = lines.collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":96,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{API_KEY}\"],\"priority\":1}}]}}",
        lines.join(","),
        services.join(",")
    )
}

/// An id for one attempt of a client.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Head of a request with a body of `length` bytes.
pub fn request_head(path: &str, attempt: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nBergamotfork-Request-Attempt-Id: {attempt}\r\n\
         Bergamotfork-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {API_KEY}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}
