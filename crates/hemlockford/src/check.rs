//! The command `check`, which validates a configuration file.

use {
    crate::{command::CheckArguments, exit::Exit, run::print_json_line},
    error_stack::ResultExt,
    hemlockford_core::{
        config::Configuration,
        errors::{ErrorKind, Result},
    },
    std::path::Path,
};

pub(crate) fn check(arguments: &CheckArguments) -> Result<Exit> {
    let errors = match Configuration::parse(&read_file(&arguments.text)?) {
        Ok(config) => {
            if arguments.json {
                print_json_line(&serde_json::json!({"number": config.number, "faults": []}))?;
            } else {
                println!("change {}: {} services, no faults", config.number, config.services.len());
            }
            return Ok(Exit::Ok);
        }
        Err(errors) => errors,
    };
    if arguments.json {
        print_json_line(&serde_json::json!({"faults": errors}))?;
    } else {
        for error in errors {
            println!("{error}");
        }
    }
    Ok(Exit::Refused)
}

/// Reads a file as UTF-8.
pub(crate) fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot read {}", path.display()))
}
