//! Memory, time and text of a configuration, with the number of one kind of item varied at a time.

use comfreyhaven_config::{Document, assemble};

use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::fit::Point;
use crate::fleet::{self, BASE_SIZE, Size};
use crate::gauge;

/// Size with so few teams that they do not mask the cost of the other items.
const FEW_TEAMS: Size = Size {
    teams: 20,
    ..BASE_SIZE
};

/// A kind of item, and the costs that its slopes measure.
struct Dimension {
    item: &'static str,
    sizes: [usize; 4],
    vary: fn(usize) -> Size,
    memory: Cost,
    time: Cost,
    text: Option<Cost>,
}

const DIMENSIONS: [Dimension; 5] = [
    Dimension {
        item: "team",
        sizes: [1_000, 2_000, 3_500, 4_900],
        vary: |teams| Size { teams, ..BASE_SIZE },
        memory: Cost::TeamMemory,
        time: Cost::TeamTime,
        text: Some(Cost::TeamText),
    },
    Dimension {
        item: "key of each of 500 teams",
        sizes: [1, 2, 4, 8],
        vary: |keys| Size { keys, ..BASE_SIZE },
        memory: Cost::KeyMemory,
        time: Cost::KeyTime,
        text: None,
    },
    Dimension {
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
    Dimension {
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
    Dimension {
        item: "host",
        sizes: [50, 100, 200, 330],
        vary: |hosts| Size { hosts, ..FEW_TEAMS },
        memory: Cost::HostMemory,
        time: Cost::HostTime,
        text: Some(Cost::HostText),
    },
];

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    for dimension in &DIMENSIONS {
        measure(dimension, findings)?;
    }
    Ok(())
}

fn measure(dimension: &Dimension, findings: &mut Findings) -> Result<(), CapacityError> {
    let (mut memory, mut time, mut text) = (Vec::new(), Vec::new(), Vec::new());
    for size in dimension.sizes {
        let documents = fleet::documents((dimension.vary)(size))?;
        let size = size as f64;
        let length: usize = documents.iter().map(|document| document.text().len()).sum();
        let (fleet, bytes) = gauge::memory_of(|| assemble(&documents));
        fleet?;
        let cost = gauge::time_of(|| apply_change(&documents))?;
        memory.push(Point { size, cost: bytes });
        time.push(Point { size, cost });
        text.push(Point {
            size,
            cost: length as f64,
        });
    }
    findings.add_slope(dimension.memory, dimension.item, memory);
    findings.add_slope(dimension.time, dimension.item, time);
    if let Some(cost) = dimension.text {
        findings.add_slope(cost, dimension.item, text);
    }
    Ok(())
}

/// Does the work of a process after a change: parses one document and assembles all of them. The
/// largest document is taken as the changed one.
fn apply_change(documents: &[Document]) -> Result<comfreyhaven_core::fleet::Fleet, CapacityError> {
    let largest = documents
        .iter()
        .max_by_key(|document| document.text().len());
    if let Some(document) = largest {
        Document::new(document.text())?;
    }
    Ok(assemble(documents)?)
}
