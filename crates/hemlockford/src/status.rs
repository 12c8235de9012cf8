//! The command `status`, which prints the status of each given instance.

use {
    crate::{client, command::ReadArguments, exit::Exit, run::print_json_line, table},
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, invalid_input, unavailable},
    serde_json::{Map, Value, json},
    std::net::SocketAddr,
};

/// Prints the status of each instance. If an instance does not answer, the command reports that and fails.
pub(crate) fn status(arguments: &ReadArguments) -> Result<Exit> {
    let addresses: Vec<_> = arguments.from.iter().chain(&arguments.more).copied().collect();
    if addresses.is_empty() {
        return Err(invalid_input("--from must be given"));
    }
    actix_rt::System::new().block_on(async {
        let mut statuses = Map::new();
        let mut is_complete = true;
        for from in addresses {
            let body = fetch(from, arguments).await;
            is_complete &= body.is_ok();
            match body {
                Ok(body) if arguments.json => {
                    let value: Value = serde_json::from_str(&body).change_context(ErrorKind::Corrupt)?;
                    statuses.insert(from.to_string(), value);
                }
                Ok(body) => println!("{from}\n{}", render(&body)),
                Err(report) if arguments.json => {
                    statuses.insert(from.to_string(), json!({"error": format!("{report:?}")}));
                }
                Err(report) => println!("{from}\nno answer: {report:?}\n"),
            }
        }
        if arguments.json {
            print_json_line(&statuses)?;
        }
        Ok(Exit::from_success(is_complete))
    })
}

async fn fetch(from: SocketAddr, arguments: &ReadArguments) -> Result<String> {
    let answer = client::get(from, "/status", arguments.timeout).await?;
    if answer.status != 200 {
        return Err(unavailable(format!("status {}: {}", answer.status, answer.body.trim())));
    }
    Ok(answer.body)
}

/// Renders JSON as tables, and returns any other body unchanged.
fn render(body: &str) -> String {
    serde_json::from_str(body).map_or_else(|_| body.into(), |value| table::render(&value))
}
