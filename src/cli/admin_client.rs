use actix_web::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::CliError;
use super::OperatorArgs;
use crate::links::HttpClient;
use crate::links::LinkError;

/// Time an entry has to answer, beyond the waiting it was asked for.
const ANSWER_TIMEOUT_MS: u64 = 20_000;

/// A team's client of the administration API.
#[derive(Debug)]
pub struct AdminClient {
    operator: OperatorArgs,
    token: String,
}

impl AdminClient {
    /// Client of the entry and team that `operator` names.
    ///
    /// # Errors
    ///
    /// [`CliError::Invalid`] when there is no token.
    pub fn new(operator: OperatorArgs) -> Result<Self, CliError> {
        let token = operator.token()?;
        Ok(Self { operator, token })
    }

    /// Sends a request and decodes the answer; `wait_ms` is what the entry was asked to wait.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no usable answer came.
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
        let answer = HttpClient::exchange(request, bytes, wait_ms + ANSWER_TIMEOUT_MS).await?;
        serde_json::from_slice(&answer).map_err(malformed)
    }

    /// Reads what is at `path`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no usable answer came.
    pub async fn get<A: DeserializeOwned>(&self, path: &str, wait_ms: u64) -> Result<A, LinkError> {
        self.send(Method::GET, path, None::<&Value>, wait_ms).await
    }
}

/// Path of a section, with what a URL does not take percent_encode.
pub fn section_path(name: &str) -> String {
    format!("/v1/config/sections/{}", percent_encode(name))
}

/// `text` with every byte but letters, digits, `.`, `_` and `-` percent_encode.
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

/// The command's error for an answer that was no success.
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
            format!("{text}\nthe section is now, at revision {revision}:\n{body}")
        }
        None => text,
    })
}
