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
    /// The engine has restarted, under another id or without the weights that the order names.
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
        /// Models that the engine had loaded by then, each with its version.
        weights: Vec<(String, u64)>,
        /// Models whose staged pieces or loaded version show that nothing can take effect.
        ruled_out: Vec<String>,
    },
    /// None can take effect.
    Settled,
}

/// Orders to the engine that got no answer, at most one for each model, and those that an
/// earlier process on this host may have left.
///
/// Such an order may be accepted at any time, and the engine then takes whatever is staged.
/// So the pieces of an open order stay staged. Each order names the number of orders that the
/// engine must have accepted before, and the version that it must have loaded. An engine
/// accepts at most one of those sent with the same number, and none while its count is
/// higher. If it restarts under the same id, it counts anew, but it holds no weights and
/// refuses an order that names some. Until an order that names a version is ruled out so, it
/// is sent again.
///
/// An order to an engine without weights fits each incarnation with that id. If two were
/// sent, and one of them accepted, the other might be accepted after a restart, with the
/// pieces of a later version. So only one is under way at any time, also across processes:
/// the next one is sent when it has expired. Once the engine has loaded its version, it has
/// been carried out.
#[derive(Debug, Default)]
pub struct OrderLedger {
    open: Vec<OpenOrder>,
    earlier: EarlierOrders,
    // Monotonic time by which an earlier process had ended, in ms.
    started_ms: i64,
}

impl OrderLedger {
    /// Creates the ledger of a process that started at `started_ms`.
    pub fn starting_at(started_ms: i64) -> Self {
        Self {
            started_ms,
            ..Self::default()
        }
    }

    /// Returns the monotonic time in ms from which an engine that has loaded `loaded_version`
    /// of `model` may be ordered to load it; `None` if it may be at any time.
    pub fn not_before_ms(&self, model: &str, loaded_version: u64) -> Option<i64> {
        if loaded_version != 0 {
            return None;
        }
        let open = self.open.iter().find(|open| open.order.model == model);
        let sent_ms = match (&self.earlier, open) {
            (_, Some(open)) if open.order.expected_version.is_some() => return None,
            (_, Some(open)) => open.last_sent_ms,
            (EarlierOrders::Unreported, None) => self.started_ms,
            (EarlierOrders::Possible { weights, .. }, None)
                if self.may_have_earlier(model) && expected_version(weights, model).is_none() =>
            {
                self.started_ms
            }
            (EarlierOrders::Possible { .. } | EarlierOrders::Settled, None) => return None,
        };
        Some(sent_ms + UNANSWERED_CALL_EXPIRY_MS)
    }

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
            weights,
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
                expected_version: expected_version(weights, model),
                incarnation: None,
            };
            self.open.push(OpenOrder::new(order, self.started_ms));
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
                known.expected_version = known
                    .expected_version
                    .zip(order.expected_version)
                    .map(|(known, sent)| known.max(sent));
                if known.incarnation != order.incarnation {
                    known.incarnation = None;
                }
                open.last_sent_ms = now_ms;
            }
            None => self.open.push(OpenOrder::new(order, now_ms)),
        }
    }

    /// Records that the engine has accepted `order`, which rules out the open ones that expect
    /// no higher count and name a loaded version.
    pub fn record_accepted(&mut self, order: &LoadOrder) -> Vec<(OpenOrder, OrderEnd)> {
        let is_counted = |open: &mut OpenOrder| {
            open.order.expected_version.is_some()
                && open.order.expected_orders <= order.expected_orders
        };
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
        if now_ms - self.started_ms >= UNANSWERED_CALL_EXPIRY_MS {
            self.earlier = EarlierOrders::Settled;
            return;
        }
        match &mut self.earlier {
            EarlierOrders::Unreported => {
                self.earlier = EarlierOrders::Possible {
                    orders: report.orders,
                    weights: report.weights.clone(),
                    ruled_out: Vec::new(),
                };
            }
            EarlierOrders::Possible {
                orders,
                weights,
                ruled_out,
            } => {
                let is_counted = report.orders > *orders;
                let loaded = report.weights.iter().filter(|(model, version)| {
                    *version != 0 && (is_counted || expected_version(weights, model).is_none())
                });
                ruled_out.extend(loaded.map(|weights| weights.0.clone()));
                ruled_out.sort_unstable();
                ruled_out.dedup();
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
        let order = &self.order;
        let named = order.incarnation.as_deref();
        let loaded_version = report.version(&order.model);
        let is_counted = match order.expected_version {
            Some(_) => report.orders > order.expected_orders,
            None => loaded_version == order.version,
        };
        // In one incarnation, versions don't go back, and change with the count only.
        let is_unfit = order.expected_version.is_some_and(|expected| {
            loaded_version > expected
                || loaded_version != expected && report.orders >= order.expected_orders
        });
        if named.is_some() && incarnation.is_some() && named != incarnation {
            Some(OrderEnd::Restarted)
        } else if is_counted {
            Some(OrderEnd::Counted)
        } else if is_unfit {
            Some(OrderEnd::Restarted)
        } else if now_ms - self.last_sent_ms >= UNANSWERED_CALL_EXPIRY_MS {
            Some(OrderEnd::Expired)
        } else {
            None
        }
    }
}

/// Returns the version that an order for `model` names when `weights` are loaded; `None` when
/// there is none.
fn expected_version(weights: &[(String, u64)], model: &str) -> Option<u64> {
    let loaded = weights.iter().find(|loaded| loaded.0 == model)?;
    (loaded.1 != 0).then_some(loaded.1)
}
