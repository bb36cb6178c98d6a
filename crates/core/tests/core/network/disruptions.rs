//! Suspensions and restarts of processes, and state changes of the data centre.

use super::*;

impl Network {
    pub(super) fn apply_disruption(&mut self, disruption: Disruption) {
        self.trace.push(format!("{} {disruption:?}", self.now));
        match disruption {
            Disruption::PauseEntry(index, millis) => {
                self.entries[index].suspended_until = self.now + Duration::from_millis(millis);
            }
            Disruption::PauseAgent(index, millis) => {
                self.agents[index].suspended_until = self.now + Duration::from_millis(millis);
            }
            Disruption::RestartEntry(index) => self.restart_entry(index),
            Disruption::RestartAgent(index) => self.restart_agent(index),
            Disruption::RestartEngine(index) => self.restart_engine(index),
            Disruption::Centre(state) => {
                self.centre = state;
                self.configure();
            }
            Disruption::LeaveAgent(index) => {
                self.agent_event(index, agent::Event::Leave, None);
            }
        }
    }

    pub(super) fn restart_entry(&mut self, index: usize) {
        let process = &mut self.entries[index];
        let old = process.boot;
        process.boot += 1;
        process.core = Entry::new(host_name(index), BootNonce::new(process.boot), process.boot);
        (process.suspended_until, process.next_tick) = (self.now, Timestamp::NEVER);
        let owned = self
            .owners
            .iter()
            .filter(|(_, owner)| **owner == (index, old));
        let mut owned: Vec<_> = owned.map(|(request, _)| *request).collect();
        owned.sort();
        for request in owned {
            self.truth.get_mut(&request).unwrap().orphaned = true;
            self.cancel(request);
        }
        let calls: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, owner)| **owner == (index, old))
            .collect();
        let calls: Vec<_> = calls.into_iter().map(|(call, _)| *call).collect();
        for (id, agent) in calls {
            self.break_call(id, agent);
        }
        self.entry_event(index, entry::Event::Configured(fleet(AGENTS, self.centre)));
    }

    pub(super) fn restart_agent(&mut self, index: usize) {
        let process = &mut self.agents[index];
        process.boot += 1;
        let nonce = BootNonce::new(100 * index as u64 + process.boot);
        process.core = Agent::new(endpoint_name(index), nonce);
        (process.suspended_until, process.next_tick) = (self.now, Timestamp::NEVER);
        let calls: Vec<_> = self
            .calls
            .keys()
            .filter(|(_, agent)| *agent == index)
            .copied()
            .collect();
        for (id, agent) in calls {
            self.break_call(id, agent);
        }
        let open = self
            .dispatches
            .iter()
            .enumerate()
            .filter(|(_, d)| d.open && d.agent == index);
        let open: Vec<_> = open.map(|(number, _)| number).collect();
        for number in open {
            self.end_dispatch(number, Ending::Lost);
        }
        self.agent_event(
            index,
            agent::Event::Configured(fleet(AGENTS, self.centre)),
            None,
        );
    }

    pub(super) fn restart_engine(&mut self, index: usize) {
        self.engines[index].boot += 1;
        let active = std::mem::take(&mut self.engines[index].active);
        for (request, (number, boot)) in active {
            self.end_dispatch(number, Ending::Failed);
            let end = RunEnd::Broken;
            self.push_soon(Delivery::Engine(
                index,
                boot,
                agent::Event::Finished { request, end },
            ));
        }
    }
}
