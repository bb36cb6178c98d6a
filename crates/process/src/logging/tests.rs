//! Tests of the JSON logger: format of a line, limit per call site, and an output that is not read.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

use log::{Level, Log, Record};
use serde_json::Value;

use super::structured::StructuredLogger;

/// An output whose first write blocks until the test opens it.
struct Blocked {
    gate: Arc<Mutex<Receiver<()>>>,
    bytes: SyncSender<Vec<u8>>,
    open: bool,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.open {
            self.open = true;
            let _ = self.gate.lock().expect("the gate").recv();
        }
        let _ = self.bytes.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log(logger: &StructuredLogger, line: u32, text: &str) {
    let fields = [("request", "r1")];
    let args = format_args!("{text}");
    let record = Record::builder()
        .args(args)
        .level(Level::Info)
        .target("test")
        .file_static(Some("a.rs"))
        .line(Some(line))
        .key_values(&fields)
        .build();
    logger.log(&record);
}

/// Reads at least `count` lines of the output.
fn lines(bytes: &Receiver<Vec<u8>>, count: usize) -> Vec<Value> {
    let mut text = Vec::new();
    while text.iter().filter(|byte| **byte == b'\n').count() < count {
        text.extend(bytes.recv().expect("more lines"));
    }
    let text = String::from_utf8(text).expect("text");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

fn blocked() -> (StructuredLogger, SyncSender<()>, Receiver<Vec<u8>>) {
    let (open, gate) = sync_channel(1);
    let (sender, bytes) = sync_channel(100_000);
    let output = Blocked {
        gate: Arc::new(Mutex::new(gate)),
        bytes: sender,
        open: false,
    };
    (
        StructuredLogger::new("info", output).expect("a logger"),
        open,
        bytes,
    )
}

#[test]
fn a_line_is_one_json_object_with_all_fields() {
    let (logger, open, bytes) = blocked();
    open.send(()).expect("open");
    log(&logger, 1, "placed \"here\"");
    let line = &lines(&bytes, 1)[0];
    assert_eq!(line["event"], "placed \"here\"");
    assert_eq!(line["request"], "r1");
    assert_eq!(line["level"], "INFO");
    assert!(line["time"].is_u64());
}

#[test]
fn logging_does_not_block_while_the_output_is_not_read() {
    let (logger, open, bytes) = blocked();
    // Each line has its own call site, so that the limit per call site does not apply.
    for line in 0..20_000 {
        log(&logger, line, "event");
    }
    let dropped = logger.dropped();
    assert!(dropped > 10_000, "{dropped}");
    open.send(()).expect("open");
    let written = 20_000 - usize::try_from(dropped).expect("a count");
    let lines = lines(&bytes, written + 1);
    let notice = lines
        .iter()
        .find(|line| line["event"] == "log lines dropped")
        .expect("a note");
    assert_eq!(notice["count"], dropped);
}

#[test]
fn limits_lines_per_call_site() {
    let (logger, open, bytes) = blocked();
    for _ in 0..1_000 {
        log(&logger, 7, "refused");
    }
    log(&logger, 8, "peer lost");
    open.send(()).expect("open");
    let mut seen = Vec::new();
    while !seen.iter().any(|line: &Value| line["event"] == "peer lost") {
        seen.extend(lines(&bytes, 1));
    }
    let refused = seen
        .iter()
        .filter(|line| line["event"] == "refused")
        .count();
    assert!((1..1_000).contains(&refused), "{refused}");
}
