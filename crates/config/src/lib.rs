//! The configuration that operators publish, and the settings of each process.
//!
//! Both are INI. Each value is checked by name, unit and reference, and all faults of a text are
//! reported at once, each with its place and what is expected there. The same checks run in the
//! processes, the command line and the builder.

mod assemble;
pub mod builder;
mod document;
mod ini;
mod lines;
pub mod lint;
pub mod names;
mod part;
mod problem;
mod reference;
mod section;
pub mod settings;
pub mod value;

pub use assemble::{assemble, check, check_alone};
pub use document::{DOCUMENT_LIMIT_BYTES, Document, DocumentKind, document_names};
pub use part::{
    DEADLINE_DEFAULT, DEADLINE_LIMIT, OUTPUT_DEFAULT_TOKENS, RESEND_WINDOW_DEFAULT,
    RESEND_WINDOW_LIMIT, TOKENS_LIMIT,
};
pub use problem::{Problem, Problems};
