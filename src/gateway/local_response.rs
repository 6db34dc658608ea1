use std::time::Duration;

/// Response without a body that the gateway itself generates, encoded for the wire.
///
/// `close` states whether the connection is closed after it.
pub fn local_response(status: u16, retry_after_ms: Option<u64>, close: bool) -> Vec<u8> {
    let reason = match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n");
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = Duration::from_millis(retry_after_ms).as_secs_f64();
        text.push_str(&format!("Retry-After: {seconds:.3}\r\n"));
    }
    if close {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    text.into_bytes()
}

/// Label of an outcome in the metrics; status 0 is a response that was not completed.
pub fn outcome_label(status: u16) -> &'static str {
    match status {
        200..300 => "served",
        502 | 504 => "failed",
        503 => "refused",
        0 => "not_finished",
        _ => "other",
    }
}
