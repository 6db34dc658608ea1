use crate::weights::ExternalCallError;

/// An order to the engine to load the staged pieces of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Number of orders that the engine must have accepted so far; it refuses this one
    /// otherwise.
    pub expected_orders: u64,
    /// Version of the model that the engine must have loaded; it refuses this one otherwise.
    /// `None` for an engine without weights, or with those of another model beside it: the
    /// version is named without its model.
    pub expected_version: Option<u64>,
    /// Id of the incarnation that the pieces were checked at; any other one refuses the
    /// order. `None` while its record is unknown.
    pub incarnation: Option<String>,
}

/// How the engine answered an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It takes the staged pieces, or has loaded the version already.
    Accepted,
    /// It does not carry the order out; holds the error for the log.
    Refused(ExternalCallError),
    /// There was no answer: it may have accepted the order, or may accept it later.
    Unanswered(ExternalCallError),
}

impl OrderOutcome {
    /// Returns the name of the outcome in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused(_) => "refused",
            Self::Unanswered(_) => "unanswered",
        }
    }
}
