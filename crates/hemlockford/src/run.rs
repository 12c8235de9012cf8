//! The commands themselves.

use {
    crate::command::{CheckArguments, EmulateArguments, LoadArguments, RunArguments, SubmitArguments},
    error_stack::ResultExt,
    hemlockford_core::{
        errors::{ErrorKind, Result, invalid_input, unavailable},
        text::Text,
    },
    hemlockford_instance::{Instance, Settings},
    hemlockford_tools::{EmulateOptions, LoadOptions},
    std::{net::SocketAddr, path::Path, time::Duration},
};

const EXIT_OK: u8 = 0;
const EXIT_REFUSED: u8 = 2;

pub(crate) fn run(arguments: &RunArguments) -> Result<u8> {
    let settings = Settings::parse(&read(&arguments.settings)?)?;
    actix_rt::System::new().block_on(async {
        let instance = Instance::start(&settings)?;
        print_line(instance.addresses())?;
        actix_rt::signal::ctrl_c().await.change_context(ErrorKind::Io)?;
        instance.stop();
        Ok(EXIT_OK)
    })
}

pub(crate) fn check(arguments: &CheckArguments) -> Result<u8> {
    match Text::parse(&read(&arguments.text)?) {
        Ok(text) => {
            println!("change {}: {} services, no faults", text.number, text.services.len());
            Ok(EXIT_OK)
        }
        Err(faults) => {
            for fault in faults {
                println!("{fault}");
            }
            Ok(EXIT_REFUSED)
        }
    }
}

pub(crate) fn submit(arguments: &SubmitArguments) -> Result<u8> {
    let source = read(&arguments.text)?;
    let to = require(arguments.to, "--to")?;
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().disable_redirects().finish();
        let url = format!("http://{to}/submit");
        let answer = client.post(url).send_body(source).await;
        let mut answer = answer.map_err(|e| unavailable(e.to_string()))?;
        let body = answer.body().await.change_context(ErrorKind::Unavailable)?;
        print!("{}", String::from_utf8_lossy(&body));
        Ok(if answer.status().is_success() { EXIT_OK } else { EXIT_REFUSED })
    })
}

pub(crate) fn emulate(arguments: EmulateArguments) -> Result<u8> {
    let options = EmulateOptions {
        service: arguments.service.into(),
        servers: arguments.servers,
        slots: arguments.slots,
        service_time: Duration::from_micros(arguments.service_time_us),
        entries: arguments.entry,
        ..EmulateOptions::default()
    };
    actix_rt::System::new().block_on(async {
        print_line(&hemlockford_tools::emulate(options).await?)?;
        actix_rt::signal::ctrl_c().await.change_context(ErrorKind::Io)?;
        Ok(EXIT_OK)
    })
}

pub(crate) fn load(arguments: LoadArguments) -> Result<u8> {
    let options = LoadOptions {
        target: require(arguments.target, "--target")?,
        service: arguments.service.into(),
        rate: arguments.rate,
        time: Duration::from_secs(arguments.seconds),
    };
    actix_rt::System::new().block_on(async {
        let summary = hemlockford_tools::load(options).await?;
        let latency = |quantile| summary.latency.value_at_quantile(quantile);
        println!("good {} failed {} wrong {}", summary.good, summary.failed, summary.wrong);
        println!("p50 {} us, p99 {} us, p99.9 {} us", latency(0.5), latency(0.99), latency(0.999));
        Ok(if summary.wrong == 0 { EXIT_OK } else { EXIT_REFUSED })
    })
}

fn print_line(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(value).change_context(ErrorKind::InvalidInput)?);
    Ok(())
}

/// The argument parser makes sure that a required argument is there; its type is optional because the
/// parser also needs a value before it has read any.
fn require(address: Option<SocketAddr>, name: &str) -> Result<SocketAddr> {
    address.ok_or_else(|| invalid_input(format!("{name} is missing")))
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot read {}", path.display()))
}
