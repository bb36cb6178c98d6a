//! What happens to processes.

use super::*;

impl Network {
    pub(super) fn suffer(&mut self, upset: Upset) {
        self.trace.push(format!("{} {upset:?}", self.now));
        match upset {
            Upset::PauseEntry(index, millis) => {
                self.entries[index].paused = self.now + Duration::from_millis(millis);
            }
            Upset::PauseAgent(index, millis) => {
                self.agents[index].paused = self.now + Duration::from_millis(millis);
            }
            Upset::RestartEntry(index) => self.restart_entry(index),
            Upset::RestartAgent(index) => self.restart_agent(index),
            Upset::RestartEngine(index) => self.restart_engine(index),
            Upset::Centre(state) => {
                self.centre = state;
                self.configure();
            }
            Upset::LeaveAgent(index) => {
                self.agent_event(index, agent::Event::Leave, None);
            }
        }
    }

    pub(super) fn restart_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        let old = node.boot;
        node.boot += 1;
        node.core = Entry::new(host_name(index), BootNonce::new(node.boot), node.boot);
        (node.paused, node.tick) = (self.now, Timestamp::NEVER);
        let owned = self
            .owners
            .iter()
            .filter(|(_, owner)| **owner == (index, old));
        let mut owned: Vec<_> = owned.map(|(request, _)| *request).collect();
        owned.sort();
        for request in owned {
            self.truth.get_mut(&request).unwrap().orphan = true;
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
        let node = &mut self.agents[index];
        node.boot += 1;
        let nonce = BootNonce::new(100 * index as u64 + node.boot);
        node.core = Agent::new(endpoint_name(index), nonce);
        (node.paused, node.tick) = (self.now, Timestamp::NEVER);
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
            self.soon(Delivery::Engine(
                index,
                boot,
                agent::Event::Finished { request, end },
            ));
        }
    }
}
