//! The project's nodes as processes, and the clients' way to them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::{call, Answer};

/// A node.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes a node's settings, as the template fills them in for a small deployment, and starts it.
    pub fn open(
        program: &Path,
        folder: &Path,
        host: &str,
        store: SocketAddr,
        name: &str,
        zone: &str,
    ) -> Self {
        let text = format!(
            "node: \"{name}\"\ndomain: \"{zone}\"\nlisten: \"{host}:8161\"\nready_listen: \"{host}:8167\"\n\
             link_listen: \"{host}:7720\"\nstore: \"{store}\"\nadvice: \"{store}\"\nlease_max_ms: 10000\n\
             report_ms: 1500\ncapacity_notice_ms: 3000\nconfig_apply_ms: 2000\ndrain_ms: 2000\ngrace_s: 6\n\
             status_s: 120\nrow_bytes: 65536\ncpu_cores: 0.25\nlink_mbps: 1000.0\nmax_descriptors: 4100\n\
             memory_mb: 260\nmetrics_listen: \"{host}:9464\"\n\
             platform_features: [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("settings can be written");
        let mut node = Self {
            name: name.to_owned(),
            front: format!("{host}:8161").parse().expect("an address"),
            ready: format!("{host}:8167").parse().expect("an address"),
            settings,
            log: folder.join(format!("{name}.log")),
            program: program.to_owned(),
            child: None,
        };
        node.start();
        node
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("{}: {error}", self.program.display());
                std::process::exit(2);
            }
        }
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Returns whether it reports that it is ready, as the platform asks once a second.
    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/readiness",
            "Host: node\r\n",
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a client's request to a node that is in rotation.
pub fn request(
    nodes: &[Node],
    turn: usize,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Answer> {
    let ready: Vec<&Node> = nodes.iter().filter(|node| node.is_ready()).collect();
    let node = ready.get(turn % ready.len().max(1))?;
    let headers = format!("Host: {host}\r\nRequest-Deadline: 3000\r\n");
    call(
        node.front,
        method,
        path,
        &headers,
        body,
        Duration::from_millis(3_000),
    )
}
