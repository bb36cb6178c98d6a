//! The configuration that operators publish, and the settings of each process.
//!
//! Both are INI. Keys, units and references are checked, and all problems of a text are reported
//! at once, each with its location and what is expected there. The processes, the command line
//! and the builder run the same checks.

mod assemble;
pub mod builder;
mod declaration;
mod document;
mod ini;
mod lines;
pub mod lint;
mod problem;
mod reference;
pub mod schema;
mod section;
pub mod settings;
pub mod value;

pub use assemble::{assemble, check, check_document};
pub use declaration::{
    DEADLINE_DEFAULT, DEADLINE_LIMIT, OUTPUT_DEFAULT_TOKENS, RESEND_WINDOW_DEFAULT,
    RESEND_WINDOW_LIMIT, TOKENS_LIMIT,
};
pub use document::{DOCUMENT_LIMIT_BYTES, Document, DocumentKind, document_names};
pub use problem::{Problem, Problems};
