use std::fs;
use std::future::Future;
use std::path::PathBuf;

use actix_web::http::Method;
use clap::Args;
use clap::Subcommand;
use serde_json::json;

use super::CliError;
use super::OperatorArgs;
use super::admin_client::AdminClient;
use super::admin_client::percent_encode;
use super::admin_client::section_path;
use super::admin_client::to_cli_error;
use crate::calls::Nonce;
use crate::document::EditOutcome;
use crate::entry::admin::AcceptedAnswer;
use crate::entry::admin::DeleteBody;
use crate::entry::admin::DiffAnswer;
use crate::entry::admin::DocumentAnswer;
use crate::entry::admin::HistoryAnswer;
use crate::entry::admin::InForceAnswer;
use crate::entry::admin::PutBody;
use crate::entry::admin::SectionAnswer;
use crate::links::LinkError;

/// Maximum number of sends of an edit whose outcome stays unknown.
const MAX_ATTEMPTS: usize = 3;

/// HTTP status of an edit whose outcome is unknown.
const STATUS_OUTCOME_UNKNOWN: u16 = 504;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1000;

/// Arguments of `config`.
#[derive(Debug, Args)]
pub struct ConfigArgs {
    /// Subcommand to run.
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Print the complete document, or a list of its sections with their revisions.
    Show {
        /// Entry and token to use.
        #[command(flatten)]
        operator: OperatorArgs,
        /// List only the revision, team and name of each section.
        #[arg(long)]
        sections: bool,
    },
    /// Print one section, and its revision on standard error.
    Get {
        /// Entry and token to use.
        #[command(flatten)]
        operator: OperatorArgs,
        /// Full name of the section, such as "model chat".
        section: String,
    },
    /// Replace, create or delete one section.
    Edit(EditArgs),
    /// Validate a file and compare it with the section in force.
    Diff {
        /// Entry and token to use.
        #[command(flatten)]
        operator: OperatorArgs,
        /// Full name of the section, such as "model chat".
        section: String,
        /// File with the section's `key = value` lines.
        #[arg(long, value_name = "FILE")]
        file: PathBuf,
    },
    /// Print accepted and conflicting edits, latest first.
    History {
        /// Entry and token to use.
        #[command(flatten)]
        operator: OperatorArgs,
        /// Print only edits of this section.
        #[arg(long, value_name = "NAME")]
        section: Option<String>,
        /// Maximum number of edits to print.
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
    /// Wait until a revision is in force on every process.
    Wait {
        /// Entry and token to use.
        #[command(flatten)]
        operator: OperatorArgs,
        /// Revision to wait for, as printed by `edit`.
        revision: u64,
        /// Maximum time to wait, in seconds.
        #[arg(long, default_value_t = 20)]
        timeout_s: u64,
    },
}

#[derive(Debug, Args)]
struct EditArgs {
    /// Entry and token to use.
    #[command(flatten)]
    operator: OperatorArgs,
    /// Full name of the section, such as "model chat".
    section: String,
    /// File with the section's `key = value` lines.
    #[arg(long, value_name = "FILE", required_unless_present = "delete")]
    file: Option<PathBuf>,
    /// Delete the section.
    #[arg(long, conflicts_with = "file")]
    delete: bool,
    /// Revision the edit is based on [default: the section's current revision].
    #[arg(long, value_name = "REVISION")]
    base: Option<u64>,
    /// Id of an earlier edit, to send that edit again.
    #[arg(long, value_name = "ID", requires = "base")]
    edit_id: Option<String>,
}

impl ConfigCommand {
    fn operator(&self) -> &OperatorArgs {
        match self {
            Self::Show { operator, .. }
            | Self::Get { operator, .. }
            | Self::Edit(EditArgs { operator, .. })
            | Self::Diff { operator, .. }
            | Self::History { operator, .. }
            | Self::Wait { operator, .. } => operator,
        }
    }
}

/// Runs `config`.
///
/// # Errors
///
/// [`CliError`] when the token or a file is missing, or the entry refuses the request.
pub fn run(args: ConfigArgs) -> Result<(), CliError> {
    let command = args.command;
    let client = AdminClient::new(command.operator().clone())?;
    match command {
        ConfigCommand::Show { sections, .. } => block_on(show_document(&client, sections)),
        ConfigCommand::Get { section, .. } => block_on(get_section(&client, &section)),
        ConfigCommand::Edit(edit_args) => block_on(edit_section(&client, edit_args)),
        ConfigCommand::Diff { section, file, .. } => {
            block_on(diff_section(&client, &section, file))
        }
        ConfigCommand::History { section, limit, .. } => {
            block_on(show_history(&client, section.as_deref(), limit))
        }
        ConfigCommand::Wait {
            revision,
            timeout_s,
            ..
        } => block_on(wait_in_force(&client, revision, timeout_s)),
    }
}

fn block_on(work: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    actix_rt::System::new().block_on(work)
}

async fn show_document(client: &AdminClient, only_sections: bool) -> Result<(), CliError> {
    let answer: DocumentAnswer = client.get("/v1/config", 0).await.map_err(to_cli_error)?;
    if only_sections {
        for section in &answer.sections {
            println!("{}\t{}\t{}", section.revision, section.team, section.name);
        }
    } else {
        print!("{}", answer.document);
    }
    eprintln!("offset {}, {}", answer.offset, answer.admission);
    for part in &answer.inert {
        eprintln!("no effect: {part}");
    }
    Ok(())
}

/// Fetches a section; the answer has a revision even if the section does not exist.
pub(super) async fn read_section(
    client: &AdminClient,
    name: &str,
) -> Result<SectionAnswer, CliError> {
    let path = section_path(name);
    client.get(&path, 0).await.map_err(to_cli_error)
}

async fn get_section(client: &AdminClient, name: &str) -> Result<(), CliError> {
    let answer = read_section(client, name).await?;
    let Some(section) = answer.section else {
        let revision = answer.revision;
        let reason =
            format!("section [{name}] does not exist; create it with base revision {revision}");
        return Err(CliError::Failed(reason));
    };
    println!("{}", section.body.trim_end());
    eprintln!("revision {} by team {}", section.revision, section.team);
    Ok(())
}

async fn edit_section(client: &AdminClient, args: EditArgs) -> Result<(), CliError> {
    let body = args.file.map(read_body).transpose()?;
    let base_revision = match args.base {
        Some(base) => base,
        None => read_section(client, &args.section).await?.revision,
    };
    let edit_id = args.edit_id.unwrap_or_else(|| Nonce::random().to_string());
    eprintln!("edit id {edit_id}, base revision {base_revision}");
    let accepted = submit_edit(
        client,
        &args.section,
        &edit_id,
        base_revision,
        body.as_deref(),
    );
    println!("accepted, revision {}", accepted.await?.revision);
    Ok(())
}

/// Submits an edit; sends it again with the same id while its outcome is unknown.
///
/// A repeated id gets its first outcome, so that no edit is applied twice.
pub(super) async fn submit_edit(
    client: &AdminClient,
    section: &str,
    edit_id: &str,
    base_revision: u64,
    body: Option<&str>,
) -> Result<AcceptedAnswer, CliError> {
    let mut attempts = 1;
    loop {
        match send_edit(client, section, edit_id, base_revision, body).await {
            Err(error) if attempts < MAX_ATTEMPTS && is_outcome_unknown(&error) => attempts += 1,
            result => return result.map_err(to_cli_error),
        }
    }
}

/// Sends an edit once; no `body` deletes the section.
async fn send_edit(
    client: &AdminClient,
    section: &str,
    edit_id: &str,
    base_revision: u64,
    body: Option<&str>,
) -> Result<AcceptedAnswer, LinkError> {
    let path = section_path(section);
    let edit_id = edit_id.to_owned();
    match body {
        Some(body) => {
            let body = PutBody {
                edit_id,
                base_revision,
                body: body.to_owned(),
            };
            client.send(Method::PUT, &path, Some(&body), 0).await
        }
        None => {
            let body = DeleteBody {
                edit_id,
                base_revision,
            };
            client.send(Method::DELETE, &path, Some(&body), 0).await
        }
    }
}

/// Whether the edit may have been decided although no answer says so.
///
/// Such an edit is safe to send again under the same id.
fn is_outcome_unknown(error: &LinkError) -> bool {
    match error {
        LinkError::Broken(_) | LinkError::Timeout { .. } => true,
        LinkError::Status { status, .. } => *status == STATUS_OUTCOME_UNKNOWN,
        LinkError::NotSent(_) | LinkError::Malformed(_) => false,
    }
}

async fn diff_section(client: &AdminClient, name: &str, file: PathBuf) -> Result<(), CliError> {
    let body = json!({ "body": read_body(file)? });
    let path = format!("{}/diff", section_path(name));
    let answer: DiffAnswer = client
        .send(Method::POST, &path, Some(&body), 0)
        .await
        .map_err(to_cli_error)?;
    for change in &answer.changes {
        if let Some(before) = &change.before {
            println!("- {} = {before}", change.key);
        }
        if let Some(after) = &change.after {
            println!("+ {} = {after}", change.key);
        }
    }
    eprintln!("compared with revision {}", answer.revision);
    if answer.faults.is_empty() {
        return Ok(());
    }
    let faults: Vec<String> = answer.faults.iter().map(ToString::to_string).collect();
    Err(CliError::Failed(faults.join("\n")))
}

async fn show_history(
    client: &AdminClient,
    section: Option<&str>,
    limit: usize,
) -> Result<(), CliError> {
    let mut path = format!("/v1/config/history?limit={limit}");
    if let Some(section) = section {
        path.push_str(&format!("&section={}", percent_encode(section)));
    }
    let answer: HistoryAnswer = client.get(&path, 0).await.map_err(to_cli_error)?;
    for entry in &answer.edits {
        let decision = match entry.outcome {
            EditOutcome::Accepted { revision, .. } => format!("accepted as {revision}"),
            EditOutcome::Conflict { revision, .. } => format!("conflict with {revision}"),
        };
        println!(
            "{}\t{}\t{}\t{}\tfrom {}\t{decision}",
            entry.outcome.offset(),
            entry.team,
            entry.section,
            entry.edit_id,
            entry.base_revision
        );
    }
    Ok(())
}

async fn wait_in_force(
    client: &AdminClient,
    revision: u64,
    timeout_s: u64,
) -> Result<(), CliError> {
    let wait_ms = timeout_s.saturating_mul(MS_PER_S);
    let path = format!("/v1/config/wait?revision={revision}&wait_ms={wait_ms}");
    let answer: InForceAnswer = client.get(&path, wait_ms).await.map_err(to_cli_error)?;
    let summary = format!(
        "in force on {} of {} processes",
        answer.in_force, answer.processes
    );
    if answer.lacking.is_empty() {
        println!("{summary}");
        return Ok(());
    }
    let reason = format!("{summary}; not on {}", answer.lacking.join(", "));
    Err(CliError::Failed(reason))
}

fn read_body(path: PathBuf) -> Result<String, CliError> {
    fs::read_to_string(&path)
        .map_err(|error| CliError::Invalid(format!("{}: {error}", path.display())))
}
