//! The command `check`.

use {
    crate::{command::CheckArguments, exit::Exit, run::print_line},
    error_stack::ResultExt,
    hemlockford_core::{
        config::Configuration,
        errors::{ErrorKind, Result},
    },
    std::path::Path,
};

pub(crate) fn check(arguments: &CheckArguments) -> Result<Exit> {
    let faults = match Configuration::parse(&read(&arguments.text)?) {
        Ok(text) => {
            if arguments.json {
                print_line(&serde_json::json!({"number": text.number, "faults": []}))?;
            } else {
                println!("change {}: {} services, no faults", text.number, text.services.len());
            }
            return Ok(Exit::Ok);
        }
        Err(faults) => faults,
    };
    if arguments.json {
        print_line(&serde_json::json!({"faults": faults}))?;
    } else {
        for fault in faults {
            println!("{fault}");
        }
    }
    Ok(Exit::Refused)
}

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot read {}", path.display()))
}
