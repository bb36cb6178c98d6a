//! Events and actions of the entries.

use super::*;

impl Network {
    pub(super) fn entry_event(&mut self, index: usize, event: entry::Event) {
        if let entry::Event::Arrived(arrival) = &event {
            self.truth.entry(arrival.id).or_default();
            self.owners
                .insert(arrival.id, (index, self.entries[index].boot));
        }
        let process = &mut self.entries[index];
        let actions = process.core.handle(event, self.now);
        let wake = process.core.wake();
        if wake < process.next_tick || process.next_tick <= self.now {
            process.next_tick = wake;
            let boot = process.boot;
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
                if self.draw_loss() {
                    if self.chance(500) {
                        self.push_soon(Delivery::Agent(agent, event));
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
            entry::Action::Borrow(request) => self.borrow(index, request),
            entry::Action::Lend(_) => {}
            entry::Action::Warn { peer, warning } => {
                let peer = (0..ENTRIES).find(|index| host_name(*index) == peer);
                if let Some(peer) = peer.filter(|_| !self.draw_loss()) {
                    let boot = self.entries[peer].boot;
                    let event = entry::Event::Warned(warning);
                    self.push_soon(Delivery::Entry(peer, boot, event));
                }
            }
        }
    }

    /// Sends a loan request to a peer. The request or its answer may be lost.
    fn borrow(&mut self, index: usize, request: Box<entry::LoanRequest>) {
        let boot = self.entries[index].boot;
        let peer = (0..ENTRIES).find(|peer| host_name(*peer) == request.peer);
        let mut loan = None;
        if let Some(peer) = peer.filter(|_| !self.draw_loss()) {
            let borrower = host_name(index);
            let received = entry::LoanRequest {
                peer: borrower,
                ..(*request).clone()
            };
            let event = entry::Event::LoanRequested(Box::new(received));
            for action in self.entries[peer].core.handle(event, self.now) {
                match action {
                    entry::Action::Lend(granted) => loan = Some(granted),
                    other => self.entry_action(peer, other),
                }
            }
        }
        let loan = loan.filter(|_| !self.draw_loss());
        let event = entry::Event::LoanAnswered { request, loan };
        self.push_soon(Delivery::Entry(index, boot, event));
    }

    /// Sends a message that may arrive twice, or be lost without notice to either side.
    pub(super) fn send(&mut self, agent: usize, event: agent::Event) {
        if self.draw_loss() {
            return;
        }
        if self.draw_duplication() {
            self.push_late(Delivery::Agent(agent, event.clone()));
        }
        self.push_soon(Delivery::Agent(agent, event));
    }

    /// Breaks the connection of a reservation call. Each side notices after a delay of its own.
    pub(super) fn break_call(&mut self, id: ReservationId, agent: usize) {
        let Some((entry, boot)) = self.calls.remove(&(id, agent)) else {
            return;
        };
        let endpoint = endpoint_name(agent);
        self.push_late(Delivery::Entry(
            entry,
            boot,
            entry::Event::Unreachable { id, endpoint },
        ));
        self.push_late(Delivery::Agent(agent, agent::Event::Withdraw(id)));
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
            earlier.clone().all(|d| d.not_run),
            "{request} dispatched twice"
        );
        let reused = self.dispatches.iter().any(|d| d.offer == offer);
        assert!(!reused, "offer {offer} accepted twice");
        let number = self.dispatches.len();
        let entry = (entry, self.entries[entry].boot);
        let open = true;
        let dispatch = Dispatch {
            request,
            entry,
            agent,
            offer,
            open,
            not_run: false,
        };
        self.dispatches.push(dispatch);
        if self.draw_loss() {
            return self.end_dispatch(number, Ending::NotSent);
        }
        if self.draw_loss() {
            self.end_dispatch(number, Ending::Lost);
            if self.chance(700) {
                self.push_late(Delivery::Body(agent, number, false));
            }
            return;
        }
        if self.draw_duplication() {
            self.push_late(Delivery::Body(agent, number, false));
        }
        self.push_soon(Delivery::Body(agent, number, true));
    }

    /// Notifies the entry once of the ending of its dispatch.
    pub(super) fn end_dispatch(&mut self, number: usize, ending: Ending) {
        let ending = if self.draw_loss() {
            Ending::Lost
        } else {
            ending
        };
        let dispatch = &mut self.dispatches[number];
        if !std::mem::take(&mut dispatch.open) {
            return;
        }
        dispatch.not_run = matches!(ending, Ending::NotRun(_) | Ending::NotSent);
        let ((entry, boot), request) = (dispatch.entry, dispatch.request);
        if matches!(ending, Ending::Whole { .. }) {
            self.truth.get_mut(&request).unwrap().complete = true;
        }
        self.push_soon(Delivery::Entry(
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
        if self.draw_duplication() {
            self.push_late(Delivery::Inquiry(agent, number, false));
        }
        if self.draw_loss() {
            let event = entry::Event::Inquired {
                request,
                status: None,
            };
            return self.push_late(Delivery::Entry(entry, self.entries[entry].boot, event));
        }
        self.push_soon(Delivery::Inquiry(agent, number, true));
    }
}
