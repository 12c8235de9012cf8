//! The command line of hemlockford.

mod bench;
mod check;
mod client;
mod command;
mod demo;
mod emulate;
mod exit;
mod fleet;
mod journal;
mod load;
mod local_system;
mod log;
mod report;
mod run;
mod signals;
mod status;
mod submit;
mod table;

use {
    command::{Arguments, Command, EXIT_CODES},
    error_stack::{
        Report,
        fmt::{Charset, ColorMode},
    },
    exit::Exit,
    gumdrop::{Options, ParsingStyle},
    std::{backtrace::Backtrace, panic::Location, process::ExitCode},
};

fn main() -> ExitCode {
    // Error reports for operators show what failed and why, without locations in the source code.
    Report::set_color_mode(ColorMode::None);
    Report::set_charset(Charset::Ascii);
    Report::install_debug_hook::<Location>(|_, _| {});
    Report::install_debug_hook::<Backtrace>(|_, _| {});
    let raw_arguments: Vec<_> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args(&raw_arguments, ParsingStyle::AllOptions) {
        Ok(arguments) => arguments,
        Err(e) => {
            eprintln!("hemlockford: {e}; see --help");
            return Exit::Failure.into();
        }
    };
    if arguments.help_requested() {
        print_help(&arguments);
        return Exit::Ok.into();
    }
    let result = match arguments.command {
        Some(Command::Run(arguments)) => run::run(&arguments),
        Some(Command::Check(arguments)) => check::check(&arguments),
        Some(Command::Submit(arguments)) => submit::submit(&arguments),
        Some(Command::Status(arguments)) => status::status(&arguments),
        Some(Command::Report(arguments)) => report::report(&arguments),
        Some(Command::Demo(arguments)) => demo::demo(&arguments),
        Some(Command::Emulate(arguments)) => emulate::emulate(arguments),
        Some(Command::Load(arguments)) => load::load(arguments),
        Some(Command::Bench(arguments)) => bench::bench(arguments),
        Some(Command::Journal(arguments)) => journal::report(arguments),
        None => {
            print_help(&arguments);
            return Exit::Failure.into();
        }
    };
    match result {
        Ok(exit) => exit.into(),
        Err(report) => {
            log::print_error(format!("hemlockford: {report:?}"));
            Exit::Failure.into()
        }
    }
}

/// Prints the help of the innermost command on the command line.
fn print_help(arguments: &Arguments) {
    let mut path = String::from("hemlockford");
    let mut command = arguments as &dyn Options;
    while let Some(inner) = command.command() {
        path.extend(inner.command_name().map(|name| format!(" {name}")));
        command = inner;
    }
    println!("Usage: {path} [OPTIONS]\n\n{}", command.self_usage());
    if let Some(commands) = command.self_command_list() {
        println!("\nCommands:\n{commands}");
    }
    println!("\n{EXIT_CODES}");
}
