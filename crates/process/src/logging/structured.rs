//! A logger that writes JSON lines and never blocks the threads that log.
//!
//! Lines go through a bounded queue to a writer thread. If the output is not read, the queue fills
//! up, and further lines are dropped; the writer reports their number after the lines that it
//! writes next. Each call site may log a limited number of lines per second: the first ones are
//! kept, and the number of suppressed ones is a field of the call site's next line in a later
//! second.

use std::collections::HashMap;
use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use env_filter::Filter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use serde_json::{Map, Value as Json};

/// Maximum number of lines that wait to be written.
const QUEUE_LIMIT: usize = 4_096;

/// Maximum number of lines that one call site may log per second.
const LINES_PER_SECOND: u32 = 100;

const SECOND: Duration = Duration::from_secs(1);

/// Source file and line of a log statement.
type CallSite = (Option<&'static str>, Option<u32>);

#[derive(Debug)]
struct LineCount {
    start: Instant,
    kept: u32,
    suppressed: u64,
}

/// Writes each record as one JSON object per line.
#[derive(Debug)]
pub struct StructuredLogger {
    filter: Filter,
    sender: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    call_sites: Mutex<HashMap<CallSite, LineCount>>,
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from))
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from))
            .unwrap_or_else(|| match value.to_string() {
                text if text == "None" => Json::Null,
                text => Json::from(text),
            });
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl StructuredLogger {
    /// Creates a logger and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn new(filter: &str, output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LIMIT);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        let writer = move || write(&receiver, output, &dropped_lines);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(writer)?;
        Ok(Self {
            filter: env_filter::Builder::new().parse(filter).build(),
            sender,
            dropped,
            call_sites: Mutex::default(),
        })
    }

    /// Returns the number of dropped lines that the writer has not yet reported.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Counts a line of a call site. Returns the number of lines suppressed before it, or `None` if
    /// the line itself is suppressed.
    fn admit(&self, call_site: CallSite, now: Instant) -> Option<u64> {
        let mut call_sites = self
            .call_sites
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = call_sites.entry(call_site).or_insert(LineCount {
            start: now,
            kept: 0,
            suppressed: 0,
        });
        if count.start + SECOND <= now {
            (count.start, count.kept) = (now, 0);
        }
        if count.kept >= LINES_PER_SECOND {
            count.suppressed += 1;
            return None;
        }
        count.kept += 1;
        Some(std::mem::take(&mut count.suppressed))
    }

    fn line(record: &Record<'_>, suppressed: u64) -> String {
        let mut fields = Map::new();
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        fields.insert("time".into(), millis.into());
        fields.insert("level".into(), record.level().as_str().into());
        fields.insert("module".into(), record.target().into());
        fields.insert("event".into(), record.args().to_string().into());
        if suppressed > 0 {
            fields.insert("left_out".into(), suppressed.into());
        }
        // If a field cannot be read, the line is written without it and the fields after it.
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        Json::Object(fields).to_string()
    }
}

impl Log for StructuredLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let call_site = (record.file_static(), record.line());
        let Some(suppressed) = self.admit(call_site, Instant::now()) else {
            return;
        };
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Self::line(record, suppressed)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes lines until the logger is dropped or the output is closed.
fn write(lines: &Receiver<String>, output: impl Write, dropped: &AtomicU64) {
    let mut output = BufWriter::new(output);
    while let Ok(first) = lines.recv() {
        let mut written = writeln!(output, "{first}");
        while let Ok(line) = lines.try_recv() {
            written = written.and_then(|()| writeln!(output, "{line}"));
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let notice =
                format!("{{\"level\":\"WARN\",\"event\":\"log lines dropped\",\"count\":{count}}}");
            written = written.and_then(|()| writeln!(output, "{notice}"));
        }
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
