//! Writes the shipped traces: `cargo run -p replay --example generate -- traces`.

use std::path::PathBuf;

use replay::generate;

fn main() -> std::io::Result<()> {
    let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("traces"), PathBuf::from);
    for name in generate::NAMES {
        let trace = generate::shipped(name, generate::SEED).unwrap_or_default();
        std::fs::write(folder.join(format!("{name}.jsonl")), trace.write())?;
    }
    Ok(())
}
