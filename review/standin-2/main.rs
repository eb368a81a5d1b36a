//! Runs one case: `cases N`. See `claim.txt` and `run.sh` in the case's folder.

mod all_end;
mod http;
mod json;
mod oversized;
mod restored_store;
mod retry_budget;
mod runner;
mod store;
mod twice_at_once;
mod world;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("6") => twice_at_once::run(),
        Some("7") => restored_store::run(),
        Some("8") => oversized::run(),
        Some("9") => all_end::run(),
        Some("10") => retry_budget::run(),
        _ => {
            eprintln!("usage: cases 6|7|8|9|10");
            std::process::exit(2);
        }
    }
}
