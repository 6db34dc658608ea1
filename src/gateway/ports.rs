use std::fmt;
use std::future::Future;
use std::time::Duration;

use crate::fleet::Catalog;
use crate::fleet::LedgerRecord;
use crate::fleet::ReplicaRecord;
use crate::fleet::Topic;
use crate::http1::RequestHead;
use crate::http1::ResponseHead;

/// How a client identifies itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Credential {
    /// No key was sent.
    Missing,
    /// A key of the expected scheme.
    Key(String),
    /// Something else.
    Unreadable,
}

/// What the headers of a request say.
#[derive(Debug, Clone)]
pub struct RequestFacts {
    /// Identity of this attempt of the client.
    pub attempt_id: String,
    /// Time that the client will wait.
    pub deadline_ms: Option<u64>,
    /// Key of the client.
    pub credential: Credential,
    /// Model that is to answer.
    pub model: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have at most.
    pub max_answer_tokens: u32,
    /// Event after which a stream is to go on.
    pub last_event_id: Option<u64>,
}

/// What a send to a replica adds to the client's headers.
#[derive(Debug, Clone)]
pub struct SendFacts<'a> {
    /// Identity of the replica that may run it.
    pub replica_id: &'a str,
    /// Time left for the answer.
    pub left_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Event after which a stream is to go on.
    pub last_event_id: Option<u64>,
    /// Version of the weights that must answer.
    pub weights_version: Option<u64>,
    /// Urgency at an engine, 0 to 9, 0 first.
    pub urgency: Option<u8>,
}

/// What the head of a replica's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseFacts {
    /// Identity of the attempt that it answers.
    pub attempt_id: Option<String>,
    /// Whether it bears the replica's signature.
    pub is_signed: bool,
    /// Whether the replica states that the request did not run.
    pub is_not_run: bool,
    /// Whether the replica is not the expected one, or its weights are not.
    pub is_misdirected: bool,
    /// Identity of the replica that answers, where it names itself.
    pub replica_id: Option<String>,
    /// Whether the body is encoded, which no replica does.
    pub is_encoded: bool,
}

/// A client's question where to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Region of the client.
    pub region: String,
    /// Failure domain of the client.
    pub failure_domain: String,
}

/// The wire between clients, entries and replicas.
pub trait Dialect {
    /// Reads the headers of a request.
    fn request_facts(&self, head: &RequestHead) -> RequestFacts;
    /// Whether a client's header line goes on to the replica as it is.
    fn is_forwarded_header(&self, name: &str) -> bool;
    /// Appends the header lines that a send adds.
    fn write_send_headers(&self, facts: &SendFacts<'_>, out: &mut Vec<u8>);
    /// Reads the head of an answer.
    fn response_facts(&self, head: &ResponseHead) -> ResponseFacts;
    /// Reads a question to the directory; None when it is not one.
    fn directory_query(&self, head: &RequestHead) -> Option<DirectoryQuery>;
    /// Body of the directory's answer.
    fn directory_body(&self, addresses: &[String], keep_s: u64) -> Vec<u8>;
    /// Whether a call asks for readiness.
    fn is_readiness_check(&self, head: &RequestHead) -> bool;
}

/// Why the platform's store did not answer as asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceError {
    /// No answer, or none that can be read.
    Unreachable(String),
    /// It refused with that status.
    Refused(u16),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "the store did not answer: {reason}"),
            Self::Refused(status) => write!(f, "the store refused with status {status}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// The newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Records, one a key.
    pub records: Vec<LedgerRecord>,
    /// Offset up to which every record is covered.
    pub end_offset: u64,
}

/// Records that followed an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopicRead {
    /// Records in order, and the offset after the last.
    Next {
        /// Records, oldest first; those that are no keyed records are left out.
        records: Vec<LedgerRecord>,
        /// Offset to go on from.
        next_offset: u64,
    },
    /// Some records are no longer kept: the listing must be read.
    Trimmed,
}

/// The keyed topics of the platform's store.
pub trait RecordSource {
    /// Reads the newest record of each key.
    fn listing(&mut self, topic: Topic) -> impl Future<Output = Result<Listing, SourceError>>;
    /// Reads records from `offset` on, and waits for the first up to `wait`.
    fn read(
        &mut self,
        topic: Topic,
        offset: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<TopicRead, SourceError>>;
    /// Appends a record to one of the system's own topics.
    fn publish(
        &mut self,
        topic: Topic,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), SourceError>>;
}

/// A record that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRecord {
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unreadable record: {}", self.reason)
    }
}

impl std::error::Error for InvalidRecord {}

/// A document of the operator.
#[derive(Debug, Clone)]
pub enum OperatorRecord {
    /// The whole configuration.
    Catalog(Box<Catalog>),
    /// Declaration of a version of weights.
    Weights {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// A document of another kind.
    Other,
}

/// Reads the values of records.
pub trait RecordDecoder {
    /// Reads a document of the operator.
    fn operator_record(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, InvalidRecord>;
    /// Reads the record of a replica.
    fn replica_record(&self, key: &str, value: &[u8]) -> Result<ReplicaRecord, InvalidRecord>;
}
