//! The command `check-settings`.

use crate::CliError;
use clap::ArgMatches;
use ospreywing_settings::Settings;

/// Validates the settings with the same checks as the daemon at startup.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let variables = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let settings = Settings::check_variables(variables).and_then(|()| Settings::new(matches));
    let settings = settings.map_err(|error| CliError::Usage(error.to_string()))?;
    println!("valid: daemon {} of cell {}", settings.name, settings.cell);
    Ok(())
}
