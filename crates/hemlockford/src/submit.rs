//! The command `submit`.

use {
    crate::{client, command::SubmitArguments, exit::Exit, text::read},
    hemlockford_core::errors::{Result, invalid_input},
};

/// Submits a text; a further instance is tried when one refuses for now or its answer is unknown, which
/// is safe because a change with the same number and text is applied once.
pub(crate) fn submit(arguments: &SubmitArguments) -> Result<Exit> {
    if arguments.to.is_empty() {
        return Err(invalid_input("--to is missing"));
    }
    let source = read(&arguments.text)?;
    actix_rt::System::new().block_on(async {
        let mut is_unknown = false;
        for to in &arguments.to {
            let verdict = match client::post(*to, "/submit", source.clone(), arguments.timeout).await {
                Ok(answer) => {
                    print!("{}", answer.body);
                    verdict(answer.status)
                }
                Err(report) => {
                    eprintln!("hemlockford: {to}: {report:?}");
                    Verdict::Unknown
                }
            };
            match verdict {
                Verdict::Final(exit) => return Ok(exit),
                Verdict::NotNow => {}
                Verdict::Unknown => is_unknown = true,
            }
        }
        // One unknown answer makes the whole unknown, although others refused.
        if is_unknown {
            eprintln!("hemlockford: it is not known whether the change was accepted; submitting it again is safe");
            return Ok(Exit::Unknown);
        }
        Ok(Exit::Refused)
    })
}

/// What one instance said.
enum Verdict {
    Final(Exit),
    NotNow,
    Unknown,
}

fn verdict(status: u16) -> Verdict {
    match status {
        200 => Verdict::Final(Exit::Ok),
        409 => Verdict::Final(Exit::Conflict),
        503 => Verdict::NotNow,
        400..500 => Verdict::Final(Exit::Refused),
        _ => Verdict::Unknown,
    }
}
