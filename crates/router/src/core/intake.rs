//! Taking a message: it is answered at once, joins what is open for it already, or becomes a new invocation.

use std::sync::Arc;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{
    Arrival, Effect, Event, FunctionIndex, FunctionInfo, InvocationIndex, Micros, TriggerType,
    WorkerIndex,
};

use super::finishing::AnswerSubject;
use super::functions::FunctionProfile;
use super::invocation::{Invocation, NO_CLAIM};
use super::timers::Timer;
use super::{Output, Router};
use crate::claims::ClaimIndex;
use crate::group::{self, Need, Part, Stage};
use crate::redelivery::{self, Record, Verdict};
use crate::tokens::{self, Seen};
use crate::{Answer, Delivery, Fate, Reason, Taken};

/// Why a message becomes no invocation of its own.
enum Resolution {
    /// It is answered at once.
    Answer(Answer),
    /// The same message was taken before.
    SameMessage(ClaimIndex),
    /// Another message with the same token is open; the answer is due to this one's client at `due`.
    SameToken { claim: ClaimIndex, due: Micros },
}

impl Resolution {
    fn bare(fate: Fate, reason: Reason) -> Self {
        Resolution::Answer(Answer::bare(fate, reason))
    }
}

/// What was decided of a message that becomes an invocation.
struct Acceptance {
    /// It asked for entry before it was taken.
    entered: bool,
    /// How long its client had waited.
    waited: Micros,
    /// When the final answer is due.
    gives_up_at: Micros,
    /// No dispatch may leave from then on.
    dispatch_until: Option<Micros>,
    token_key: Option<tokens::Key>,
    group_part: Option<Part>,
}

impl Router {
    /// Takes a message.
    pub(super) fn take(&mut self, message: Taken, out: &mut Vec<Output>) {
        self.counts.taken += 1;
        let entered = self.entered.body_arrived(message.delivery);
        match self.judge(&message, entered) {
            Ok(acceptance) => self.accept(message, acceptance, out),
            Err(resolution) => self.resolve(&message, resolution, out),
        }
    }

    /// Applies all checks, in an order that matters: what is known of the message comes before what it would
    /// cost.
    fn judge(&mut self, message: &Taken, entered: bool) -> Result<Acceptance, Resolution> {
        let trigger = self.triggers[message.trigger as usize];
        if let Some((fate, reason)) = message.refused {
            return Err(Resolution::bare(fate, reason));
        }
        let waited = message.waited.max(0);
        let timeout = message.client_timeout.min(trigger.client_timeout);
        let gives_up_at = self.now + timeout - waited - self.terms.answer_margin;
        let group_need = self.group_need(message, &trigger);
        let dispatch_within =
            self.check_redelivery(message, &trigger, waited, group_need.is_some())?;
        let token_key = self.check_token(message, gives_up_at)?;
        self.check_expiry(message, &trigger, gives_up_at)?;
        self.check_functions(message)?;
        self.check_limits(message, entered)?;
        let part = |(key, need)| Part {
            key,
            need,
            stage: Stage::Asked,
            answered: false,
        };
        Ok(Acceptance {
            entered,
            waited,
            gives_up_at,
            dispatch_until: dispatch_within.map(|left| self.now + left),
            token_key,
            group_part: group_need.map(part),
        })
    }

    /// What has to be agreed with the group; nothing without one.
    fn group_need(&self, message: &Taken, trigger: &TriggerType) -> Option<(group::Key, Need)> {
        self.terms.sharing.as_ref()?;
        group::need(message, trigger, self.terms.clock_margin)
    }

    /// Whether the message may run, if it was delivered before, and within which time its dispatches must
    /// leave.
    fn check_redelivery(
        &mut self,
        message: &Taken,
        trigger: &TriggerType,
        waited: Micros,
        shared: bool,
    ) -> Result<Option<Micros>, Resolution> {
        let (record, claim) = self.claims.known(message.identity.as_deref());
        let margin = self.terms.clock_margin;
        let verdict = match record {
            // The group may know more than is known here.
            Record::Nothing | Record::NeverRan if shared => Verdict::Take {
                dispatch_within: None,
            },
            // It was throttled here after its channel was lost. Before it came here again it may have run at
            // another router, which the group knows: the old answer must not be repeated.
            Record::Answered if shared && claim.is_some_and(|c| self.claims.withdrawn(c)) => {
                Verdict::Take {
                    dispatch_within: None,
                }
            }
            _ => redelivery::decide(record, message.redelivered, trigger.effect, waited, margin),
        };
        match (verdict, claim) {
            (Verdict::Join | Verdict::Repeat, Some(claim)) => Err(Resolution::SameMessage(claim)),
            (Verdict::Join | Verdict::Repeat, None) => Ok(None),
            (Verdict::Take { dispatch_within }, _) => Ok(dispatch_within),
            (Verdict::Refuse, _) => {
                self.counts.refused_redelivered += 1;
                Err(Resolution::bare(Fate::Errored, Reason::MayHaveRun))
            }
        }
    }

    /// The key of the message's token, unless it is a retry of what is open or was answered under the same
    /// one.
    fn check_token(
        &mut self,
        message: &Taken,
        due: Micros,
    ) -> Result<Option<tokens::Key>, Resolution> {
        let token = message
            .token
            .as_deref()
            .filter(|_| !self.terms.module_alone);
        let Some(token) = token else { return Ok(None) };
        let key = tokens::key(message.account, message.trigger, message.called(), token);
        match self.tokens.seen(self.now, &key) {
            Seen::Out(claim) => Err(Resolution::SameToken { claim, due }),
            Seen::Answered(answer) => {
                self.counts.remembered += 1;
                Err(Resolution::Answer(answer))
            }
            Seen::Nothing => Ok(Some(key)),
        }
    }

    /// Whether its client still waits. Its time may have run out while the message was queued at a broker; it
    /// is then never dispatched, but if it was delivered before it may have run.
    fn check_expiry(
        &self,
        message: &Taken,
        trigger: &TriggerType,
        gives_up_at: Micros,
    ) -> Result<(), Resolution> {
        if gives_up_at > self.now {
            return Ok(());
        }
        let may_have_run = message.redelivered && trigger.effect != Effect::Idempotent;
        let fate = if may_have_run {
            Fate::Errored
        } else {
            Fate::Throttled
        };
        Err(Resolution::bare(fate, Reason::Expired))
    }

    fn check_functions(&self, message: &Taken) -> Result<(), Resolution> {
        if self.functions.has_room_for(&message.function) {
            return Ok(());
        }
        Err(Resolution::bare(Fate::Errored, Reason::Functions))
    }

    /// Whether its account and its body are within the limits; if so, it counts against them from now on.
    fn check_limits(&mut self, message: &Taken, entered: bool) -> Result<(), Resolution> {
        let (front, account) = (message.delivery.front, message.account);
        if !entered {
            self.admission.came(self.now, front, account);
        }
        // Without this one account's flood fills the queue, and all other accounts' messages are late behind
        // it.
        let share_applies = !entered && !message.redelivered && !self.terms.module_alone;
        if share_applies && self.admission.beyond(self.now, front, account) {
            return Err(Resolution::bare(Fate::Throttled, Reason::Share));
        }
        if !self.admission.kept(message.body.len()) {
            let fate = if message.redelivered {
                Fate::Errored
            } else {
                Fate::Throttled
            };
            return Err(Resolution::bare(fate, Reason::Size));
        }
        if !entered {
            self.admission.entered(self.now, front, account);
        }
        Ok(())
    }

    fn resolve(&mut self, message: &Taken, resolution: Resolution, out: &mut Vec<Output>) {
        match resolution {
            Resolution::Answer(answer) => {
                let subject = AnswerSubject {
                    trigger: message.trigger,
                    account: message.account,
                    taken_at: self.now,
                };
                self.answer(message.delivery, answer, None, subject, out);
            }
            Resolution::SameMessage(claim) => self.rejoin(claim, message.delivery, out),
            Resolution::SameToken { claim, due } => self.join(claim, message.delivery, due, out),
        }
    }

    /// Makes the message an invocation, which the module is told of now or after the group's verdict.
    fn accept(&mut self, message: Taken, acceptance: Acceptance, out: &mut Vec<Output>) {
        let profile = FunctionProfile {
            account: message.account,
            copy_mb: message.copy_mb,
            lanes: message.lanes.max(1),
            trigger: message.trigger,
        };
        let func = self.functions.register(&message.function, profile);
        let delivery = message.delivery;
        let identity = message.identity.clone();
        let redelivered = message.redelivered;
        let group_part = acceptance.group_part.clone();
        let inv = self
            .invocations
            .insert(new_invocation(message, acceptance, func, self.now));
        let claim = self.open_claim(inv, identity, delivery);
        self.set_invocation_timers(inv);
        let Some(part) = group_part else {
            return self.admit(inv, out);
        };
        self.claims.share(claim, part.key.clone());
        self.announce(inv, &part, redelivered, out);
    }

    /// Opens the claim under which the invocation's answer is given, and notes its token.
    fn open_claim(
        &mut self,
        inv: InvocationIndex,
        identity: Option<Arc<str>>,
        delivery: Delivery,
    ) -> ClaimIndex {
        let Some(invocation) = self.invocations.get_mut(inv) else {
            return NO_CLAIM;
        };
        let client_gives_up_at = invocation.gives_up_at + self.terms.answer_margin;
        let claim = self
            .claims
            .open(identity, delivery, inv, client_gives_up_at);
        invocation.claim = claim;
        if let Some(key) = invocation.token_key.clone() {
            self.tokens.began(key, claim);
        }
        claim
    }

    fn set_invocation_timers(&mut self, inv: InvocationIndex) {
        let handle = self.handle_of(inv);
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        let (gives_up_at, dispatch_until) = (invocation.gives_up_at, invocation.dispatch_until);
        self.set_timer(gives_up_at, Timer::AnswerDue(handle));
        if let Some(until) = dispatch_until.filter(|&until| until < gives_up_at) {
            self.set_timer(until, Timer::DispatchWindowEnds(handle));
        }
    }

    /// Tells the module of the invocation.
    pub(super) fn admit(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(invocation) = self.invocations.get_mut(inv) else {
            return;
        };
        invocation.known_to_module = true;
        for watch in &mut self.watch {
            let mark = invocation.mark.as_deref();
            watch.taken(now, inv, invocation.front, mark, invocation.redelivered);
        }
        let Some(arrival) = self.arrival(inv) else {
            return;
        };
        if self.functions.meet(arrival.function)
            && let Some(worker) = arrival.preferred_worker
        {
            self.introduce_warm_function(worker, &arrival, out);
        }
        self.decide(&Event::Invocation(arrival), out);
        let held = self
            .invocations
            .get(inv)
            .is_some_and(|i| !i.concluded && i.dispatches.is_empty());
        self.counts.held += u64::from(held);
        self.release(inv, out);
    }

    /// What the module is told of the invocation.
    fn arrival(&self, inv: InvocationIndex) -> Option<Arrival> {
        let invocation = self.invocations.get(inv)?;
        Some(Arrival {
            invocation: inv,
            trigger: invocation.trigger,
            account: invocation.account,
            function: invocation.func,
            fingerprint: fingerprint(&invocation.function),
            cost_hint: invocation.cost_hint,
            load_hint: invocation.load_hint,
            copy_mb: invocation.copy_mb,
            lanes: invocation.lanes,
            client_timeout_in: invocation.gives_up_at - self.now,
            waited: invocation.waited + self.now - invocation.taken_at,
            repeat: invocation.repeat,
            preferred_worker: invocation
                .prefers
                .as_deref()
                .and_then(|name| self.workers.find(name)),
        })
    }

    /// Makes a function known to the module as standing at a worker, where the first invocation of it here
    /// belongs to a session that is warm there. Without this the module, which ignores reports on functions
    /// that it has not met, sends the invocation to another worker. It meets the function as wanted at that
    /// worker; the order that it gives for it does not leave, as another router has just told that the copy
    /// stands.
    fn introduce_warm_function(
        &mut self,
        worker: WorkerIndex,
        arrival: &Arrival,
        out: &mut Vec<Output>,
    ) {
        let asked = FunctionInfo {
            function: arrival.function,
            fingerprint: arrival.fingerprint,
            trigger: arrival.trigger,
            lanes: arrival.lanes,
        };
        let mut wanted = Vec::new();
        self.decide(
            &Event::CopyWanted {
                worker,
                function: asked,
            },
            &mut wanted,
        );
        for output in wanted {
            match output {
                Output::Order { ticket, .. } => self.order_stands_already(ticket, out),
                other => out.push(other),
            }
        }
        // The module may have given no order, and then does not believe the copy to stand yet.
        self.decide(
            &Event::CopiesReported {
                worker,
                function: arrival.function,
                copies: 1,
            },
            out,
        );
    }
}

fn new_invocation(
    message: Taken,
    acceptance: Acceptance,
    func: FunctionIndex,
    now: Micros,
) -> Invocation {
    Invocation {
        claim: NO_CLAIM,
        token_key: acceptance.token_key,
        front: message.delivery.front,
        entered: acceptance.entered,
        trigger: message.trigger,
        account: message.account,
        function: message.function,
        func,
        token: message.token,
        mark: message.mark,
        cost_hint: message.cost_hint,
        load_hint: message.load_hint,
        copy_mb: message.copy_mb,
        lanes: message.lanes.max(1),
        session: message.session,
        prefers: message.prefers,
        body: message.body,
        taken_at: now,
        gives_up_at: acceptance.gives_up_at,
        dispatch_until: acceptance.dispatch_until,
        concluded: false,
        orphaned: false,
        was_away: false,
        waited: acceptance.waited,
        redelivered: message.redelivered,
        repeat: message.repeat,
        known_to_module: false,
        group_part: acceptance.group_part,
        dispatches: Vec::new(),
    }
}
