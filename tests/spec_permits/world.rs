use crate::fixture::EPOCH_MS;
use crate::fixture::FIRST_INCARNATION;
use crate::fixture::NONCE;
use crate::fixture::answer;
use crate::fixture::nonce;
use crate::fixture::permit;
use crate::fixture::table;
use crate::messages::GONE;
use crate::messages::Message;
use crate::messages::Told;
use crate::rules::Bounds;
use crate::rules::Rule;
use bergamotfork::calls::Asked;
use bergamotfork::calls::Begin;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::Dispatch;
use bergamotfork::calls::DispatchLedger;
use bergamotfork::calls::PermitTable;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::SendFacts;
use bergamotfork::calls::verdict;
use bergamotfork::weights::Digest;

const ENTRIES: usize = 2;

/// One send in progress at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Handler {
    entry: usize,
    send_no: u32,
    // Dispatches counted at the time of sending, for the rule taken out.
    count_at_send: Option<u32>,
    asked: bool,
    open: bool,
}

/// One state of callers, entries, endpoint and messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    without: Option<Rule>,
    left: Bounds,
    now_ms: u64,
    latest_send: u32,
    // Sends whose answer reached the caller, one bit each.
    heard: u32,
    told_not_run: bool,
    answered: bool,
    ledgers: Vec<DispatchLedger>,
    handlers: Vec<Handler>,
    messages: Vec<Message>,
    incarnation: u64,
    table: PermitTable,
    running: bool,
    joined: Vec<usize>,
    runs: u32,
}

impl World {
    pub fn new(without: Option<Rule>, bounds: Bounds) -> Self {
        let mut ledgers = vec![DispatchLedger::new(4); ENTRIES];
        ledgers[0].issue(NONCE.into());
        if without == Some(Rule::IssuedHere) {
            ledgers[1].issue(NONCE.into());
        }
        Self {
            without,
            left: bounds,
            now_ms: 0,
            latest_send: 0,
            heard: 0,
            told_not_run: false,
            answered: false,
            ledgers,
            handlers: Vec::new(),
            messages: Vec::new(),
            incarnation: FIRST_INCARNATION,
            table: table(FIRST_INCARNATION, 0),
            running: false,
            joined: Vec::new(),
            runs: 0,
        }
    }

    /// The two promises: at most one execution, and "not run" only of a call that never runs.
    pub fn is_violated(&self) -> bool {
        self.runs > 1 || (self.told_not_run && self.runs > 0)
    }

    pub fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.caller_sends(&mut next);
        self.messages_arrive(&mut next);
        self.handlers_ask(&mut next);
        self.call_finishes(&mut next);
        self.restarts_happen(&mut next);
        next.iter_mut().for_each(Self::tidy);
        next
    }

    /// Brings states that differ only in order or in what no longer matters to one form.
    fn tidy(&mut self) {
        if self.told_not_run || self.answered {
            // The caller hears nothing more, so only calls on their way matter.
            self.handlers
                .iter_mut()
                .for_each(|handler| handler.open = false);
            self.messages
                .retain(|message| !matches!(message, Message::Ask { .. }));
        }
        let mut order: Vec<usize> = (0..self.handlers.len())
            .filter(|&at| self.handlers[at].open)
            .collect();
        order.sort_by_key(|&at| self.handlers[at]);
        let renumber = |at: usize| order.iter().position(|&old| old == at).unwrap_or(GONE);
        for message in &mut self.messages {
            match message {
                Message::Send { .. } => {}
                Message::Call { handler }
                | Message::Ask { handler }
                | Message::Reply { handler, .. } => *handler = renumber(*handler),
            }
        }
        self.messages
            .retain(|message| !matches!(message, Message::Reply { handler: GONE, .. }));
        self.messages.sort();
        for handler in &mut self.joined {
            *handler = renumber(*handler);
        }
        self.joined.retain(|&handler| handler != GONE);
        self.joined.sort();
        self.handlers = order.iter().map(|&at| self.handlers[at]).collect();
    }

    fn lacks(&self, rule: Rule) -> bool {
        self.without == Some(rule)
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn caller_sends(&self, next: &mut Vec<Self>) {
        if self.left.sends == 0 || self.told_not_run || self.answered {
            return;
        }
        let send_no = self.latest_send + 1;
        for entry in 0..ENTRIES {
            next.push(self.with(|world| {
                world.left.sends -= 1;
                world.latest_send = send_no;
                world.messages.push(Message::Send { entry, send_no });
            }));
        }
    }

    fn messages_arrive(&self, next: &mut Vec<Self>) {
        for at in 0..self.messages.len() {
            let message = self.messages[at].clone();
            let mut taken = self.clone();
            taken.messages.remove(at);
            taken.arrive(message.clone(), next);
            if self.left.doubled > 0 && self.may_double(&message) {
                let mut kept = self.clone();
                kept.left.doubled -= 1;
                kept.arrive(message, next);
            }
        }
    }

    fn may_double(&self, message: &Message) -> bool {
        match message {
            Message::Send { .. } => true,
            Message::Call { .. } => self.lacks(Rule::FreshConnection),
            Message::Ask { .. } | Message::Reply { .. } => false,
        }
    }

    fn arrive(self, message: Message, next: &mut Vec<Self>) {
        match message {
            Message::Send { entry, send_no } => self.entry_takes_in(entry, send_no, next),
            Message::Call { handler } => next.push(self.with(|world| world.call_arrives(handler))),
            Message::Ask { handler } => next.push(self.with(|world| world.ask_arrives(handler))),
            Message::Reply { handler, answer } => self.entry_concludes(handler, answer, next),
        }
    }

    /// The entry dispatches the call, or refuses it.
    fn entry_takes_in(self, entry: usize, send_no: u32, next: &mut Vec<Self>) {
        let handler = self.handlers.len();
        let mut world = self.clone();
        world.handlers.push(Handler {
            entry,
            send_no,
            count_at_send: None,
            asked: false,
            open: true,
        });
        let refused = Told::Closed(RefusalReason::Overloaded);
        world.clone().entry_concludes(handler, refused, next);
        match world.ledgers[entry].dispatch(nonce(), send_no) {
            Dispatch::Go => {
                if world.lacks(Rule::CountAtAnswer) {
                    let facts = world.ledgers[entry].facts(nonce(), send_no);
                    world.handlers[handler].count_at_send = facts.dispatches;
                }
                world.messages.push(Message::Call { handler });
                next.push(world);
            }
            Dispatch::Closed(reason) => {
                world.entry_concludes(handler, Told::Closed(reason), next);
            }
        }
    }

    fn call_arrives(&mut self, handler: usize) {
        let mut permit = permit();
        if self.lacks(Rule::Incarnation) {
            permit.incarnation = self.incarnation;
        }
        if self.lacks(Rule::Epoch) {
            permit.epoch = self.table.epoch();
        }
        let request = Digest::of_bytes(b"request");
        let told = match self.table.begin(&permit, request, self.now_ms) {
            Begin::Run => {
                self.running = true;
                self.runs += 1;
                self.joined.push(handler);
                return;
            }
            Begin::Join => {
                self.joined.push(handler);
                return;
            }
            Begin::Done(_) => Told::Answer,
            Begin::Refused { reason, .. } => Told::NotRun(reason),
            Begin::Unknown(reason) => Told::ArrivedUnknown(reason),
        };
        self.send_reply(handler, told);
    }

    fn ask_arrives(&mut self, handler: usize) {
        let before = self.table.clone();
        let told = match self
            .table
            .ask(&permit(), RefusalReason::Withdrawn, self.now_ms)
        {
            Asked::NotRun(reason) => Told::NotRun(reason),
            Asked::Done(_) => Told::Answer,
            Asked::Unknown(reason) if self.lacks(Rule::AskedApart) => Told::ArrivedUnknown(reason),
            Asked::Unknown(reason) => Told::AskedUnknown(reason),
            Asked::Running => {
                self.joined.push(handler);
                return;
            }
        };
        if self.lacks(Rule::Tombstone) {
            self.table = before;
        }
        self.send_reply(handler, told);
    }

    fn send_reply(&mut self, handler: usize, answer: Told) {
        self.messages.push(Message::Reply { handler, answer });
    }

    /// The entry tells the caller, or asks for the nonce where it could not dispatch.
    fn entry_concludes(mut self, handler: usize, told: Told, next: &mut Vec<Self>) {
        let Handler { entry, send_no, .. } = self.handlers[handler];
        let ledger = &mut self.ledgers[entry];
        let mut facts = ledger.facts(nonce(), send_no);
        if self.without == Some(Rule::CountAtAnswer) {
            facts.dispatches = self.handlers[handler].count_at_send.or(facts.dispatches);
        }
        if self.without == Some(Rule::SendOne) {
            facts = SendFacts {
                send_no: 1,
                latest_send: 1,
                ..facts
            };
        }
        let reply = told.reply();
        let outcome = match self.without {
            Some(Rule::CountAtAnswer | Rule::SendOne | Rule::ClosedAtEntry) => {
                verdict(reply, facts)
            }
            _ => ledger.conclude(nonce(), send_no, reply),
        };
        if matches!(outcome, CallOutcome::Unknown { .. }) {
            if matches!(told, Told::Closed(_)) && self.left.questions > 0 {
                next.push(self.with(|world| world.ask(handler)));
            }
            self.handlers[handler].open = false;
            next.push(self);
            return;
        }
        self.handlers[handler].open = false;
        next.push(self.with(|world| world.caller_hears(send_no, &outcome)));
        next.push(self);
    }

    fn ask(&mut self, handler: usize) {
        self.left.questions -= 1;
        self.handlers[handler].asked = true;
        self.messages.push(Message::Ask { handler });
    }

    fn caller_hears(&mut self, send_no: u32, outcome: &CallOutcome) {
        self.heard |= 1 << send_no;
        if send_no != self.latest_send && !self.lacks(Rule::LatestSend) {
            return;
        }
        match outcome {
            CallOutcome::Answer(_) => self.answered = true,
            CallOutcome::NotRun { .. } => self.told_not_run = true,
            CallOutcome::Unknown { .. } => {}
        }
    }

    /// An entry takes the connection for silent and asks for the nonce over a new one.
    fn handlers_ask(&self, next: &mut Vec<Self>) {
        if self.left.questions == 0 {
            return;
        }
        for (handler, state) in self.handlers.iter().enumerate() {
            if !state.asked {
                next.push(self.with(|world| world.leave_connection(handler)));
            }
        }
    }

    fn leave_connection(&mut self, handler: usize) {
        let is_reply = |message: &Message| matches!(message, Message::Reply { handler: of, .. } if *of == handler);
        self.messages.retain(|message| !is_reply(message));
        self.joined.retain(|&waiting| waiting != handler);
        for message in &mut self.messages {
            if *message == (Message::Call { handler }) {
                *message = Message::Call { handler: GONE };
            }
        }
        self.ask(handler);
    }

    fn call_finishes(&self, next: &mut Vec<Self>) {
        if !self.running {
            return;
        }
        next.push(self.with(|world| {
            world.running = false;
            world.table.finish(&permit(), answer());
            for handler in std::mem::take(&mut world.joined) {
                world.send_reply(handler, Told::Answer);
            }
        }));
    }

    fn restarts_happen(&self, next: &mut Vec<Self>) {
        if self.left.restarts == 0 {
            return;
        }
        let spent = self.with(|world| world.left.restarts -= 1);
        next.push(spent.with(World::endpoint_restarts));
        next.push(spent.with(|world| {
            world.now_ms += EPOCH_MS;
            world.table.turn(world.now_ms);
        }));
        for entry in 0..ENTRIES {
            next.push(spent.with(|world| world.entry_restarts(entry)));
        }
    }

    fn endpoint_restarts(&mut self) {
        self.incarnation += 1;
        self.table = table(self.incarnation, self.now_ms);
        self.running = false;
        self.joined.clear();
    }

    fn entry_restarts(&mut self, entry: usize) {
        self.ledgers[entry] = DispatchLedger::new(4);
        if self.lacks(Rule::IssuedHere) {
            self.ledgers[entry].issue(nonce());
        }
        let heard = self.heard;
        self.messages.retain(|message| {
            // Copies of an answered request die with their connection: no client sends those again.
            !matches!(message, Message::Send { entry: to, send_no } if *to == entry && heard & (1 << send_no) != 0)
        });
        for handler in 0..self.handlers.len() {
            if self.handlers[handler].entry == entry {
                self.handlers[handler].open = false;
            }
        }
    }
}
