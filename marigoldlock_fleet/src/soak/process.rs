//! Instances that run as separate processes.

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr};
use marigoldlock_standin::site::{DIRECTORY_PORT, FRONT_PORT, READINESS_PORT};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::Instant;

/// Delay between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a readiness request.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a graceful shutdown, slightly more than the `GraceS` of the settings file.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(9);

/// Returns the loopback address of an instance.
///
/// Each instance has its own address, so that all can use the same ports, as on separate machines.
pub fn loopback_address(seed: u64, number: usize) -> IpAddr {
    let process = std::process::id();
    let mixed = seed.wrapping_mul(0x9E37_79B9).wrapping_add(u64::from(process));
    let [a, b, ..] = mixed.to_le_bytes();
    Ipv4Addr::new(127, 16 + a % 200, b, 1 + u8::try_from(number).unwrap_or(u8::MAX)).into()
}

/// An instance process that is restarted whenever it exits.
pub struct InstanceProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    ip: IpAddr,
    child: Child,
    /// True if the soak test has sent a signal that ends the process.
    is_exit_expected: bool,
    exited_at: Option<Instant>,
    /// Exits that no signal of the soak test caused.
    unexpected_exits: Vec<String>,
}

impl InstanceProcess {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started or its log file can't be opened.
    pub fn start(program: &Path, settings: PathBuf, log: PathBuf, ip: IpAddr) -> Result<Self> {
        let child = spawn(program, &settings, &log)?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            log,
            ip,
            child,
            is_exit_expected: false,
            exited_at: None,
            unexpected_exits: Vec::new(),
        })
    }

    /// Returns the address that serves callers.
    pub fn front_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Returns the address that callers query for addresses.
    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    /// Returns whether the instance reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", SocketAddr::new(self.ip, READINESS_PORT));
        let Ok(http) = reqwest::Client::builder()
            .no_proxy()
            .timeout(READY_TIMEOUT)
            .build()
        else {
            return false;
        };
        let answer = http.get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal. After `KILL` or `TERM` the exit of the process is expected.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be signalled.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        self.is_exit_expected |= matches!(signal, Signal::KILL | Signal::TERM);
        if self.exited_at.is_some() {
            return Ok(());
        }
        let pid = Pid::from_child(&self.child);
        match kill_process(pid, signal) {
            // The process has just exited; `restart_exited` notices it.
            Ok(()) | Err(rustix::io::Errno::SRCH) => Ok(()),
            Err(err) => Err(err).wrap_err("signal an instance"),
        }
    }

    /// Records an exit, and restarts the process after `RESTART_DELAY`.
    ///
    /// # Errors
    ///
    /// Fails if the status of the process can't be read or it can't be started.
    pub fn restart_exited(&mut self) -> Result<()> {
        match self.exited_at {
            None => {
                if let Some(status) = self.child.try_wait()? {
                    self.exited_at = Some(Instant::now());
                    if !std::mem::take(&mut self.is_exit_expected) {
                        self.unexpected_exits
                            .push(format!("{} exited unexpectedly: {status}", self.front_address()));
                    }
                }
            }
            Some(at) if at.elapsed() >= RESTART_DELAY => {
                self.child = spawn(&self.program, &self.settings, &self.log)?;
                self.exited_at = None;
                self.is_exit_expected = false;
            }
            Some(_) => {}
        }
        Ok(())
    }

    /// Shuts the process down gracefully and returns its unexpected exits.
    pub async fn close(mut self) -> Vec<String> {
        let due = Instant::now() + SHUTDOWN_TIMEOUT;
        for signal in [Signal::CONT, Signal::TERM] {
            if let Err(err) = self.signal(signal) {
                log::warn!(error:% = err; "failed to signal an instance to shut down");
            }
        }
        while self.exited_at.is_none() && Instant::now() < due {
            match self.child.try_wait() {
                Ok(None) => tokio::time::sleep(Duration::from_millis(50)).await,
                Ok(Some(_)) | Err(_) => return std::mem::take(&mut self.unexpected_exits),
            }
        }
        if self.exited_at.is_none() {
            self.unexpected_exits
                .push(format!("{} did not shut down in time", self.front_address()));
            self.child.kill().ok();
            self.child.wait().ok();
        }
        std::mem::take(&mut self.unexpected_exits)
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // The process is still alive only if the soak test itself failed.
        if let Ok(None) = self.child.try_wait() {
            self.child.kill().ok();
            self.child.wait().ok();
        }
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Result<Child> {
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .args(["platform", "--settings-file"])
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()
        .wrap_err_with(|| format!("start {}", program.display()))
}
