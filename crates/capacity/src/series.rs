//! What was measured: slopes and single figures.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::Display;

use crate::error::CapacityError;
use crate::fit::{Fit, Point};

/// What something costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Cost {
    /// Bytes of memory for a team with two keys, in the fleet of a process.
    TeamMemory,
    /// Bytes of memory for one more key.
    KeyMemory,
    /// Bytes of memory for a route.
    RouteMemory,
    /// Bytes of memory for an endpoint.
    EndpointMemory,
    /// Bytes of memory for an entry host.
    HostMemory,
    /// Microseconds of a core to read and assemble a team with two keys.
    TeamTime,
    /// Microseconds of a core to read and assemble one more key.
    KeyTime,
    /// Microseconds of a core to read and assemble a route.
    RouteTime,
    /// Microseconds of a core to read and assemble an endpoint.
    EndpointTime,
    /// Microseconds of a core to read and assemble an entry host.
    HostTime,
    /// Bytes of the published text of a team with two keys.
    TeamText,
    /// Bytes of the published text of an endpoint.
    EndpointText,
    /// Bytes of the published text of an entry host.
    HostText,
    /// Bytes of the published text of a route.
    RouteText,
    /// Bytes that an entry keeps for a team's share.
    ShareMemory,
    /// Bytes that an entry's decisions keep for a waiting request.
    WaitingMemory,
    /// Bytes that an entry's decisions keep for a dispatched request.
    DispatchedMemory,
    /// Microseconds of a core that an entry decides on a request, by requests that wait.
    EntryTime,
    /// Microseconds of a core that an entry decides on a request, by declared endpoints.
    PlacementTime,
    /// Bytes that an agent keeps for a waiting reservation.
    ReservationMemory,
    /// Microseconds of a core that an agent decides on a reservation and its withdrawal, by
    /// reservations that wait.
    AgentTime,
    /// Bytes that an agent keeps for a request that has run.
    HistoryMemory,
    /// Bytes of a reservation on the wire, by prefix digests.
    ReservationBytes,
    /// Bytes of an exchange of generations on the wire, by documents.
    ExchangeBytes,
    /// Bytes of an offer on the wire.
    OfferBytes,
    /// Bytes of a reservation given back on the wire.
    ReturnBytes,
    /// Bytes of the cancelling of a reservation's call on the wire.
    CancelBytes,
    /// Bytes of a withdrawal and its answer on the wire.
    WithdrawBytes,
    /// Bytes of an inquiry and its answer on the wire.
    InquiryBytes,
    /// Bytes of a borrowed share, asked and granted, on the wire.
    BorrowBytes,
    /// Bytes before a body.
    HeadBytes,
    /// Bytes of framing for one piece of an answer.
    FrameBytes,
    /// Bytes of memory for a control connection, both of its sides together.
    ConnectionMemory,
    /// Microseconds of a core to open a control connection, both of its sides together.
    ConnectionTime,
    /// Microseconds of a core for a call, both of its sides together.
    CallTime,
    /// Bytes of memory that an entry process takes for an open stream.
    EntryStream,
    /// Bytes of memory that an agent process takes for an open stream.
    AgentStream,
    /// Microseconds of a core that an entry process takes to pass a token on.
    EntryToken,
    /// Microseconds of a core that an agent process takes to pass a token on.
    AgentToken,
    /// Most calls to the configuration service in a second while all processes start together.
    StartPeak,
    /// Calls a second to the configuration service while nothing changes.
    IdleCalls,
    /// Exchanges a second that a process begins while nothing changes.
    IdleExchanges,
    /// Milliseconds until a change is known to every process.
    InForceMillis,
    /// Most calls to the configuration service in a second after a change.
    ChangePeak,
    /// Exchanges that a process begins in the ten seconds after a change.
    ChangeExchanges,
}

/// Measured points and the line through them.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What was measured.
    pub cost: Cost,
    /// What one item is.
    pub item: &'static str,
    /// The points, at least four.
    pub points: Vec<Point>,
    /// The line.
    pub fit: Fit,
}

/// A cost that does not depend on a size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Figure {
    /// What was measured.
    pub cost: Cost,
    /// The value.
    pub value: f64,
}

/// Everything that was measured.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    /// Slopes by cost.
    pub slopes: BTreeMap<Cost, Slope>,
    /// Single figures by cost.
    pub figures: BTreeMap<Cost, Figure>,
}

impl Findings {
    /// Adds a slope.
    pub fn add(&mut self, cost: Cost, item: &'static str, points: Vec<Point>) {
        let fit = Fit::new(&points);
        let slope = Slope {
            cost,
            item,
            points,
            fit,
        };
        self.slopes.insert(cost, slope);
    }

    /// Adds a single figure.
    pub fn set(&mut self, cost: Cost, value: f64) {
        self.figures.insert(cost, Figure { cost, value });
    }

    /// The line of a slope.
    ///
    /// # Errors
    /// Returns [`CapacityError::Missing`] if it was not measured.
    pub fn fit(&self, cost: Cost) -> Result<Fit, CapacityError> {
        let slope = self.slopes.get(&cost);
        Ok(slope.ok_or(CapacityError::Missing(cost))?.fit)
    }

    /// The largest measured cost, for a slope that is no line.
    ///
    /// # Errors
    /// Returns [`CapacityError::Missing`] if it was not measured.
    pub fn worst(&self, cost: Cost) -> Result<f64, CapacityError> {
        let slope = self.slopes.get(&cost);
        let points = slope.ok_or(CapacityError::Missing(cost))?.points.iter();
        Ok(points.map(|point| point.cost).fold(0.0, f64::max))
    }

    /// A single figure.
    ///
    /// # Errors
    /// Returns [`CapacityError::Missing`] if it was not measured.
    pub fn value(&self, cost: Cost) -> Result<f64, CapacityError> {
        let figure = self.figures.get(&cost);
        Ok(figure.ok_or(CapacityError::Missing(cost))?.value)
    }
}
