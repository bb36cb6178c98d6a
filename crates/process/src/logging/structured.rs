//! Log lines as JSON on standard output, which never hold a process up.
//!
//! Lines go through a bounded queue to one thread that writes them. While nobody reads the output the
//! queue fills, and further lines are dropped and counted; the next line that is written says how many.
//! Lines from one place of the code are limited for each second: the first ones are kept, and their
//! number is told with the first line of a later second.

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

/// Lines that may wait to be written.
const QUEUE_LIMIT: usize = 4_096;

/// Lines from one place of the code that are kept in a second.
const KIND_LIMIT: u32 = 100;

const SECOND: Duration = Duration::from_secs(1);

/// A place of the code: file and line.
type Kind = (Option<&'static str>, Option<u32>);

#[derive(Debug)]
struct Count {
    begin: Instant,
    kept: u32,
    left_out: u64,
}

/// Writes each record as one JSON object.
#[derive(Debug)]
pub struct Structured {
    filter: Filter,
    sender: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    kinds: Mutex<HashMap<Kind, Count>>,
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

impl Structured {
    /// A logger whose lines are written to `output` by a thread of its own.
    ///
    /// # Errors
    /// Returns the error of starting the thread.
    pub fn new(filter: &str, output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LIMIT);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let writer = move || write(&receiver, output, &counted);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(writer)?;
        Ok(Self {
            filter: env_filter::Builder::new().parse(filter).build(),
            sender,
            dropped,
            kinds: Mutex::default(),
        })
    }

    /// Lines that were dropped since the last that was written.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Whether a line of this kind is kept, and how many of its kind were left out before it.
    fn admit(&self, kind: Kind, now: Instant) -> Option<u64> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let count = kinds.entry(kind).or_insert(Count {
            begin: now,
            kept: 0,
            left_out: 0,
        });
        if count.begin + SECOND <= now {
            (count.begin, count.kept) = (now, 0);
        }
        if count.kept >= KIND_LIMIT {
            count.left_out += 1;
            return None;
        }
        count.kept += 1;
        Some(std::mem::take(&mut count.left_out))
    }

    fn line(record: &Record<'_>, left_out: u64) -> String {
        let mut fields = Map::new();
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        fields.insert("time".into(), millis.into());
        fields.insert("level".into(), record.level().as_str().into());
        fields.insert("module".into(), record.target().into());
        fields.insert("event".into(), record.args().to_string().into());
        if left_out > 0 {
            fields.insert("left_out".into(), left_out.into());
        }
        // A value that cannot be read leaves its field out, and the line still says what happened.
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        Json::Object(fields).to_string()
    }
}

impl Log for Structured {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let kind = (record.file_static(), record.line());
        let Some(left_out) = self.admit(kind, Instant::now()) else {
            return;
        };
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Self::line(record, left_out)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes lines until the logger is gone or the output is closed.
fn write(lines: &Receiver<String>, output: impl Write, dropped: &AtomicU64) {
    let mut output = BufWriter::new(output);
    while let Ok(first) = lines.recv() {
        let mut written = writeln!(output, "{first}");
        while let Ok(line) = lines.try_recv() {
            written = written.and_then(|()| writeln!(output, "{line}"));
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"event\":\"log lines dropped\",\"count\":{count}}}");
            written = written.and_then(|()| writeln!(output, "{note}"));
        }
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
