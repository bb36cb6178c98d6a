//! Compares scheduling policies of the agent core on small deterministic model engines.
//!
//! `cargo run --release -p comfreyhaven-core --example decisions -- [NAME]` prints one table, or
//! all tables if no name is given. Each row is the mean over several seeds.

mod binding;
mod cold;
mod engine;
mod fairness;
mod fleet;
mod outcomes;
mod overload;
mod setup;
mod simulation;
mod structure;
mod workload;

fn main() {
    let wanted = std::env::args().nth(1);
    let tables: [(&str, fn()); 5] = [
        ("binding", binding::print),
        ("overload", overload::print),
        ("fairness", fairness::print),
        ("cold", cold::print),
        ("structure", structure::print),
    ];
    for (name, print) in tables {
        if wanted.as_deref().is_none_or(|wanted| wanted == name) {
            print();
        }
    }
}
