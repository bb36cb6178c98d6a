//! The configuration that operators publish, and the settings of each process.
//!
//! Both are INI. Each value is checked by name, unit and reference, and all faults of a text are
//! reported at once, each with its place and what is expected there. The same checks run in the
//! processes, the command line and the builder.

mod assemble;
mod document;
mod ini;
mod part;
mod problem;
mod section;
pub mod settings;
pub mod value;

pub use assemble::{assemble, check_alone};
pub use document::{DOCUMENT_LIMIT_BYTES, Document, DocumentKind, document_names};
pub use problem::{Problem, Problems};
