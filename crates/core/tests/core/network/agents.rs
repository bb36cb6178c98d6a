//! Events and actions of the agents, and the runs of their engines.

use super::*;

impl Network {
    pub(super) fn agent_event(
        &mut self,
        index: usize,
        event: agent::Event,
        call: Option<(usize, bool)>,
    ) {
        let process = &mut self.agents[index];
        let actions = process.core.handle(event, self.now);
        let wake = process.core.wake();
        if wake < process.next_tick || process.next_tick <= self.now {
            process.next_tick = wake;
            let time = wake.max(self.now + Duration::from_micros(1));
            self.push(time, Delivery::Agent(index, agent::Event::Tick));
        }
        for action in actions {
            self.trace
                .push(format!("{} engine-{index} {action:?}", self.now));
            self.agent_action(index, action, call);
        }
    }

    pub(super) fn agent_action(
        &mut self,
        agent: usize,
        action: agent::Action,
        call: Option<(usize, bool)>,
    ) {
        match action {
            agent::Action::Offer { id, offer, .. } => {
                let endpoint = endpoint_name(agent);
                self.answer(
                    agent,
                    id,
                    entry::Event::Offered {
                        id,
                        endpoint,
                        offer,
                    },
                );
            }
            agent::Action::Return { id, reason } => {
                let endpoint = endpoint_name(agent);
                self.answer(
                    agent,
                    id,
                    entry::Event::Returned {
                        id,
                        endpoint,
                        reason,
                    },
                );
            }
            agent::Action::Run(_) => self.start(agent, call.unwrap().0),
            agent::Action::Reject { reason, .. } => {
                if let Some((number, true)) = call {
                    self.end_dispatch(number, Ending::NotRun(reason));
                }
            }
            agent::Action::Close(_) => {
                if let Some((number, true)) = call {
                    self.end_dispatch(number, Ending::Lost);
                }
            }
            agent::Action::Report { request, status } => {
                if let Some((number, true)) = call {
                    self.report(number, request, status);
                }
            }
        }
    }

    pub(super) fn report(&mut self, number: usize, request: RequestId, status: RunStatus) {
        let lost = self.draw_loss();
        let dispatch = &mut self.dispatches[number];
        dispatch.not_run = !lost && status == RunStatus::NeverRuns;
        let status = (!lost).then_some(status);
        let (entry, boot) = dispatch.entry;
        self.push_soon(Delivery::Entry(
            entry,
            boot,
            entry::Event::Inquired { request, status },
        ));
    }

    pub(super) fn answer(&mut self, agent: usize, id: ReservationId, event: entry::Event) {
        if self.draw_loss() {
            return self.break_call(id, agent);
        }
        let Some((entry, boot)) = self.calls.remove(&(id, agent)) else {
            return;
        };
        self.push_soon(Delivery::Entry(entry, boot, event));
    }

    pub(super) fn start(&mut self, agent: usize, number: usize) {
        let request = self.dispatches[number].request;
        self.truth.get_mut(&request).unwrap().runs += 1;
        let boot = self.agents[agent].boot;
        self.engines[agent].active.insert(request, (number, boot));
        self.peak = self.peak.max(self.engines[agent].active.len());
        let first = self.random.random_range(1..100);
        let service = first + self.random.random_range(1..600);
        let event = agent::Event::FirstToken(request);
        let time = self.now + Duration::from_millis(first);
        self.push(time, Delivery::Engine(agent, boot, event));
        let end = self.run_end();
        let event = agent::Event::Finished { request, end };
        let time = self.now + Duration::from_millis(service);
        self.push(time, Delivery::Engine(agent, boot, event));
    }

    /// Handles an event of a run. Only the agent process that started the run receives it.
    pub(super) fn engine_event(&mut self, index: usize, boot: u64, event: agent::Event) {
        let current = boot == self.agents[index].boot;
        match event {
            agent::Event::Finished { request, end } if current => self.finish(index, request, end),
            agent::Event::Finished { request, .. } => {
                self.engines[index].active.remove(&request);
            }
            agent::Event::FirstToken(request) if current => self.start_answer(index, request),
            _ => {}
        }
        if current {
            self.agent_event(index, event, None);
        }
    }

    pub(super) fn start_answer(&mut self, agent: usize, request: RequestId) {
        let Some(&(number, _)) = self.engines[agent].active.get(&request) else {
            return;
        };
        let dispatch = &self.dispatches[number];
        if dispatch.open {
            let (entry, boot) = dispatch.entry;
            self.push(
                self.now,
                Delivery::Entry(entry, boot, entry::Event::AnswerStarted(request)),
            );
        }
    }

    pub(super) fn run_end(&mut self) -> RunEnd {
        if !self.chance(self.faults.engine) {
            return RunEnd::Whole {
                output: 5,
                prefill: 5,
            };
        }
        if self.chance(500) {
            return RunEnd::NotRun(NotRunReason::EndpointFull);
        }
        RunEnd::Broken
    }

    /// Ends a run of an engine and notifies the entry of the ending.
    pub(super) fn finish(&mut self, agent: usize, request: RequestId, end: RunEnd) {
        let Some((number, _)) = self.engines[agent].active.remove(&request) else {
            return;
        };
        if let RunEnd::NotRun(_) = end {
            self.truth.get_mut(&request).unwrap().runs -= 1;
        }
        let ending = match end {
            RunEnd::Whole { output, .. } => Ending::Whole { output },
            RunEnd::NotRun(reason) => Ending::NotRun(reason),
            RunEnd::Broken | RunEnd::Cancelled => Ending::Failed,
        };
        self.end_dispatch(number, ending);
    }

    /// Cancels the runs of a request whose connection the entry has closed.
    pub(super) fn cancel(&mut self, request: RequestId) {
        for agent in 0..AGENTS {
            let Some((_, boot)) = self.engines[agent].active.get(&request).copied() else {
                continue;
            };
            self.engines[agent].active.remove(&request);
            let end = RunEnd::Cancelled;
            self.push_soon(Delivery::Engine(
                agent,
                boot,
                agent::Event::Finished { request, end },
            ));
        }
    }
}
