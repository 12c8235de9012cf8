//! The command `report`, which prints the error budget burn of the services over the given instances.

use {
    crate::{client, command::ReadArguments, exit::Exit, run::print_json_line},
    error_stack::ResultExt,
    hemlockford_core::{
        burn::BurnReport,
        errors::{ErrorKind, Result, invalid_input, unavailable},
    },
    std::net::SocketAddr,
};

/// Adds up the counts of all instances and then computes the rates, because each instance counts only its own calls.
/// If an instance does not answer, the command reports that and fails.
pub(crate) fn report(arguments: &ReadArguments) -> Result<Exit> {
    let addresses: Vec<_> = arguments.from.iter().chain(&arguments.more).copied().collect();
    if addresses.is_empty() {
        return Err(invalid_input("--from must be given"));
    }
    actix_rt::System::new().block_on(async {
        let mut total = BurnReport::default();
        let mut is_complete = true;
        for from in addresses {
            match fetch(from, arguments).await {
                Ok(report) => total.merge(&report),
                Err(report) => {
                    is_complete = false;
                    eprintln!("hemlockford: {from} is not included: {report:?}");
                }
            }
        }
        let summary = total.summary();
        if arguments.json {
            print_json_line(&summary)?;
        } else {
            print!("{summary}");
        }
        Ok(Exit::from_success(is_complete))
    })
}

async fn fetch(from: SocketAddr, arguments: &ReadArguments) -> Result<BurnReport> {
    let answer = client::get(from, "/report", arguments.timeout).await?;
    if answer.status != 200 {
        return Err(unavailable(format!("status {}: {}", answer.status, answer.body.trim())));
    }
    serde_json::from_str(&answer.body).change_context(ErrorKind::Corrupt)
}
