//! The command `load`.

use {
    crate::{command::LoadArguments, exit::Exit, run::print_json_line},
    hemlockford_core::errors::{Result, invalid_input},
    hemlockford_tools::{LoadOptions, load::CustomerLoad},
};

/// Calls per second if neither a rate nor a customer is given.
const DEFAULT_RATE: f64 = 100.0;

/// Sends load. The exit code is `Failure` if a guarantee was violated, such as by a wrong, partial or repeated answer.
pub(crate) fn load(arguments: LoadArguments) -> Result<Exit> {
    let targets = match (arguments.target.is_empty(), arguments.direct.is_empty()) {
        (false, true) => arguments.target,
        (true, false) => arguments.direct,
        (true, true) => return Err(invalid_input("--target or --direct must be given")),
        (false, false) => return Err(invalid_input("--target and --direct cannot be used together")),
    };
    let mut customers = arguments.customer;
    if let Some(rate) = arguments.rate.or(customers.is_empty().then_some(DEFAULT_RATE)) {
        customers.push(CustomerLoad { name: None, rate });
    }
    let default = LoadOptions::default();
    let summary = hemlockford_tools::load(LoadOptions {
        targets,
        service: arguments.service.into(),
        customers,
        arrivals: arguments.arrivals,
        methods: if arguments.method.is_empty() { default.methods } else { arguments.method },
        upload_bytes: arguments.upload_bytes,
        chunked: arguments.chunked,
        answer_bytes: arguments.answer_bytes,
        deadline: arguments.deadline,
        timeout: arguments.timeout,
        send_idempotency_keys: arguments.keys,
        duration: arguments.time,
        max_calls: arguments.calls,
        max_in_flight: arguments.in_flight,
        pipeline: arguments.pipeline,
        threads: arguments.threads,
        seed: arguments.seed,
        control: arguments.control,
        ..default
    })?;
    if arguments.json {
        print_json_line(&summary.to_json())?;
    } else {
        print!("{summary}");
    }
    Ok(Exit::from_success(summary.is_clean()))
}
