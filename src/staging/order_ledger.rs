use crate::staging::EngineReport;
use crate::staging::LoadOrder;

/// Time after its last send from which a call to the engine that got no answer counts as
/// lost, in ms. Platforms state no bound; orders that took effect twelve seconds late have
/// been seen.
pub(super) const UNANSWERED_CALL_EXPIRY_MS: i64 = 30_000;

/// An order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// The order as it was sent.
    pub order: LoadOrder,
    /// Start of the incarnation of the engine that it was sent to, in Unix ms.
    pub born_unix_ms: Option<u64>,
    /// Monotonic time at which it was first sent, in ms.
    pub first_sent_ms: i64,
    /// Monotonic time at which it was last sent, in ms.
    pub last_sent_ms: i64,
}

/// Why an open order can no longer take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine has accepted it, or another order with the same expected count.
    Counted,
    /// The engine has restarted.
    Restarted,
    /// It has not taken effect for a long time.
    Expired,
}

impl OrderEnd {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Counted => "counted",
            Self::Restarted => "restarted",
            Self::Expired => "expired",
        }
    }
}

/// Orders to the engine that got no answer, at most one for each model.
///
/// Such an order may be accepted at any time, and the engine then takes whatever is staged.
/// Each order names the number of orders that the engine must have accepted before. So the
/// engine accepts at most one of those sent with the same number, and none once its count
/// has risen. Until then the pieces of an open order stay staged, and it is sent again.
#[derive(Debug, Default)]
pub struct OrderLedger {
    open: Vec<OpenOrder>,
}

impl OrderLedger {
    /// Returns the version of the order for `model` that may still take effect.
    pub fn open_version(&self, model: &str) -> Option<u64> {
        let open = self.open.iter().find(|open| open.order.model == model)?;
        Some(open.order.version)
    }

    /// Returns whether pieces of `version` may be written to the staging area of `model`.
    pub fn may_write(&self, model: &str, version: u64) -> bool {
        self.open_version(model).is_none_or(|open| open == version)
    }

    /// Records an order that was sent at `now_ms` to the incarnation `born_unix_ms` and got
    /// no answer.
    pub fn record_unanswered(&mut self, order: LoadOrder, born_unix_ms: Option<u64>, now_ms: i64) {
        let known = self
            .open
            .iter_mut()
            .find(|open| open.order.model == order.model);
        match known {
            Some(open) if open.order == order && open.born_unix_ms == born_unix_ms => {
                open.last_sent_ms = now_ms;
            }
            Some(open) => *open = OpenOrder::new(order, born_unix_ms, now_ms),
            None => self.open.push(OpenOrder::new(order, born_unix_ms, now_ms)),
        }
    }

    /// Records that the engine has accepted an order, which rules out all open ones.
    pub fn record_accepted(&mut self) -> Vec<(OpenOrder, OrderEnd)> {
        let open = std::mem::take(&mut self.open);
        open.into_iter()
            .map(|open| (open, OrderEnd::Counted))
            .collect()
    }

    /// Compares the open orders with a report of the engine, and returns those that can no
    /// longer take effect.
    pub fn settle(&mut self, report: &EngineReport, now_ms: i64) -> Vec<(OpenOrder, OrderEnd)> {
        let mut ended = Vec::new();
        self.open.retain(|open| {
            let end = open.end(report, now_ms);
            ended.extend(end.map(|end| (open.clone(), end)));
            end.is_none()
        });
        ended
    }
}

impl OpenOrder {
    fn new(order: LoadOrder, born_unix_ms: Option<u64>, now_ms: i64) -> Self {
        Self {
            order,
            born_unix_ms,
            first_sent_ms: now_ms,
            last_sent_ms: now_ms,
        }
    }

    /// Returns why the order can no longer take effect; `None` if it can.
    fn end(&self, report: &EngineReport, now_ms: i64) -> Option<OrderEnd> {
        if report.born_unix_ms != self.born_unix_ms {
            Some(OrderEnd::Restarted)
        } else if report.orders > self.order.expected_orders {
            Some(OrderEnd::Counted)
        } else if now_ms - self.last_sent_ms >= UNANSWERED_CALL_EXPIRY_MS {
            Some(OrderEnd::Expired)
        } else {
            None
        }
    }
}
