//! Tests of the decisions of direct entries.
