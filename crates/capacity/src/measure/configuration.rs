//! Memory and time of the declared fleet: one part varied at a time.

use comfreyhaven_config::{Document, assemble};

use crate::error::CapacityError;
use crate::fit::Point;
use crate::fleet::{self, SMALL, Size};
use crate::gauge;
use crate::series::{Cost, Findings};

/// A fleet whose teams do not hide what the other parts cost.
const FEW_TEAMS: Size = Size { teams: 20, ..SMALL };

/// One part, and what its slopes are called.
struct Part {
    item: &'static str,
    sizes: [usize; 4],
    vary: fn(usize) -> Size,
    memory: Cost,
    time: Cost,
    text: Option<Cost>,
}

const PARTS: [Part; 5] = [
    Part {
        item: "team",
        sizes: [1_000, 2_000, 3_500, 4_900],
        vary: |teams| Size { teams, ..SMALL },
        memory: Cost::TeamMemory,
        time: Cost::TeamTime,
        text: Some(Cost::TeamText),
    },
    Part {
        item: "key of each of 500 teams",
        sizes: [1, 2, 4, 8],
        vary: |keys| Size { keys, ..SMALL },
        memory: Cost::KeyMemory,
        time: Cost::KeyTime,
        text: None,
    },
    Part {
        item: "route",
        sizes: [36, 72, 144, 288],
        vary: |routes| Size {
            routes,
            ..FEW_TEAMS
        },
        memory: Cost::RouteMemory,
        time: Cost::RouteTime,
        text: Some(Cost::RouteText),
    },
    Part {
        item: "endpoint",
        sizes: [100, 200, 400, 610],
        vary: |endpoints| Size {
            endpoints,
            ..FEW_TEAMS
        },
        memory: Cost::EndpointMemory,
        time: Cost::EndpointTime,
        text: Some(Cost::EndpointText),
    },
    Part {
        item: "host",
        sizes: [50, 100, 200, 330],
        vary: |hosts| Size { hosts, ..FEW_TEAMS },
        memory: Cost::HostMemory,
        time: Cost::HostTime,
        text: Some(Cost::HostText),
    },
];

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    for part in &PARTS {
        measure(part, findings)?;
    }
    Ok(())
}

fn measure(part: &Part, findings: &mut Findings) -> Result<(), CapacityError> {
    let (mut memory, mut time, mut text) = (Vec::new(), Vec::new(), Vec::new());
    for size in part.sizes {
        let documents = fleet::documents((part.vary)(size))?;
        let size = size as f64;
        let length: usize = documents.iter().map(|document| document.text().len()).sum();
        let (fleet, bytes) = gauge::memory_of(|| assemble(&documents));
        fleet?;
        let cost = gauge::time_of(|| read(&documents))?;
        memory.push(Point { size, cost: bytes });
        time.push(Point { size, cost });
        text.push(Point {
            size,
            cost: length as f64,
        });
    }
    findings.add(part.memory, part.item, memory);
    findings.add(part.time, part.item, time);
    if let Some(cost) = part.text {
        findings.add(cost, part.item, text);
    }
    Ok(())
}

/// What a process does with a change: it reads a document and assembles all of them.
fn read(documents: &[Document]) -> Result<comfreyhaven_core::fleet::Fleet, CapacityError> {
    let largest = documents
        .iter()
        .max_by_key(|document| document.text().len());
    if let Some(document) = largest {
        Document::new(document.text())?;
    }
    Ok(assemble(documents)?)
}
