//! Writes the shipped traces to a folder, or a random trace to the output:
//! `cargo run -p replay --example generate -- traces`,
//! `cargo run -p replay --example generate -- random SEED EVENTS`.

use std::error::Error;
use std::path::PathBuf;

use replay::generate;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match args.as_slice() {
        [word, seed, events] if word == "random" => {
            print!("{}", generate::random(seed.parse()?, events.parse()?).write());
        }
        [folder] => write_shipped(&PathBuf::from(folder))?,
        _ => return Err("which folder?".into()),
    }
    Ok(())
}

fn write_shipped(folder: &std::path::Path) -> Result<(), Box<dyn Error>> {
    for name in generate::NAMES {
        let trace = generate::shipped(name, generate::SEED).unwrap_or_default();
        std::fs::write(folder.join(format!("{name}.jsonl")), trace.write())?;
    }
    Ok(())
}
