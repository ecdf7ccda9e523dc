//! Compiles `operator.proto` at build time, so that the program does not have to parse it at
//! start-up.

use prost_reflect::prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=operator.proto");
    let files = protox::compile(["operator.proto"], ["."])?;
    let out = std::path::Path::new(&std::env::var("OUT_DIR")?).join("operator.bin");
    std::fs::write(out, files.encode_to_vec())?;
    Ok(())
}
