//! The command `submit`.

use {
    crate::{check::read_file, client, command::SubmitArguments, exit::Exit},
    hemlockford_core::errors::{Result, invalid_input},
};

/// Submits a configuration. The next instance is tried if one is unavailable or gives no clear answer. This is safe,
/// because a change with the same number and content is applied only once.
pub(crate) fn submit(arguments: &SubmitArguments) -> Result<Exit> {
    if arguments.to.is_empty() {
        return Err(invalid_input("--to must be given"));
    }
    let config = read_file(&arguments.text)?;
    actix_rt::System::new().block_on(async {
        let mut is_unknown = false;
        for to in &arguments.to {
            let outcome = match client::post(*to, "/submit", config.clone(), arguments.timeout).await {
                Ok(answer) => {
                    print!("{}", answer.body);
                    outcome_of_status(answer.status)
                }
                Err(report) => {
                    eprintln!("hemlockford: {to}: {report:?}");
                    SubmitOutcome::Unknown
                }
            };
            match outcome {
                SubmitOutcome::Final(exit) => return Ok(exit),
                SubmitOutcome::Unavailable => {}
                SubmitOutcome::Unknown => is_unknown = true,
            }
        }
        // One unknown outcome makes the result unknown, even if other instances refused the change.
        if is_unknown {
            eprintln!("hemlockford: it is unknown whether the change was accepted; submitting it again is safe");
            return Ok(Exit::Unknown);
        }
        Ok(Exit::Refused)
    })
}

/// Result of a submission to one instance.
enum SubmitOutcome {
    /// The exit code is certain, so that no other instance is tried.
    Final(Exit),
    /// The instance cannot accept changes at present.
    Unavailable,
    /// It is unknown whether the instance accepted the change.
    Unknown,
}

fn outcome_of_status(status: u16) -> SubmitOutcome {
    match status {
        200 => SubmitOutcome::Final(Exit::Ok),
        409 => SubmitOutcome::Final(Exit::Conflict),
        503 => SubmitOutcome::Unavailable,
        400..500 => SubmitOutcome::Final(Exit::Refused),
        _ => SubmitOutcome::Unknown,
    }
}
