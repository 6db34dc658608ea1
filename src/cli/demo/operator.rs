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

/// Branch whose callers call.
pub const BRANCH: &str = "dunes";

/// Bearer token of that branch.
pub const BRANCH_TOKEN: &str = "demo-branch-token";

/// Model that is brought to the hosts.
pub const MODEL: &str = "chat";

/// Path whose calls may be repeated.
pub const LOOKUP_PATH: &str = "lookup";

/// Path whose calls may not be repeated.
pub const BOOKING_PATH: &str = "book";

const VERSION: &str = "1";
const CHUNK_BYTES: u32 = 1024 * 1024;
const SEED: u64 = 1;
const ANSWER_WAIT_MS: u64 = 5000;
const POLL_MS: u64 = 50;

/// HTTP status of an entry whose configuration is not confirmed yet.
const NOT_READY: u16 = 503;

/// Time an entry has to confirm its configuration.
const READY_LIMIT: Duration = Duration::from_secs(10);
const BURST_LIMIT_MS: u64 = 15_000;
const PERCENT: u64 = 100;

/// What the operators of the demonstration do.
#[derive(Debug)]
pub struct Operator {
    http: HttpClient,
    entry_url: String,
    origin_url: String,
}

#[derive(Debug, Deserialize)]
struct Published {
    manifest: Digest,
}

#[derive(Debug, Deserialize)]
struct OriginStats {
    chunk_bytes_sent: u64,
}

impl Operator {
    /// Operators of `fleet`.
    pub fn new(fleet: &Fleet) -> Self {
        Self {
            http: HttpClient::to_platform(),
            entry_url: fleet.entry_urls().swap_remove(0),
            origin_url: fleet.origin_url(),
        }
    }

    /// Publishes the weights and the document; answers the whole digest.
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
            .send_json(Method::POST, &url, &publication, ANSWER_WAIT_MS)
            .await
            .map_err(failed)?;
        let manifest = OriginClient::new(&self.origin_url)
            .fetch_manifest(MODEL, VERSION)
            .await
            .map_err(|error| CliError::Failed(error.to_string()))?;
        self.edit_document(published.manifest, replicas).await?;
        Ok(manifest.whole)
    }

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
            self.edit(&section, body).await?;
        }
        Ok(())
    }

    /// Sends one edit, again until the entry is ready to take it.
    async fn edit(&self, section: &str, body: String) -> Result<(), CliError> {
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
            let sent = HttpClient::send_and_read(request, edit.to_string(), ANSWER_WAIT_MS).await;
            match sent {
                Ok(_) => return Ok(()),
                Err(LinkError::Status { status, .. })
                    if status == NOT_READY && started.elapsed() < READY_LIMIT => {}
                Err(error) => return Err(failed(error)),
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Shows the burst until `hosts` hosts serve the model.
    pub async fn watch_burst(&self, hosts: u32) -> Result<(), CliError> {
        let bar = progress_bar(hosts);
        let started = Instant::now();
        loop {
            let view = self.status().await;
            let serving = view.map_or(0, |view| show(&bar, &view));
            if serving >= hosts {
                bar.finish();
                return Ok(());
            }
            if started.elapsed() > Duration::from_millis(BURST_LIMIT_MS) {
                bar.abandon();
                let reason = format!("the model was not on {hosts} hosts in {BURST_LIMIT_MS} ms");
                return Err(CliError::Failed(reason));
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// What the entry knows, unless it does not answer yet.
    async fn status(&self) -> Option<StatusView> {
        let url = format!("{}/v1/status", self.entry_url);
        let request = self.http.request(Method::GET, &url).bearer_auth(TEAM_TOKEN);
        let answer = HttpClient::send_and_read(request, Bytes::new(), ANSWER_WAIT_MS).await;
        serde_json::from_slice(&answer.ok()?).ok()
    }

    /// Bytes of chunks that the origin has sent.
    pub async fn origin_bytes(&self) -> Result<u64, CliError> {
        let url = format!("{}/stats", self.origin_url);
        let stats: OriginStats = self
            .http
            .get_json(&url, ANSWER_WAIT_MS)
            .await
            .map_err(failed)?;
        Ok(stats.chunk_bytes_sent)
    }
}

fn progress_bar(hosts: u32) -> ProgressBar {
    let bar = ProgressBar::new(u64::from(hosts) * PERCENT);
    let style = ProgressStyle::with_template("model {bar:40} {percent}% {msg}")
        .expect("the template is well formed");
    bar.set_style(style);
    bar
}

/// Moves the bar and answers how many hosts serve the model.
fn show(bar: &ProgressBar, view: &StatusView) -> u32 {
    let present: u64 = view
        .hosts
        .iter()
        .flat_map(|host| &host.versions)
        .filter(|served| served.model == MODEL)
        .map(|served| u64::from(served.present_percent))
        .sum();
    bar.set_position(present);
    let serving = view
        .models
        .iter()
        .find(|model| model.name == MODEL)
        .map_or(0, |model| model.serving);
    bar.set_message(format!("{serving} hosts serve"));
    serving
}

fn failed(error: LinkError) -> CliError {
    CliError::Failed(error.to_string())
}
