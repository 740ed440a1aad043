//! Instances as processes of their own.

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr};
use marigoldlock_standin::site::{DIRECTORY_PORT, FRONT_PORT, READINESS_PORT};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::Instant;

/// Time after its end at which an ended process is started again.
const RESTART_AFTER: Duration = Duration::from_millis(300);

/// Longest time for an answer about readiness.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a graceful end: the grace of the settings file and a little more.
const END_MOST: Duration = Duration::from_secs(9);

/// Address of an instance on loopback: each has its own, so that all use the same ports, as machines do.
pub fn loopback_address(seed: u64, number: usize) -> IpAddr {
    let process = std::process::id();
    let mixed = seed.wrapping_mul(0x9E37_79B9).wrapping_add(u64::from(process));
    let [a, b, ..] = mixed.to_le_bytes();
    Ipv4Addr::new(127, 16 + a % 200, b, 1 + u8::try_from(number).unwrap_or(u8::MAX)).into()
}

/// One instance, started again whenever a fault ends it.
pub struct InstanceProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    ip: IpAddr,
    child: Child,
    /// True while a signal of the soak may end the process.
    is_end_expected: bool,
    ended_at: Option<Instant>,
    /// How the process ended when nothing had ended it.
    own_ends: Vec<String>,
}

impl InstanceProcess {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// If the program can't be started or its log can't be written.
    pub fn start(program: &Path, settings: PathBuf, log: PathBuf, ip: IpAddr) -> Result<Self> {
        let child = spawn(program, &settings, &log)?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            log,
            ip,
            child,
            is_end_expected: false,
            ended_at: None,
            own_ends: Vec::new(),
        })
    }

    /// Where callers connect.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Where callers ask for addresses.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    /// True if the instance says that it serves.
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

    /// Sends a signal; one that ends the process makes its end expected.
    ///
    /// # Errors
    ///
    /// If the process can't be signalled.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        self.is_end_expected |= matches!(signal, Signal::KILL | Signal::TERM);
        if self.ended_at.is_some() {
            return Ok(());
        }
        let pid = Pid::from_child(&self.child);
        match kill_process(pid, signal) {
            // It ended by itself just now; the next look finds it.
            Ok(()) | Err(rustix::io::Errno::SRCH) => Ok(()),
            Err(err) => Err(err).wrap_err("signal an instance"),
        }
    }

    /// Notes an end and starts the process again after a while.
    ///
    /// # Errors
    ///
    /// If the process can't be looked at or started.
    pub fn tend(&mut self) -> Result<()> {
        match self.ended_at {
            None => {
                if let Some(status) = self.child.try_wait()? {
                    self.ended_at = Some(Instant::now());
                    if !std::mem::take(&mut self.is_end_expected) {
                        self.own_ends
                            .push(format!("{} ended with {status}", self.front()));
                    }
                }
            }
            Some(at) if at.elapsed() >= RESTART_AFTER => {
                self.child = spawn(&self.program, &self.settings, &self.log)?;
                self.ended_at = None;
                self.is_end_expected = false;
            }
            Some(_) => {}
        }
        Ok(())
    }

    /// Ends the process gracefully; tells how it ended by itself, if it ever did.
    pub async fn close(mut self) -> Vec<String> {
        let due = Instant::now() + END_MOST;
        for signal in [Signal::CONT, Signal::TERM] {
            if let Err(err) = self.signal(signal) {
                log::warn!(error:% = err; "an instance was not told to end");
            }
        }
        while self.ended_at.is_none() && Instant::now() < due {
            match self.child.try_wait() {
                Ok(None) => tokio::time::sleep(Duration::from_millis(50)).await,
                Ok(Some(_)) | Err(_) => return std::mem::take(&mut self.own_ends),
            }
        }
        if self.ended_at.is_none() {
            self.own_ends
                .push(format!("{} did not end within its grace", self.front()));
            self.child.kill().ok();
            self.child.wait().ok();
        }
        std::mem::take(&mut self.own_ends)
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // Only reached with a live process if the soak itself failed.
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
