//! The command `bench`.

use {
    crate::{
        command::{AddedArguments, Bench, BenchArguments, SlopesArguments},
        exit::Exit,
        local_system::LocalSystem,
        log::{LogFormat, logger},
    },
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, invalid_input},
    hemlockford_tools::{
        AddedLatencyOptions, AddedLatencyRow, EmulateOptions, LoadOptions, ServiceTime, SlopesOptions,
        measure_added_latency, slopes,
    },
    std::{path::Path, time::Duration},
};

/// Number of stand-in servers when everything runs in this process.
const LOCAL_SERVERS: usize = 8;
/// Slots of each of these servers. There are so many that no call waits for one, since only the latency of the path is
/// measured.
const LOCAL_SLOTS: u32 = 64;
/// Default rates, in calls per second.
const DEFAULT_RATES: [f64; 3] = [1_000.0, 4_000.0, 8_000.0];
/// Target for the 99th percentile of the added latency, in microseconds.
const TARGET_P99_US: i64 = 540;

pub(crate) fn bench(arguments: BenchArguments) -> Result<Exit> {
    match arguments.bench {
        Some(Bench::Added(arguments)) => measure_added(arguments),
        Some(Bench::Slopes(arguments)) => measure_slopes(arguments),
        None => Err(invalid_input("the name of a measurement is missing; see bench --help")),
    }
}

fn measure_slopes(arguments: SlopesArguments) -> Result<Exit> {
    let only = arguments.only.into_iter().map(Into::into).collect();
    for slope in slopes(&SlopesOptions { out: arguments.out, only, entry: arguments.entry })? {
        println!("{}\n{}", slope.title, slope.to_csv());
    }
    Ok(Exit::Ok)
}

fn measure_added(arguments: AddedArguments) -> Result<Exit> {
    if arguments.entry.is_empty() != arguments.server.is_empty() {
        return Err(invalid_input("--entry and --server must be given together"));
    }
    let rates = if arguments.rate.is_empty() { DEFAULT_RATES.to_vec() } else { arguments.rate };
    let mut options = AddedLatencyOptions {
        entries: arguments.entry,
        servers: arguments.server,
        rates,
        duration: arguments.time,
        rounds: arguments.rounds,
        late_limit: arguments.late_limit,
        load: LoadOptions {
            service: arguments.service.clone().into(),
            arrivals: arguments.arrivals,
            answer_bytes: arguments.answer_bytes,
            threads: arguments.threads,
            seed: arguments.seed,
            ..LoadOptions::default()
        },
    };
    let rounds = arguments.rounds;
    let rows = actix_rt::System::new().block_on(async {
        let mut started = None;
        if options.entries.is_empty() {
            let config = format!("[change]\nnumber = 1\n[service {}]\n", arguments.service);
            let servers = EmulateOptions {
                service: arguments.service.into(),
                servers: LOCAL_SERVERS,
                slots: LOCAL_SLOTS,
                service_time: ServiceTime::Constant(Duration::ZERO),
                ..EmulateOptions::default()
            };
            let local_system = LocalSystem::start(&config, servers, &logger(LogFormat::Term)).await?;
            options.entries.push(local_system.addresses().callers);
            options.servers.extend(local_system.emulation().addresses().servers.iter().map(|server| server.address));
            started = Some(local_system);
        }
        let rows = actix_rt::task::spawn_blocking(move || measure_added_latency(&options))
            .await
            .change_context(ErrorKind::Io)?;
        if let Some(local_system) = started {
            local_system.stop();
        }
        rows
    })?;
    print_rows(&rows);
    if let Some(path) = &arguments.csv {
        write_csv(path, &rows)?;
    }
    let is_complete = rows.iter().all(|row| row.rounds_added_p99.len() == rounds);
    if !is_complete {
        eprintln!("hemlockford: too many rounds were disturbed; fewer rounds than requested were measured");
    }
    Ok(Exit::from_success(is_complete && rows.iter().all(|row| row.is_clean)))
}

fn print_rows(rows: &[AddedLatencyRow]) {
    println!("{:>8}  {:>24}  {:>24}  {:>24}", "calls/s", "direct", "through", "added");
    println!("{:>8}  {1:>24}  {1:>24}  {1:>24}", "", "p50 / p99 / p99.9 us");
    for row in rows {
        let quantiles = |value: &dyn Fn(f64) -> i64| format!("{} / {} / {}", value(0.5), value(0.99), value(0.999));
        println!(
            "{:>8}  {:>24}  {:>24}  {:>24}  {}",
            row.rate,
            quantiles(&|quantile| row.direct.quantile(quantile) as i64),
            quantiles(&|quantile| row.through.quantile(quantile) as i64),
            quantiles(&|quantile| row.added_latency(quantile)),
            target_verdict(row),
        );
        println!(
            "          added p99 by round: {:?} us, median {} us; {} disturbed rounds left out; calls started late \
             by up to {} us at p99",
            row.rounds_added_p99,
            row.median_added_p99(),
            row.disturbed,
            row.lateness_p99,
        );
        if !row.is_clean {
            println!("          broken promises: direct {:?}, through {:?}", row.direct.faults, row.through.faults);
        }
    }
}

fn target_verdict(row: &AddedLatencyRow) -> &'static str {
    match row.added_latency(0.99) {
        _ if row.rounds_added_p99.is_empty() => "not measured",
        added if added <= TARGET_P99_US => "within 540 us",
        _ => "above 540 us",
    }
}

fn write_csv(path: &Path, rows: &[AddedLatencyRow]) -> Result<()> {
    let lines: Vec<_> = rows.iter().map(AddedLatencyRow::to_csv).collect();
    std::fs::write(path, format!("{}\n{}\n", AddedLatencyRow::CSV_TITLE, lines.join("\n")))
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot write {}", path.display()))
}
