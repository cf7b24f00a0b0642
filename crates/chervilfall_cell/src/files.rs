//! Files of a cell: tokens, settings and logs, in a folder of its own.

use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use anyhow::Context;

use crate::layout::{Layout, LayoutEntry};

/// Names of the files with secrets.
const SECRETS: [&str; 5] = ["link", "caller", "operator", "platform", "agent"];

/// The folder of a cell, removed when the cell ends.
#[derive(Debug)]
pub(crate) struct Folder {
    path: PathBuf,
    keep: bool,
}

impl Folder {
    /// Creates a fresh folder with fresh secrets.
    pub(crate) fn create(keep: bool) -> anyhow::Result<Self> {
        let name = format!("chervilfall-cell-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).with_context(|| format!("can't create {}", path.display()))?;
        let folder = Self { path, keep };
        for name in SECRETS {
            let secret = format!("{:032x}", rand::random::<u128>());
            fs::write(folder.secret(name), secret)?;
        }
        Ok(folder)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of a file with a secret.
    pub(crate) fn secret(&self, name: &str) -> PathBuf {
        self.path.join(format!("{name}.secret"))
    }

    /// Reads a secret.
    pub(crate) fn read_secret(&self, name: &str) -> anyhow::Result<String> {
        Ok(fs::read_to_string(self.secret(name))?)
    }

    /// Returns the path of a process's log.
    pub(crate) fn log(&self, name: &str) -> PathBuf {
        self.path.join(format!("{name}.log"))
    }

    /// Returns the last line of a process's log, which outlives the folder in an error.
    pub(crate) fn log_end(&self, name: &str) -> String {
        let text = fs::read_to_string(self.log(name)).unwrap_or_default();
        text.lines().last().unwrap_or("nothing").to_owned()
    }

    /// Writes the settings of an entry instance and returns their path.
    pub(crate) fn write_settings(
        &self,
        layout: &Layout,
        entry: &LayoutEntry,
        extra: &str,
    ) -> anyhow::Result<PathBuf> {
        let path = self.path.join(format!("entry-{}.yaml", entry.number));
        fs::write(&path, self.settings(layout, entry, extra)?)?;
        Ok(path)
    }

    fn settings(
        &self,
        layout: &Layout,
        entry: &LayoutEntry,
        extra: &str,
    ) -> anyhow::Result<String> {
        let secret = |name: &str| self.secret(name).display().to_string();
        let domain = &entry.domain;
        let mut text = String::new();
        writeln!(text, "entry: {}\ndomain: {domain}", entry.number)?;
        writeln!(text, "links:\n  listen: {}", entry.link)?;
        writeln!(text, "  secret_file: {}\n  peers:", secret("link"))?;
        for peer in layout.entries.iter().filter(|p| p.number != entry.number) {
            let link = layout.link_address(entry.number, peer);
            let (number, domain) = (peer.number, &peer.domain);
            writeln!(
                text,
                "  - {{entry: {number}, domain: {domain}, address: \"{link}\"}}"
            )?;
        }
        writeln!(text, "rpc:\n  listen: {}", entry.rpc)?;
        writeln!(text, "  caller_token_file: {}", secret("caller"))?;
        writeln!(text, "  operator_token_file: {}", secret("operator"))?;
        writeln!(text, "platform:")?;
        writeln!(text, "  table: http://{}/from/{domain}", layout.table)?;
        writeln!(text, "  objects: http://{}/from/{domain}", layout.objects)?;
        writeln!(text, "  members: http://{}/from/{domain}", layout.members)?;
        writeln!(text, "  token_file: {}", secret("platform"))?;
        writeln!(text, "agents:\n  token_file: {}", secret("agent"))?;
        text.push_str(extra);
        Ok(text)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            // What can't be removed is left to the system's own cleaning.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
