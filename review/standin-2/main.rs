//! Runs one case: `cases N`. See `claim.txt` and `run.sh` in the case's folder.

mod all_end;
mod engine;
mod http;
mod json;
mod late_order;
mod oversized;
mod restored_store;
mod retry_budget;
mod runner;
mod store;
mod twice_at_once;
mod weights;
mod world;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("6") => late_order::run(),
        Some("7") => twice_at_once::run(),
        Some("8") => restored_store::run(),
        Some("9") => oversized::run(),
        Some("10") => all_end::run(),
        // Not among the cases; see `REPORT-2.md`.
        Some("retry-budget") => retry_budget::run(),
        _ => {
            eprintln!("usage: cases 6|7|8|9|10|retry-budget");
            std::process::exit(2);
        }
    }
}
