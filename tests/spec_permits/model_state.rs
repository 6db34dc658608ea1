use crate::fixture::EPOCH_MS;
use crate::fixture::FIRST_INCARNATION;
use crate::fixture::NONCE;
use crate::fixture::answer;
use crate::fixture::nonce;
use crate::fixture::permit;
use crate::fixture::table;
use crate::messages::CLOSED_HANDLER;
use crate::messages::Message;
use crate::messages::ReplyKind;
use crate::rules::Bounds;
use crate::rules::Rule;
use bergamotfork::calls::CallDecision;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::DispatchDecision;
use bergamotfork::calls::DispatchLedger;
use bergamotfork::calls::PermitHistory;
use bergamotfork::calls::PermitStatus;
use bergamotfork::calls::PermitTable;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::determine_outcome;
use bergamotfork::weights::Digest;

/// Number of entries.
const ENTRIES: usize = 2;

/// One send in progress at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Handler {
    entry: usize,
    send_no: u32,
    // Dispatches counted at the time of sending, used if `CountAtAnswer` is omitted.
    count_at_send: Option<u32>,
    has_queried: bool,
    is_open: bool,
}

/// One state of the caller, the entries, the endpoint and the messages on their way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelState {
    omitted_rule: Option<Rule>,
    remaining: Bounds,
    now_ms: u64,
    latest_send_no: u32,
    // Sends whose answer reached the caller, one bit each, by send number.
    answered_sends: u32,
    reported_not_run: bool,
    received_answer: bool,
    ledgers: Vec<DispatchLedger>,
    handlers: Vec<Handler>,
    messages: Vec<Message>,
    incarnation: u64,
    table: PermitTable,
    running: bool,
    // Handlers to which the running call will be answered.
    waiting_handlers: Vec<usize>,
    runs: u32,
}

impl ModelState {
    /// Start state: the first entry has issued the permit and nothing was sent.
    pub fn new(omitted_rule: Option<Rule>, bounds: Bounds) -> Self {
        let mut ledgers = vec![DispatchLedger::new(4); ENTRIES];
        ledgers[0].record_permit(NONCE.into());
        if omitted_rule == Some(Rule::OwnPermitsOnly) {
            ledgers[1].record_permit(NONCE.into());
        }
        Self {
            omitted_rule,
            remaining: bounds,
            now_ms: 0,
            latest_send_no: 0,
            answered_sends: 0,
            reported_not_run: false,
            received_answer: false,
            ledgers,
            handlers: Vec::new(),
            messages: Vec::new(),
            incarnation: FIRST_INCARNATION,
            table: table(FIRST_INCARNATION, 0),
            running: false,
            waiting_handlers: Vec::new(),
            runs: 0,
        }
    }

    /// Whether the call ran more than once, or ran and was reported as not run.
    pub fn is_violated(&self) -> bool {
        self.runs > 1 || (self.reported_not_run && self.runs > 0)
    }

    /// All states that can follow this one.
    pub fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.caller_sends(&mut next);
        self.deliver_messages(&mut next);
        self.handlers_query(&mut next);
        self.service_finishes(&mut next);
        self.restart_or_advance_epoch(&mut next);
        next.iter_mut().for_each(Self::normalize);
        next
    }

    /// Gives states that differ only in order, or in what no longer matters, the same form.
    fn normalize(&mut self) {
        if self.reported_not_run || self.received_answer {
            // The caller accepts no further answer, so only calls on their way matter.
            self.handlers
                .iter_mut()
                .for_each(|handler| handler.is_open = false);
            self.messages
                .retain(|message| !matches!(message, Message::Query { .. }));
        }
        let mut order: Vec<usize> = (0..self.handlers.len())
            .filter(|&at| self.handlers[at].is_open)
            .collect();
        order.sort_by_key(|&at| self.handlers[at]);
        let renumber = |at: usize| {
            order
                .iter()
                .position(|&old| old == at)
                .unwrap_or(CLOSED_HANDLER)
        };
        for message in &mut self.messages {
            match message {
                Message::Send { .. } => {}
                Message::Call { handler }
                | Message::Query { handler }
                | Message::Reply { handler, .. } => *handler = renumber(*handler),
            }
        }
        self.messages.retain(|message| {
            !matches!(
                message,
                Message::Reply {
                    handler: CLOSED_HANDLER,
                    ..
                }
            )
        });
        self.messages.sort();
        for handler in &mut self.waiting_handlers {
            *handler = renumber(*handler);
        }
        self.waiting_handlers
            .retain(|&handler| handler != CLOSED_HANDLER);
        self.waiting_handlers.sort();
        self.handlers = order.iter().map(|&at| self.handlers[at]).collect();
    }

    /// Whether `rule` is omitted from this exploration.
    fn omits(&self, rule: Rule) -> bool {
        self.omitted_rule == Some(rule)
    }

    /// A copy of this state with `change` applied.
    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn caller_sends(&self, next: &mut Vec<Self>) {
        if self.remaining.sends == 0 || self.reported_not_run || self.received_answer {
            return;
        }
        let send_no = self.latest_send_no + 1;
        for entry in 0..ENTRIES {
            next.push(self.with_change(|state| {
                state.remaining.sends -= 1;
                state.latest_send_no = send_no;
                state.messages.push(Message::Send { entry, send_no });
            }));
        }
    }

    fn deliver_messages(&self, next: &mut Vec<Self>) {
        for at in 0..self.messages.len() {
            let message = self.messages[at].clone();
            let mut delivered = self.clone();
            delivered.messages.remove(at);
            delivered.arrive(message.clone(), next);
            if self.remaining.duplicates > 0 && self.may_duplicate(&message) {
                let mut duplicated = self.clone();
                duplicated.remaining.duplicates -= 1;
                duplicated.arrive(message, next);
            }
        }
    }

    /// Whether a message may be delivered twice.
    fn may_duplicate(&self, message: &Message) -> bool {
        match message {
            Message::Send { .. } => true,
            Message::Call { .. } => self.omits(Rule::SingleDelivery),
            Message::Query { .. } | Message::Reply { .. } => false,
        }
    }

    fn arrive(self, message: Message, next: &mut Vec<Self>) {
        match message {
            Message::Send { entry, send_no } => self.entry_receives_call(entry, send_no, next),
            Message::Call { handler } => {
                next.push(self.with_change(|state| state.call_arrives(handler)))
            }
            Message::Query { handler } => {
                next.push(self.with_change(|state| state.query_arrives(handler)))
            }
            Message::Reply { handler, reply } => self.entry_finishes_send(handler, reply, next),
        }
    }

    /// The entry dispatches the call or refuses it.
    fn entry_receives_call(self, entry: usize, send_no: u32, next: &mut Vec<Self>) {
        let handler = self.handlers.len();
        let mut state = self.clone();
        state.handlers.push(Handler {
            entry,
            send_no,
            count_at_send: None,
            has_queried: false,
            is_open: true,
        });
        let refused = ReplyKind::NotSent(RefusalReason::Overloaded);
        state.clone().entry_finishes_send(handler, refused, next);
        match state.ledgers[entry].record_dispatch(nonce(), send_no) {
            DispatchDecision::Allowed => {
                if state.omits(Rule::CountAtAnswer) {
                    let history = state.ledgers[entry].permit_history(nonce(), send_no);
                    state.handlers[handler].count_at_send = history.dispatches;
                }
                state.messages.push(Message::Call { handler });
                next.push(state);
            }
            DispatchDecision::Closed(reason) => {
                state.entry_finishes_send(handler, ReplyKind::NotSent(reason), next);
            }
        }
    }

    fn call_arrives(&mut self, handler: usize) {
        let mut permit = permit();
        if self.omits(Rule::CheckedIncarnation) {
            permit.incarnation = self.incarnation;
        }
        if self.omits(Rule::CheckedEpoch) {
            permit.epoch = self.table.epoch();
        }
        let request = Digest::of_bytes(b"request");
        let reply = match self.table.begin_call(&permit, request, self.now_ms) {
            CallDecision::Run => {
                self.running = true;
                self.runs += 1;
                self.waiting_handlers.push(handler);
                return;
            }
            CallDecision::Join => {
                self.waiting_handlers.push(handler);
                return;
            }
            CallDecision::Ended(_) => ReplyKind::Answer,
            CallDecision::Refused { reason, .. } => ReplyKind::NotRun(reason),
            CallDecision::Unknown(reason) => ReplyKind::DispatchUnknown(reason),
        };
        self.send_reply(handler, reply);
    }

    fn query_arrives(&mut self, handler: usize) {
        let before = self.table.clone();
        let reply =
            match self
                .table
                .status_or_refuse(&permit(), RefusalReason::Withdrawn, self.now_ms)
            {
                PermitStatus::NotRun(reason) => ReplyKind::NotRun(reason),
                PermitStatus::Ended(_) => ReplyKind::Answer,
                PermitStatus::Unknown(reason) if self.omits(Rule::SeparateQueryResult) => {
                    ReplyKind::DispatchUnknown(reason)
                }
                PermitStatus::Unknown(reason) => ReplyKind::QueryUnknown(reason),
                PermitStatus::Running => {
                    self.waiting_handlers.push(handler);
                    return;
                }
            };
        if self.omits(Rule::Tombstone) {
            self.table = before;
        }
        self.send_reply(handler, reply);
    }

    fn send_reply(&mut self, handler: usize, reply: ReplyKind) {
        self.messages.push(Message::Reply { handler, reply });
    }

    /// The entry reports to the caller, or sends a status query if it could not dispatch.
    fn entry_finishes_send(mut self, handler: usize, reply: ReplyKind, next: &mut Vec<Self>) {
        let Handler { entry, send_no, .. } = self.handlers[handler];
        let ledger = &mut self.ledgers[entry];
        let mut history = ledger.permit_history(nonce(), send_no);
        if self.omitted_rule == Some(Rule::CountAtAnswer) {
            history.dispatches = self.handlers[handler].count_at_send.or(history.dispatches);
        }
        if self.omitted_rule == Some(Rule::FirstSendOnly) {
            history = PermitHistory {
                send_no: 1,
                latest_send_no: 1,
                ..history
            };
        }
        let result = reply.send_result();
        let outcome = match self.omitted_rule {
            Some(Rule::CountAtAnswer | Rule::FirstSendOnly | Rule::ClosedAfterNotRun) => {
                determine_outcome(result, history)
            }
            _ => ledger.finish_send(nonce(), send_no, result),
        };
        if matches!(outcome, CallOutcome::Unknown { .. }) {
            if matches!(reply, ReplyKind::NotSent(_)) && self.remaining.queries > 0 {
                next.push(self.with_change(|state| state.send_query(handler)));
            }
            self.handlers[handler].is_open = false;
            next.push(self);
            return;
        }
        self.handlers[handler].is_open = false;
        next.push(self.with_change(|state| state.caller_receives(send_no, &outcome)));
        next.push(self);
    }

    fn send_query(&mut self, handler: usize) {
        self.remaining.queries -= 1;
        self.handlers[handler].has_queried = true;
        self.messages.push(Message::Query { handler });
    }

    fn caller_receives(&mut self, send_no: u32, outcome: &CallOutcome) {
        self.answered_sends |= 1 << send_no;
        if send_no != self.latest_send_no && !self.omits(Rule::LatestSendOnly) {
            return;
        }
        match outcome {
            CallOutcome::Answer(_) => self.received_answer = true,
            CallOutcome::NotRun { .. } => self.reported_not_run = true,
            CallOutcome::Unknown { .. } => {}
        }
    }

    /// An entry gives up a silent connection and sends a status query over a new one.
    fn handlers_query(&self, next: &mut Vec<Self>) {
        if self.remaining.queries == 0 {
            return;
        }
        for (at, handler) in self.handlers.iter().enumerate() {
            if !handler.has_queried {
                next.push(self.with_change(|state| state.query_on_new_connection(at)));
            }
        }
    }

    /// Drops replies on the old connection; a call on it may still arrive at the endpoint.
    fn query_on_new_connection(&mut self, handler: usize) {
        let is_own_reply = |message: &Message| matches!(message, Message::Reply { handler: of, .. } if *of == handler);
        self.messages.retain(|message| !is_own_reply(message));
        self.waiting_handlers.retain(|&waiting| waiting != handler);
        for message in &mut self.messages {
            if *message == (Message::Call { handler }) {
                *message = Message::Call {
                    handler: CLOSED_HANDLER,
                };
            }
        }
        self.send_query(handler);
    }

    fn service_finishes(&self, next: &mut Vec<Self>) {
        if !self.running {
            return;
        }
        next.push(self.with_change(|state| {
            state.running = false;
            state.table.finish_call(&permit(), answer());
            for handler in std::mem::take(&mut state.waiting_handlers) {
                state.send_reply(handler, ReplyKind::Answer);
            }
        }));
    }

    fn restart_or_advance_epoch(&self, next: &mut Vec<Self>) {
        if self.remaining.restarts == 0 {
            return;
        }
        let restarted = self.with_change(|state| state.remaining.restarts -= 1);
        next.push(restarted.with_change(ModelState::endpoint_restarts));
        next.push(restarted.with_change(|state| {
            state.now_ms += EPOCH_MS;
            state.table.advance_epoch(state.now_ms);
        }));
        for entry in 0..ENTRIES {
            next.push(restarted.with_change(|state| state.entry_restarts(entry)));
        }
    }

    fn endpoint_restarts(&mut self) {
        self.incarnation += 1;
        self.table = table(self.incarnation, self.now_ms);
        self.running = false;
        self.waiting_handlers.clear();
    }

    fn entry_restarts(&mut self, entry: usize) {
        self.ledgers[entry] = DispatchLedger::new(4);
        if self.omits(Rule::OwnPermitsOnly) {
            self.ledgers[entry].record_permit(nonce());
        }
        let answered_sends = self.answered_sends;
        self.messages.retain(|message| {
            // Copies of an answered send are lost with their connection; no client resends them.
            !matches!(message, Message::Send { entry: to, send_no } if *to == entry && answered_sends & (1 << send_no) != 0)
        });
        for handler in 0..self.handlers.len() {
            if self.handlers[handler].entry == entry {
                self.handlers[handler].is_open = false;
            }
        }
    }
}
