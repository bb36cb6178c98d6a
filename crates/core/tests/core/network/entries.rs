//! What entries do in the network.

use super::*;

impl Network {
    pub(super) fn entry_event(&mut self, index: usize, event: entry::Event) {
        if let entry::Event::Arrived(arrival) = &event {
            self.truth.entry(arrival.id).or_default();
            self.owners
                .insert(arrival.id, (index, self.entries[index].boot));
        }
        let node = &mut self.entries[index];
        let actions = node.core.handle(event, self.now);
        let wake = node.core.wake();
        if wake < node.tick || node.tick <= self.now {
            node.tick = wake;
            let boot = node.boot;
            let time = wake.max(self.now + Duration::from_micros(1));
            self.push(time, Delivery::Entry(index, boot, entry::Event::Tick));
        }
        for action in actions {
            self.trace
                .push(format!("{} entry-{index} {action:?}", self.now));
            self.entry_action(index, action);
        }
    }

    pub(super) fn entry_action(&mut self, index: usize, action: entry::Action) {
        let boot = self.entries[index].boot;
        match action {
            entry::Action::Reserve {
                endpoint,
                reservation,
            } => {
                let (id, agent) = (reservation.id, agent_index(&endpoint));
                self.calls.insert((id, agent), (index, boot));
                let event = agent::Event::Reserve(*reservation);
                if self.lost() {
                    if self.happens(500) {
                        self.soon(Delivery::Agent(agent, event));
                    }
                    self.break_call(id, agent);
                    return;
                }
                self.send(agent, event);
            }
            entry::Action::Withdraw { endpoint, id } => {
                self.calls.remove(&(id, agent_index(&endpoint)));
                self.send(agent_index(&endpoint), agent::Event::Withdraw(id));
            }
            entry::Action::Release {
                endpoint, offer, ..
            } => {
                self.send(agent_index(&endpoint), agent::Event::Release(offer));
            }
            entry::Action::Dispatch {
                request,
                endpoint,
                offer,
            } => {
                self.dispatch(index, request, agent_index(&endpoint), offer);
            }
            entry::Action::Inquire { request, .. } => self.inquire(index, request),
            entry::Action::Refuse { request, refusal } => {
                let truth = self.truth.get_mut(&request).unwrap();
                truth.ends += 1;
                truth.refusal = Some(refusal);
            }
            entry::Action::Close(request) => {
                self.truth.get_mut(&request).unwrap().ends += 1;
                self.cancel(request);
            }
            entry::Action::Borrow(ask) => self.borrow(index, ask),
            entry::Action::Lend(_) => {}
            entry::Action::Warn { peer, warning } => {
                let peer = (0..ENTRIES).find(|index| host_name(*index) == peer);
                if let Some(peer) = peer.filter(|_| !self.lost()) {
                    let boot = self.entries[peer].boot;
                    let event = entry::Event::Warned(warning);
                    self.soon(Delivery::Entry(peer, boot, event));
                }
            }
        }
    }

    /// Asks a peer for tokens. The ask or its answer may be lost.
    fn borrow(&mut self, index: usize, ask: Box<entry::LoanRequest>) {
        let boot = self.entries[index].boot;
        let peer = (0..ENTRIES).find(|peer| host_name(*peer) == ask.peer);
        let mut loan = None;
        if let Some(peer) = peer.filter(|_| !self.lost()) {
            let borrower = host_name(index);
            let asked = entry::LoanRequest {
                peer: borrower,
                ..(*ask).clone()
            };
            let event = entry::Event::LoanRequested(Box::new(asked));
            for action in self.entries[peer].core.handle(event, self.now) {
                match action {
                    entry::Action::Lend(granted) => loan = Some(granted),
                    other => self.entry_action(peer, other),
                }
            }
        }
        let loan = loan.filter(|_| !self.lost());
        let event = entry::Event::LoanAnswered { request: ask, loan };
        self.soon(Delivery::Entry(index, boot, event));
    }

    /// Sends a message that may be lost without anybody noticing, or arrive twice.
    pub(super) fn send(&mut self, agent: usize, event: agent::Event) {
        if self.lost() {
            return;
        }
        if self.repeated() {
            self.later(Delivery::Agent(agent, event.clone()));
        }
        self.soon(Delivery::Agent(agent, event));
    }

    /// The connection of a reservation call breaks: both sides notice, the agent perhaps late.
    pub(super) fn break_call(&mut self, id: ReservationId, agent: usize) {
        let Some((entry, boot)) = self.calls.remove(&(id, agent)) else {
            return;
        };
        let endpoint = endpoint_name(agent);
        self.later(Delivery::Entry(
            entry,
            boot,
            entry::Event::Unreachable { id, endpoint },
        ));
        self.later(Delivery::Agent(agent, agent::Event::Withdraw(id)));
    }

    pub(super) fn dispatch(
        &mut self,
        entry: usize,
        request: RequestId,
        agent: usize,
        offer: OfferId,
    ) {
        let earlier = self.dispatches.iter().filter(|d| d.request == request);
        assert!(
            earlier.clone().all(|d| d.disowned),
            "{request} dispatched twice"
        );
        let same = self.dispatches.iter().any(|d| d.offer == offer);
        assert!(!same, "offer {offer} accepted twice");
        let number = self.dispatches.len();
        let entry = (entry, self.entries[entry].boot);
        let open = true;
        let dispatch = Dispatch {
            request,
            entry,
            agent,
            offer,
            open,
            disowned: false,
        };
        self.dispatches.push(dispatch);
        if self.lost() {
            return self.end_dispatch(number, Ending::NotSent);
        }
        if self.lost() {
            self.end_dispatch(number, Ending::Lost);
            if self.happens(700) {
                self.later(Delivery::Body(agent, number, false));
            }
            return;
        }
        if self.repeated() {
            self.later(Delivery::Body(agent, number, false));
        }
        self.soon(Delivery::Body(agent, number, true));
    }

    /// Tells the entry how its dispatch ended, once.
    pub(super) fn end_dispatch(&mut self, number: usize, ending: Ending) {
        let ending = if self.lost() { Ending::Lost } else { ending };
        let dispatch = &mut self.dispatches[number];
        if !std::mem::take(&mut dispatch.open) {
            return;
        }
        dispatch.disowned = matches!(ending, Ending::NotRun(_) | Ending::NotSent);
        let ((entry, boot), request) = (dispatch.entry, dispatch.request);
        if matches!(ending, Ending::Whole { .. }) {
            self.truth.get_mut(&request).unwrap().whole = true;
        }
        self.soon(Delivery::Entry(
            entry,
            boot,
            entry::Event::Ended { request, ending },
        ));
    }

    pub(super) fn inquire(&mut self, entry: usize, request: RequestId) {
        let number = self
            .dispatches
            .iter()
            .rposition(|d| d.request == request)
            .unwrap();
        let agent = self.dispatches[number].agent;
        if self.repeated() {
            self.later(Delivery::Inquiry(agent, number, false));
        }
        if self.lost() {
            let event = entry::Event::Inquired {
                request,
                status: None,
            };
            return self.later(Delivery::Entry(entry, self.entries[entry].boot, event));
        }
        self.soon(Delivery::Inquiry(agent, number, true));
    }
}
