use crate::staging::EngineReport;
use crate::staging::LoadOrder;
use crate::staging::StagedContent;

/// Time after its last send from which a call to the engine that got no answer counts as
/// lost, in ms. Platforms state no bound; orders that took effect twelve seconds late have
/// been seen.
pub(super) const UNANSWERED_CALL_EXPIRY_MS: i64 = 15_000;

/// An order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// The order as it was sent.
    pub order: LoadOrder,
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
    /// The engine has restarted under another id than the one that the order names.
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

/// Whether an earlier process on this host may have left an order that can still take
/// effect.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
enum EarlierOrders {
    /// The engine has not reported yet.
    #[default]
    Unreported,
    /// They may take effect, except for the models that are ruled out.
    Possible {
        /// Orders that the engine had accepted by its first report.
        orders: u64,
        /// Monotonic time of the first report, in ms.
        since_ms: i64,
        /// Models whose staged pieces show that nothing was ordered.
        ruled_out: Vec<String>,
    },
    /// None can take effect.
    Settled,
}

/// Orders to the engine that got no answer, at most one for each model, and those that an
/// earlier process on this host may have left.
///
/// Such an order may be accepted at any time, and the engine then takes whatever is staged.
/// Each order names the number of orders that the engine must have accepted before. So the
/// engine accepts at most one of those sent with the same number, and none while its count
/// is higher. Until then the pieces of an open order stay staged, and it is sent again. An
/// engine that restarts under the same id counts anew, but holds no weights, and refuses an
/// order that names a loaded version. One that names none fits it again; that is not covered
/// once the order has been ruled out.
#[derive(Debug, Default)]
pub struct OrderLedger {
    open: Vec<OpenOrder>,
    earlier: EarlierOrders,
}

impl OrderLedger {
    /// Returns the version of the order for `model` that may still take effect.
    pub fn open_version(&self, model: &str) -> Option<u64> {
        let open = self.open.iter().find(|open| open.order.model == model)?;
        Some(open.order.version)
    }

    /// Returns whether pieces of `version` may be written to the staging area of `model`.
    pub fn may_write(&self, model: &str, version: u64) -> bool {
        !self.may_have_earlier(model) && self.open_version(model).is_none_or(|open| open == version)
    }

    /// Returns whether an order for `model` that an earlier process on this host has given
    /// may still take effect.
    pub fn may_have_earlier(&self, model: &str) -> bool {
        match &self.earlier {
            EarlierOrders::Unreported => true,
            EarlierOrders::Possible { ruled_out, .. } => !ruled_out.iter().any(|m| m == model),
            EarlierOrders::Settled => false,
        }
    }

    /// Records what an earlier process has left in the staging area of `model`, of which the
    /// engine has loaded `loaded_version`.
    ///
    /// A later version that is staged may have been ordered: it counts as an open order. The
    /// loaded version and those before it are not ordered again.
    pub fn record_staged_content(
        &mut self,
        model: &str,
        content: StagedContent,
        loaded_version: u64,
    ) {
        let EarlierOrders::Possible {
            orders,
            since_ms,
            ruled_out,
        } = &mut self.earlier
        else {
            return;
        };
        if content == StagedContent::Unknown {
            return;
        }
        ruled_out.push(model.to_owned());
        if let StagedContent::Version(version) = content
            && version > loaded_version
        {
            let order = LoadOrder {
                model: model.to_owned(),
                version,
                expected_orders: *orders,
                expected_version: None,
                incarnation: None,
            };
            self.open.push(OpenOrder::new(order, *since_ms));
        }
    }

    /// Records an order that was sent at `now_ms` and got no answer.
    pub fn record_unanswered(&mut self, order: LoadOrder, now_ms: i64) {
        let known = self
            .open
            .iter_mut()
            .find(|open| open.order.model == order.model);
        match known {
            // Of several sends, the one that can take effect for the longest time counts.
            Some(open) => {
                let known = &mut open.order;
                known.expected_orders = known.expected_orders.max(order.expected_orders);
                if known.incarnation != order.incarnation {
                    known.incarnation = None;
                }
                open.last_sent_ms = now_ms;
            }
            None => self.open.push(OpenOrder::new(order, now_ms)),
        }
    }

    /// Records that the engine has accepted `order`, which rules out the open ones that expect
    /// no higher count.
    pub fn record_accepted(&mut self, order: &LoadOrder) -> Vec<(OpenOrder, OrderEnd)> {
        let is_counted = |open: &mut OpenOrder| open.order.expected_orders <= order.expected_orders;
        self.open
            .extract_if(.., is_counted)
            .map(|open| (open, OrderEnd::Counted))
            .collect()
    }

    /// Compares the open orders with a report of the engine, whose incarnation has the id
    /// `incarnation` if that is known, and returns those that can no longer take effect.
    pub fn settle(
        &mut self,
        report: &EngineReport,
        incarnation: Option<&str>,
        now_ms: i64,
    ) -> Vec<(OpenOrder, OrderEnd)> {
        self.settle_earlier(report, now_ms);
        let mut ended = Vec::new();
        self.open.retain(|open| {
            let end = open.end(report, incarnation, now_ms);
            ended.extend(end.map(|end| (open.clone(), end)));
            end.is_none()
        });
        ended
    }

    /// Compares the possible orders of an earlier process with a report of the engine.
    fn settle_earlier(&mut self, report: &EngineReport, now_ms: i64) {
        match &self.earlier {
            EarlierOrders::Unreported => {
                self.earlier = EarlierOrders::Possible {
                    orders: report.orders,
                    since_ms: now_ms,
                    ruled_out: Vec::new(),
                };
            }
            EarlierOrders::Possible {
                orders, since_ms, ..
            } => {
                if report.orders > *orders || now_ms - since_ms >= UNANSWERED_CALL_EXPIRY_MS {
                    self.earlier = EarlierOrders::Settled;
                }
            }
            EarlierOrders::Settled => {}
        }
    }
}

impl OpenOrder {
    fn new(order: LoadOrder, now_ms: i64) -> Self {
        Self {
            order,
            first_sent_ms: now_ms,
            last_sent_ms: now_ms,
        }
    }

    /// Returns why the order can no longer take effect; `None` if it can.
    ///
    /// An engine that has restarted under the same id counts anew, and may still accept it.
    fn end(
        &self,
        report: &EngineReport,
        incarnation: Option<&str>,
        now_ms: i64,
    ) -> Option<OrderEnd> {
        let named = self.order.incarnation.as_deref();
        if named.is_some() && incarnation.is_some() && named != incarnation {
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
