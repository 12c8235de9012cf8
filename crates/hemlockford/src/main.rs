//! The command line of hemlockford.

mod command;
mod run;

use {
    command::{Arguments, Command},
    gumdrop::Options,
    std::process::ExitCode,
};

/// Exit code of a command that failed or was used wrongly.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}", Arguments::usage());
        return ExitCode::from(EXIT_FAILURE);
    };
    let result = match command {
        Command::Run(options) => run::run(&options),
        Command::Check(options) => run::check(&options),
        Command::Submit(options) => run::submit(&options),
        Command::Emulate(options) => run::emulate(options),
        Command::Load(options) => run::load(options),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(report) => {
            eprintln!("hemlockford: {report:?}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
