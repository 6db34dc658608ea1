use actix_web::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::CliError;
use super::OperatorArgs;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::decode_json;

/// Time an entry has to answer, in addition to a requested wait.
const ANSWER_TIMEOUT_MS: u64 = 20_000;

/// Client of the administration API of one entry, authenticated as one team.
#[derive(Debug)]
pub struct AdminClient {
    operator: OperatorArgs,
    token: String,
}

impl AdminClient {
    /// Creates a client for the entry and token that `operator` names.
    ///
    /// # Errors
    ///
    /// [`CliError::Invalid`] when there is no token or its file cannot be read.
    pub fn new(operator: OperatorArgs) -> Result<Self, CliError> {
        let token = operator.token()?;
        Ok(Self { operator, token })
    }

    /// Sends a request and decodes the JSON answer.
    ///
    /// `wait_ms` is the time that the request asks the entry to wait; it extends the timeout.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the request fails or the answer cannot be decoded.
    pub async fn send<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
        wait_ms: u64,
    ) -> Result<A, LinkError> {
        let malformed = |error: serde_json::Error| LinkError::Malformed(error.to_string());
        let url = self.operator.url(path);
        let request = HttpClient::to_platform()
            .request(method, &url)
            .insert_header(("authorization", format!("Bearer {}", self.token)))
            .insert_header(("content-type", "application/json"));
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).map_err(malformed)?,
            None => Vec::new(),
        };
        let answer = HttpClient::send_and_read(request, bytes, wait_ms + ANSWER_TIMEOUT_MS).await?;
        decode_json(&answer)
    }

    /// Sends a GET request for `path`; see [`AdminClient::send`].
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the request fails or the answer cannot be decoded.
    pub async fn get<A: DeserializeOwned>(&self, path: &str, wait_ms: u64) -> Result<A, LinkError> {
        self.send(Method::GET, path, None::<&Value>, wait_ms).await
    }
}

/// URL path of a section, with its name percent-encoded.
pub fn section_path(name: &str) -> String {
    format!("/v1/config/sections/{}", percent_encode(name))
}

/// Percent-encodes every byte except ASCII letters, digits, `.`, `_` and `-`.
pub fn percent_encode(text: &str) -> String {
    let mut path = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"._-".contains(&byte) {
            path.push(char::from(byte));
        } else {
            path.push_str(&format!("%{byte:02X}"));
        }
    }
    path
}

/// Converts a failed request into the command's error.
///
/// An error answer yields its code and message; a conflict also yields the section that
/// is in force.
pub fn to_cli_error(error: LinkError) -> CliError {
    let LinkError::Status { status, body, .. } = &error else {
        return CliError::Failed(error.to_string());
    };
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    let text = match (answer["code"].as_str(), answer["message"].as_str()) {
        (Some(code), Some(message)) => format!("{code}: {message}"),
        _ => format!("status {status}: {body}"),
    };
    let current_body = answer["details"]["winner"]["body"].as_str();
    CliError::Failed(match current_body {
        Some(body) => {
            let revision = &answer["details"]["revision"];
            format!("{text}\nthe current section, at revision {revision}, is:\n{body}")
        }
        None => text,
    })
}
