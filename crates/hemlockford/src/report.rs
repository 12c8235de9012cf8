//! The command `report`: service-level burn over all instances named.

use {
    crate::{client, command::ReadArguments, exit::Exit, run::print_line},
    error_stack::ResultExt,
    hemlockford_core::{
        burn::BurnReport,
        errors::{ErrorKind, Result, invalid_input, unavailable},
    },
    std::net::SocketAddr,
};

/// Adds up the counts of every instance before rates are worked out, because each sees only its own calls.
/// An instance that does not answer is named and makes the command fail.
pub(crate) fn report(arguments: &ReadArguments) -> Result<Exit> {
    let addresses: Vec<_> = arguments.from.iter().chain(&arguments.more).copied().collect();
    if addresses.is_empty() {
        return Err(invalid_input("--from is missing"));
    }
    actix_rt::System::new().block_on(async {
        let mut sum = BurnReport::default();
        let mut is_complete = true;
        for from in addresses {
            match fetch(from, arguments).await {
                Ok(report) => sum.merge(&report),
                Err(report) => {
                    is_complete = false;
                    eprintln!("hemlockford: {from} is not included: {report:?}");
                }
            }
        }
        let summary = sum.summary();
        if arguments.json {
            print_line(&summary)?;
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
