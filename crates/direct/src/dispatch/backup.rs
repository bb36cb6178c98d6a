//! Copies of a stream's memory at another endpoint, and streams that go on from them.

use comfreyhaven_core::direct::{BackupRequest, EndpointRecord, RetryPolicy};
use hyper::header::HeaderMap;

use super::Dispatch;
use super::attempt::Begun;
use super::send::set_header;
use super::source::{Source, StreamStart};
use crate::clock;
use crate::upstream::Liveness;

impl Dispatch {
    /// Asks the endpoint to keep a copy of the run's memory at another one, if the stream gets one.
    pub(super) fn add_backup(&self, record: &EndpointRecord, headers: &mut HeaderMap) {
        let head = &self.incoming.head;
        if !head.route.streaming || head.route.retry != RetryPolicy::Never {
            return;
        }
        let request = BackupRequest {
            rank: head.route.rank,
            prompt: head.cost.map_or(0, |cost| u64::from(cost.prompt)),
            length: head.length,
            record,
        };
        let mut scheduler = self.context.scheduler.borrow_mut();
        let backup = scheduler.choose_backup(&request, clock::now());
        drop(scheduler);
        if let Some(backup) = &backup {
            let address = backup.address.to_string();
            set_header(headers, &self.context.dialect.backup, &address);
            self.count_backup("sent");
        }
        self.backup.replace(backup);
    }

    /// Goes on with a stream whose endpoint has ended, from the copy of its memory. `last` is the last
    /// event that the caller has received.
    pub(super) async fn go_on_from_copy(
        &self,
        source: &Source,
        last: Option<u64>,
    ) -> Option<StreamStart> {
        let backup = self.backup.take()?;
        let outcome = match self.begin_from_copy(source, &backup, last).await {
            Ok(start) => {
                self.count_backup("resumed");
                return Some(start);
            }
            Err(outcome) => outcome,
        };
        self.count_backup(outcome);
        log::info!(request = self.incoming.head.id_text(), endpoint:% = backup.id, outcome = outcome; "not resumed from its copy");
        None
    }

    async fn begin_from_copy(
        &self,
        source: &Source,
        backup: &EndpointRecord,
        last: Option<u64>,
    ) -> Result<StreamStart, &'static str> {
        if !source.is_sound() || self.contained().is_some() {
            return Err("suspected");
        }
        if !self.may_go_on() {
            return Err("uncertain");
        }
        if self.context.upstream.check(&source.record).await != Liveness::Refuses {
            return Err("alive");
        }
        if !self.take_retry() {
            return Err("over budget");
        }
        let slot = self.context.resume_at(backup).ok_or("unavailable")?;
        let mut request = self.endpoint_request(backup, last);
        let from = format!("{}/{}", backup.address, self.incoming.head.id_text());
        set_header(request.headers_mut(), &self.context.dialect.memory, &from);
        self.sends.set(self.sends.get() + 1);
        self.arrivals.set(self.arrivals.get() + 1);
        match self.exchange(request, backup, slot).await {
            Ok(Begun::Stream(start)) => Ok(*start),
            Ok(Begun::Complete(_)) | Err(_) => Err("no copy"),
        }
    }

    fn count_backup(&self, outcome: &str) {
        let backups = &self.context.metrics.backups;
        backups.with_label_values(&[outcome]).inc();
    }
}
