//! Results of the measurements: slopes and single figures.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::Display;

use crate::error::CapacityError;
use crate::fit::{Fit, Point};

/// A measured cost. Its name appears in the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Cost {
    /// Bytes of memory for a team with two keys, in the assembled fleet of a process.
    TeamMemory,
    /// Bytes of memory for one more key.
    KeyMemory,
    /// Bytes of memory for a route.
    RouteMemory,
    /// Bytes of memory for an endpoint.
    EndpointMemory,
    /// Bytes of memory for an entry host.
    HostMemory,
    /// Microseconds of processor time to read and assemble a team with two keys.
    TeamTime,
    /// Microseconds of processor time to read and assemble one more key.
    KeyTime,
    /// Microseconds of processor time to read and assemble a route.
    RouteTime,
    /// Microseconds of processor time to read and assemble an endpoint.
    EndpointTime,
    /// Microseconds of processor time to read and assemble an entry host.
    HostTime,
    /// Bytes of the published text of a team with two keys.
    TeamText,
    /// Bytes of the published text of an endpoint.
    EndpointText,
    /// Bytes of the published text of an entry host.
    HostText,
    /// Bytes of the published text of a route.
    RouteText,
    /// Bytes of memory that an entry holds for a team's share.
    ShareMemory,
    /// Bytes of memory that an entry's state machine holds for a waiting request.
    WaitingMemory,
    /// Bytes of memory that an entry's state machine holds for a dispatched request.
    DispatchedMemory,
    /// Microseconds of processor time of an entry's decisions on a request, by number of waiting
    /// requests.
    EntryTime,
    /// Microseconds of processor time of an entry's decisions on a request, by number of declared
    /// endpoints.
    PlacementTime,
    /// Bytes of memory that an agent holds for a waiting reservation.
    ReservationMemory,
    /// Microseconds of processor time of an agent's decisions on a reservation and its withdrawal,
    /// by number of waiting reservations.
    AgentTime,
    /// Bytes of memory that an agent holds for a request that has run.
    HistoryMemory,
    /// Bytes of a reservation on the wire, by number of prefix digests.
    ReservationBytes,
    /// Bytes of an exchange of document versions on the wire, by number of documents.
    ExchangeBytes,
    /// Bytes of an offer on the wire.
    OfferBytes,
    /// Bytes of the return of a reservation on the wire.
    ReturnBytes,
    /// Bytes of the cancellation of a reservation call on the wire.
    CancelBytes,
    /// Bytes of a withdrawal and its reply on the wire.
    WithdrawBytes,
    /// Bytes of an inquiry and its reply on the wire.
    InquiryBytes,
    /// Bytes of a loan request and its reply on the wire.
    BorrowBytes,
    /// Bytes that an entry sends to an agent before the body of a request.
    HeadBytes,
    /// Bytes of framing for one data frame.
    FrameBytes,
    /// Bytes of memory for a control connection, both sides together.
    ConnectionMemory,
    /// Microseconds of processor time to open a control connection, both sides together.
    ConnectionTime,
    /// Microseconds of processor time for a call, both sides together.
    CallTime,
    /// Bytes of memory that an entry process uses for an open stream.
    EntryStream,
    /// Bytes of memory that an agent process uses for an open stream.
    AgentStream,
    /// Microseconds of processor time in which an entry process relays a token.
    EntryToken,
    /// Microseconds of processor time in which an agent process relays a token.
    AgentToken,
    /// Maximum number of calls to the configuration service in any second while all processes start
    /// at the same time.
    StartPeak,
    /// Calls per second to the configuration service while nothing changes.
    IdleCalls,
    /// Exchanges per second that a process starts while nothing changes.
    IdleExchanges,
    /// Milliseconds until every process knows a change.
    InForceMillis,
    /// Maximum number of calls to the configuration service in any second after a change.
    ChangePeak,
    /// Exchanges that a process starts until ten seconds after a change is known everywhere.
    ChangeExchanges,
}

/// Measured points and the line that is fitted to them.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Cost that was measured.
    pub cost: Cost,
    /// Name of the items that the size of a point counts.
    pub item: &'static str,
    /// Measured points, at least four.
    pub points: Vec<Point>,
    /// Line fitted to the points.
    pub fit: Fit,
}

/// A cost that does not depend on a size, such as the length of a message.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Figure {
    /// Cost that was measured.
    pub cost: Cost,
    /// Measured value.
    pub value: f64,
}

/// Results of all measurements.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    /// Costs that depend on a size.
    pub slopes: BTreeMap<Cost, Slope>,
    /// Costs that do not depend on a size.
    pub figures: BTreeMap<Cost, Figure>,
}

impl Findings {
    /// Fits a line to the points and adds it.
    pub fn add_slope(&mut self, cost: Cost, item: &'static str, points: Vec<Point>) {
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
    pub fn add_figure(&mut self, cost: Cost, value: f64) {
        self.figures.insert(cost, Figure { cost, value });
    }

    /// Returns the line of a slope.
    ///
    /// # Errors
    /// Returns [`CapacityError::Missing`] if it was not measured.
    pub fn fit(&self, cost: Cost) -> Result<Fit, CapacityError> {
        let slope = self.slopes.get(&cost);
        Ok(slope.ok_or(CapacityError::Missing(cost))?.fit)
    }

    /// Returns the largest measured cost of a slope whose points do not lie on a line.
    ///
    /// # Errors
    /// Returns [`CapacityError::Missing`] if it was not measured.
    pub fn largest(&self, cost: Cost) -> Result<f64, CapacityError> {
        let slope = self.slopes.get(&cost);
        let points = slope.ok_or(CapacityError::Missing(cost))?.points.iter();
        Ok(points.map(|point| point.cost).fold(0.0, f64::max))
    }

    /// Returns a single figure.
    ///
    /// # Errors
    /// Returns [`CapacityError::Missing`] if it was not measured.
    pub fn figure(&self, cost: Cost) -> Result<f64, CapacityError> {
        let figure = self.figures.get(&cost);
        Ok(figure.ok_or(CapacityError::Missing(cost))?.value)
    }
}
