//! Checks settings and starts nothing.

use std::path::Path;

use chervilfall_settings::Settings;

use crate::exit::ExitStatus;

pub(crate) fn run(path: &Path) -> ExitStatus {
    match Settings::read(path) {
        Ok(settings) => {
            println!(
                "{}: right, for entry {} in failure domain {}",
                path.display(),
                settings.entry,
                settings.domain
            );
            ExitStatus::Success
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Settings
        }
    }
}
