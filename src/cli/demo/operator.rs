use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_web::http::Method;
use bytes::Bytes;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use serde::Deserialize;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::SERVICE;
use super::fleet::TEAM_TOKEN;
use crate::cli::CliError;
use crate::cli::admin_client::section_path;
use crate::clients::OriginClient;
use crate::entry::StatusView;
use crate::entry::admin::PutBody;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::weights::Digest;

/// Branch that the callers belong to.
pub const BRANCH: &str = "dunes";

/// Bearer token of the branch.
pub const BRANCH_TOKEN: &str = "demo-branch-token";

/// Name of the model that is distributed to the hosts.
pub const MODEL: &str = "chat";

/// Service path whose calls are idempotent.
pub const LOOKUP_PATH: &str = "lookup";

/// Service path whose calls are not idempotent.
pub const BOOKING_PATH: &str = "book";

const VERSION: &str = "1";
const CHUNK_BYTES: u32 = 1024 * 1024;
const SEED: u64 = 1;
const ANSWER_TIMEOUT_MS: u64 = 5000;
const POLL_MS: u64 = 50;

/// HTTP status of an entry that has not confirmed its configuration yet.
const STATUS_NOT_READY: u16 = 503;

/// Longest time an entry may take to confirm its configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time until all hosts serve the model, in milliseconds.
const BURST_TIMEOUT_MS: u64 = 15_000;

/// Steps of the progress bar for each host; one step is one percent of the weights.
const STEPS_PER_HOST: u64 = 100;

/// Client of the operators: publishes weights, edits the configuration, reads the status.
#[derive(Debug)]
pub struct Operator {
    http: HttpClient,
    entry_url: String,
    origin_url: String,
}

/// Answer of the origin to a publish request.
#[derive(Debug, Deserialize)]
struct Published {
    manifest: Digest,
}

/// Part of the origin's statistics that the demonstration reports.
#[derive(Debug, Deserialize)]
struct SentBytes {
    chunk_bytes_sent: u64,
}

impl Operator {
    /// Client of the first entry and the origin of `fleet`.
    pub fn new(fleet: &Fleet) -> Self {
        Self {
            http: HttpClient::to_platform(),
            entry_url: fleet.entry_urls().swap_remove(0),
            origin_url: fleet.origin_url(),
        }
    }

    /// Publishes the weights and configures the model, the service and the branch.
    ///
    /// Returns the digest of the complete weights.
    pub async fn publish(&self, size_bytes: u64, replicas: u32) -> Result<Digest, CliError> {
        let publication = json!({
            "model": MODEL,
            "version": VERSION,
            "size_bytes": size_bytes,
            "chunk_bytes": CHUNK_BYTES,
            "seed": SEED,
            "base": null,
        });
        let url = format!("{}/v1/publish", self.origin_url);
        let published: Published = self
            .http
            .send_json(Method::POST, &url, &publication, ANSWER_TIMEOUT_MS)
            .await
            .map_err(to_cli_error)?;
        let manifest = OriginClient::new(&self.origin_url)
            .fetch_manifest(MODEL, VERSION)
            .await
            .map_err(|error| CliError::Failed(error.to_string()))?;
        self.edit_document(published.manifest, replicas).await?;
        Ok(manifest.whole)
    }

    /// Creates the sections of the model, the service and the branch.
    async fn edit_document(&self, manifest: Digest, replicas: u32) -> Result<(), CliError> {
        let token_digest = Digest::of_bytes(BRANCH_TOKEN.as_bytes());
        let sections = [
            (
                format!("model {MODEL}"),
                format!(
                    "version = {VERSION}\nmanifest = {manifest}\nreplicas = {replicas}\n\
                     step_replicas = {replicas}\n"
                ),
            ),
            (
                format!("service {SERVICE}"),
                format!("idempotent = {LOOKUP_PATH}\ntimeout_ms = 2000\n"),
            ),
            (
                format!("branch {BRANCH}"),
                format!(
                    "token_digest = {token_digest}\nweight = 1\nshare_percent = 50\n\
                     burst_percent = 100\nmodels = {MODEL}\nservices = {SERVICE}\n"
                ),
            ),
        ];
        for (section, body) in sections {
            self.put_section(&section, body).await?;
        }
        Ok(())
    }

    /// Creates a section; retries while the entry is not ready.
    async fn put_section(&self, section: &str, body: String) -> Result<(), CliError> {
        let url = format!("{}{}", self.entry_url, section_path(section));
        let edit = json!(PutBody {
            edit_id: format!("demo {section}"),
            base_revision: 0,
            body,
        });
        let started = Instant::now();
        loop {
            let request = self
                .http
                .request(Method::PUT, &url)
                .bearer_auth(TEAM_TOKEN)
                .insert_header(("content-type", "application/json"));
            let sent =
                HttpClient::send_and_read(request, edit.to_string(), ANSWER_TIMEOUT_MS).await;
            match sent {
                Ok(_) => return Ok(()),
                Err(LinkError::Status { status, .. })
                    if status == STATUS_NOT_READY && started.elapsed() < READY_TIMEOUT => {}
                Err(error) => return Err(to_cli_error(error)),
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Shows the progress until `hosts` hosts serve the model.
    ///
    /// # Errors
    ///
    /// [`CliError::Failed`] when that takes too long.
    pub async fn watch_burst(&self, hosts: u32) -> Result<(), CliError> {
        let bar = progress_bar(hosts);
        let started = Instant::now();
        loop {
            let view = self.fetch_status().await;
            let serving = view.map_or(0, |view| update_progress(&bar, &view));
            if serving >= hosts {
                bar.finish();
                return Ok(());
            }
            if started.elapsed() > Duration::from_millis(BURST_TIMEOUT_MS) {
                bar.abandon();
                let reason = format!(
                    "fewer than {hosts} hosts served the model after {BURST_TIMEOUT_MS} ms"
                );
                return Err(CliError::Failed(reason));
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Status from the first entry; `None` when it does not answer.
    async fn fetch_status(&self) -> Option<StatusView> {
        let url = format!("{}/v1/status", self.entry_url);
        let request = self.http.request(Method::GET, &url).bearer_auth(TEAM_TOKEN);
        let answer = HttpClient::send_and_read(request, Bytes::new(), ANSWER_TIMEOUT_MS).await;
        serde_json::from_slice(&answer.ok()?).ok()
    }

    /// Total size of the chunks that the origin has sent, in bytes.
    pub async fn fetch_origin_bytes(&self) -> Result<u64, CliError> {
        let url = format!("{}/stats", self.origin_url);
        let stats: SentBytes = self
            .http
            .get_json(&url, ANSWER_TIMEOUT_MS)
            .await
            .map_err(to_cli_error)?;
        Ok(stats.chunk_bytes_sent)
    }
}

fn progress_bar(hosts: u32) -> ProgressBar {
    let bar = ProgressBar::new(u64::from(hosts) * STEPS_PER_HOST);
    let style = ProgressStyle::with_template("model {bar:40} {percent}% {msg}")
        .expect("the template is valid");
    bar.set_style(style);
    bar
}

/// Updates the bar and returns the number of hosts that serve the model.
fn update_progress(bar: &ProgressBar, view: &StatusView) -> u32 {
    let present: u64 = view
        .hosts
        .iter()
        .flat_map(|host| &host.versions)
        .filter(|held| held.model == MODEL)
        .map(|held| u64::from(held.present_percent))
        .sum();
    bar.set_position(present);
    let serving = view
        .models
        .iter()
        .find(|model| model.name == MODEL)
        .map_or(0, |model| model.serving);
    bar.set_message(format!("{serving} hosts serving"));
    serving
}

fn to_cli_error(error: LinkError) -> CliError {
    CliError::Failed(error.to_string())
}
